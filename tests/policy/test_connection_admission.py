"""Admission of clients' connections, and the length of a stop."""

from __future__ import annotations

import pytest

from linenbridge.policy.connection_admission import (
    ACCEPT_BATCH,
    MIN_IDLE_TIME,
    MIN_IDLE_TIME_ONCE,
    ConnectionAdmission,
    stop_time,
)


def test_a_stop_ends_before_the_earliest_kill_even_if_the_process_is_held_up():
    assert stop_time(1_400_000) == 1_400_000 + 700_000 - 200_000
    assert stop_time(9_000_000) == 3_000_000 + 700_000 - 200_000


@pytest.mark.parametrize("limit", [4, 38, 488])
def test_the_last_descriptors_serve_connections_that_are_refused(limit):
    admission = ConnectionAdmission(limit, limit)
    assert admission.refuses(0)
    assert not admission.refuses(limit - 1)


def test_only_connections_not_in_regular_use_make_room():
    admission = ConnectionAdmission(100, 60)
    assert not admission.may_end_unasked(MIN_IDLE_TIME - 1, 2)
    assert admission.may_end_unasked(MIN_IDLE_TIME, 2)
    assert not admission.may_end_unasked(MIN_IDLE_TIME_ONCE - 1, 1)
    assert all(admission.may_end_unasked(MIN_IDLE_TIME_ONCE, count) for count in (0, 1))
    assert [admission.may_end_with_response(ACCEPT_BATCH, count) for count in (0, 1, 2)] == [
        False,
        True,
        False,
    ]
    assert not admission.may_end_with_response(ACCEPT_BATCH + 1, 1)
