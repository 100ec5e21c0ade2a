"""Helpers that send single requests through one gateway's decision module; they assert nothing."""

from __future__ import annotations


from linenbridge.decisions import SendAttempt
from linenbridge.interface import Outcome, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import MS, pull_decisions


def run_request(gateway: DecisionModule, now: int, name: str, result: Outcome, method: str = "look") -> int:
    """Send one RPC, end its first attempt with the result, and return the build that the attempt went to."""
    gateway.on_request(now, name, method, 4 * SECOND, None, "", None)
    attempt = next(d for d in pull_decisions(gateway, now) if isinstance(d, SendAttempt) and d.rpc_id == name)
    gateway.on_attempt_finished(now + MS, name, 0, result, result == Outcome.OK, MS, {})
    gateway.on_client_disconnected(now + MS, name)
    return gateway.fleet.build[gateway.fleet.index[attempt.instance]]


def fail_requests_on_trial(
    gateway: DecisionModule, now: int, count: int, result: Outcome = Outcome.ERROR
) -> int:
    """Send RPCs that fail at build 2 only, until `count` of them did; return the time after them."""
    failures = number = 0
    while failures < count:
        now += 10 * MS
        number += 1
        gateway.on_request(now, f"f{now}", "look", 4 * SECOND, None, "", None)
        attempt = next(
            d for d in pull_decisions(gateway, now) if isinstance(d, SendAttempt) and d.rpc_id == f"f{now}"
        )
        at_trial = attempt.instance == 4
        gateway.on_attempt_finished(
            now + MS, f"f{now}", 0, result if at_trial else Outcome.OK, not at_trial, MS, {}
        )
        gateway.on_client_disconnected(now + MS, f"f{now}")
        failures += at_trial
    return now
