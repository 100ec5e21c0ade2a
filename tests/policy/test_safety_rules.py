"""The safety rules at their limits, with the settings of other installations."""

from __future__ import annotations

from dataclasses import replace

import pytest

from linenbridge.decisions import Fail, Reject, SendAttempt
from linenbridge.interface import Idempotency, Method, Outcome, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import MS, entry, pull_decisions, new_gateway, startup


def gateway_with_keyed_request(window: int, group: str = "all", **changes) -> tuple[DecisionModule, int]:
    """Return a gateway with an open request that is idempotent by key, and the time at which its only attempt
    was sent.
    """
    start = startup(**changes)
    methods = (
        start.methods[0],
        Method("store", Idempotency.IDEMPOTENT_BY_KEY, group, window, 4 * SECOND, 2.0),
    )
    gateway = DecisionModule(replace(start, methods=methods), seed=3, now=0)
    now = 10 * SECOND
    gateway.on_endpoint_list(now, [entry(n) for n in (1, 2, 3)], is_snapshot=True, is_poll_response=True)
    gateway.on_request(now, "r", "store", 8 * SECOND, None, "", None)
    assert [type(decision) for decision in pull_decisions(gateway, now)] == [SendAttempt]
    return gateway, now


@pytest.mark.parametrize("connect_timeout", [0, 250 * MS, SECOND])
@pytest.mark.parametrize("window", [1200 * MS, 3 * SECOND])
def test_a_request_idempotent_by_key_is_repeated_only_while_the_repeat_is_recognized_on_arrival(
    window, connect_timeout
):
    """An attempt may wait for the whole connect timeout before it is sent."""
    sweep = 50 * MS
    for elapsed, is_repeated in (
        (window - connect_timeout - sweep - MS, True),
        (window - connect_timeout - sweep, False),
    ):
        gateway, now = gateway_with_keyed_request(window, connect_timeout=connect_timeout)
        gateway.on_attempt_finished(now + elapsed, "r", 0, Outcome.ERROR, False, elapsed, {})
        assert isinstance(pull_decisions(gateway, now + elapsed)[0], SendAttempt) is is_repeated


def test_a_possibly_executed_request_by_key_is_rejected_only_while_its_client_can_retry_in_the_window():
    retry_after = SECOND
    repeat_margin = 250 * MS + 50 * MS
    for elapsed, group, answer in (
        (5 * SECOND - repeat_margin - retry_after - MS, "all", Reject("r", retry_after)),
        (5 * SECOND - repeat_margin - retry_after, "all", Fail("r")),
        (100 * MS, "all", Reject("r", retry_after)),
        (100 * MS, "zone", Fail("r")),
    ):
        gateway, now = gateway_with_keyed_request(
            5 * SECOND, group, max_attempts=1, max_retry_after=retry_after
        )
        gateway.on_attempt_finished(now + elapsed, "r", 0, Outcome.ERROR, False, elapsed, {})
        assert pull_decisions(gateway, now + elapsed)[0] == answer
    gateway, now = gateway_with_keyed_request(SECOND // 2, max_attempts=1)
    gateway.on_attempt_finished(now, "r", 0, Outcome.CONNECT_FAILED, False, 0, {})
    assert isinstance(pull_decisions(gateway, now)[0], Reject), (
        "a request that was never executed may be retried at any time"
    )


def test_a_non_idempotent_request_that_may_have_been_executed_fails_and_is_not_repeated():
    gateway = new_gateway()
    gateway.on_request(0, "r", "charge", 4 * SECOND, None, "", None)
    assert isinstance(pull_decisions(gateway, 0)[0], SendAttempt)
    gateway.on_attempt_finished(MS, "r", 0, Outcome.ERROR, False, MS, {})
    assert pull_decisions(gateway, MS) == [Fail("r")]
