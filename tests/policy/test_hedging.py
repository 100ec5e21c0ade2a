"""Which requests are attempted again while an attempt is in flight."""

from __future__ import annotations


from linenbridge.decisions import SendAttempt
from linenbridge.interface import Outcome, SECOND
from tests.helpers import MS, pull_decisions, new_gateway


def test_lost_responses_of_idempotent_requests_are_hedged_within_the_budget():
    """The instance loses one response and sends others, so that it is not suspected of being silent."""
    gateway = new_gateway()
    now = 0
    hedged = 0
    for n in range(400):
        now += 10 * MS
        gateway.on_request(now, f"r{n}", ("look", "charge")[n % 2], 4 * SECOND, None, "", None)
        for attempt in [d for d in pull_decisions(gateway, now) if isinstance(d, SendAttempt)]:
            hedged += attempt.rpc_id != f"r{n}"
            assert (
                attempt.rpc_id == f"r{n}" or int(attempt.rpc_id[1:]) % 2 == 0
            )  # A non-idempotent request is never hedged.
            if n < 200 or n % 20 or attempt.rpc_id != f"r{n}":
                number = len(gateway.requests[attempt.rpc_id].attempts) - 1
                gateway.on_attempt_finished(now, attempt.rpc_id, number, Outcome.OK, True, MS, {})
    assert hedged == 10 - 1  # The last of the lost responses is not overdue yet.
