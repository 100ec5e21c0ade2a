"""A short soak; `python -m tests.net.soak` plays more seeds."""

from __future__ import annotations

from tests.net.soak import play


def test_no_request_is_lost_under_signals_clock_steps_failing_accepts_and_a_crowd():
    violations = {seed: play(seed) for seed in (1, 3, 23, 24, 40)}
    assert not any(violations.values()), violations
