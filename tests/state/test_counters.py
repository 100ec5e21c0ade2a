"""The parts of tenants: what is forgotten of their rates changes nothing, or no more than is said."""

from __future__ import annotations

from math import exp

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linenbridge.interface import SECOND
from linenbridge.state.counters import QuotaUsage

MEMORY = 5 * SECOND


class PlainQuotaUsage:
    """One rate for each name, kept for ever: written for these tests alone."""

    def __init__(self, names: set[str]) -> None:
        self.rates = {name: (0.0, 0) for name in (*names, "all", "others")}
        self.names = names

    def usage(self, now: int, name: str) -> float:
        named = name if name in self.names else "others"
        for row in ("all", named):
            amount, at = self.rates[row]
            self.rates[row] = (amount * exp((at - now) / MEMORY) + 1.0, now)
        return self.rates[named][0] / self.rates["all"][0]


NAMES = {f"t{n}" for n in range(12)}
WAITS = ((0, 1), (0, 60), (150, 260))  # seconds
ARRIVALS = st.lists(
    st.tuples(
        st.one_of(*(st.integers(least * SECOND, most * SECOND) for least, most in WAITS)),
        st.sampled_from((*sorted(NAMES), "t0", "t0", "unknown")),
    ),
    max_size=60,
)  # fmt: skip


@settings(max_examples=300, deadline=None)
@given(ARRIVALS)
def test_parts_are_the_same_to_the_last_bit_though_rates_are_forgotten(arrivals):
    parts, plain, now = QuotaUsage(MEMORY, NAMES, 1_000), PlainQuotaUsage(NAMES), 0
    for wait, name in arrivals:
        now += wait
        assert parts.usage(now, name) == plain.usage(now, name)


@settings(max_examples=200, deadline=None)
@given(ARRIVALS, st.integers(1, 5))
def test_where_more_names_come_than_are_kept_a_part_is_too_low_by_what_was_left_at_most(arrivals, most):
    parts, plain, now = QuotaUsage(MEMORY, NAMES, most), PlainQuotaUsage(NAMES), 0
    for wait, name in arrivals:
        now += wait
        kept, right = name in parts.rates or name not in NAMES, plain.usage(now, name)
        left = plain.rates[name][0] - 1.0 if name in NAMES else 0.0
        error = right - parts.usage(now, name)
        assert -1e-12 <= error <= left / plain.rates["all"][0] + 1e-12
        assert kept or parts.rates[name].amount == 1.0
        assert len(parts.rates) <= most


def test_only_names_seen_lately_have_a_rate():
    names = {f"t{n}": 1e-4 for n in range(10_000)}
    parts = QuotaUsage(MEMORY, names, 1_000)
    assert not parts.rates
    for n in range(10_000):
        parts.usage(n * 1_000, f"t{n}")
    assert len(parts.rates) == 1_000 and "t9999" in parts.rates and "t8999" not in parts.rates
    for n in range(600):
        parts.usage(400 * SECOND + n, "t1")
    assert list(parts.rates) == ["t1"]


@pytest.mark.parametrize("seconds", [1, 30, 180])
def test_a_rate_that_still_matters_is_kept(seconds):
    parts = QuotaUsage(MEMORY, NAMES, 1_000)
    for n in range(1_000):
        parts.usage(n, "t1")
    for _ in range(50):
        parts.usage(seconds * SECOND, "t2")
    assert "t1" in parts.rates
