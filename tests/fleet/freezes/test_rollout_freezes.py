"""The decision module under a rollout freeze: no promote votes, no growth of exposure, but rollback votes."""

from __future__ import annotations

import pytest

from linenbridge.decisions import CastVote, SendAttempt
from linenbridge.interface import SECOND, Outcome, RolloutPhase, Vote
from linenbridge.policy import DecisionModule
from tests.helpers import MS, entry, pull_decisions, new_gateway, startup
from tests.policy.helpers import fail_requests_on_trial, run_request


def votes_cast(gateway: DecisionModule, now: int, steps: int = 100) -> set[int]:
    """Return all votes cast within `steps` tenths of a second; the platform accepts each of them."""
    votes = set[int]()
    for step in range(steps):
        at = now + step * 100 * MS
        for decision in pull_decisions(gateway, at):
            if isinstance(decision, CastVote):
                votes.add(decision.vote)
                gateway.on_rollout_update(
                    at, 2, 1, RolloutPhase.ON_TRIAL, gateway.rollout.cap, is_vote_response=True, is_valid=True
                )
    return votes


@pytest.mark.parametrize("zones", [frozenset(), frozenset({"a"})])
def test_a_rollout_freeze_withdraws_a_promote_vote_and_casts_none(zones):
    gateway = new_gateway()
    for number in range(200):
        run_request(gateway, number * 10 * MS, f"r{number}", Outcome.OK)

    assert votes_cast(gateway, 3 * SECOND) == {Vote.PROMOTE}

    gateway.on_rollout_freeze(20 * SECOND, zones)

    assert votes_cast(gateway, 20 * SECOND) == {Vote.NONE}

    gateway.on_rollout_freeze(40 * SECOND, None)

    assert votes_cast(gateway, 40 * SECOND) == {Vote.PROMOTE}


def test_a_rollout_freeze_of_other_zones_changes_nothing():
    gateway = new_gateway()
    for number in range(200):
        run_request(gateway, number * 10 * MS, f"r{number}", Outcome.OK)
    gateway.on_rollout_freeze(2 * SECOND, frozenset({"elsewhere"}))

    assert votes_cast(gateway, 3 * SECOND) == {Vote.PROMOTE}


def test_a_rollback_vote_is_cast_under_a_rollout_freeze():
    gateway = new_gateway()
    gateway.on_rollout_freeze(0, frozenset())
    now = fail_requests_on_trial(gateway, 0, 8)

    assert gateway.detector.sums.alarms
    assert Vote.ROLL_BACK in votes_cast(gateway, now)


def test_a_promote_vote_is_withdrawn_under_a_rollout_freeze_even_at_a_low_call_rate():
    gateway = new_gateway(calls_per_second=0.5, gateway_count=200)
    for number in range(200):
        run_request(gateway, number * 10 * MS, f"r{number}", Outcome.OK)

    assert Vote.PROMOTE in votes_cast(gateway, 3 * SECOND)

    gateway.on_rollout_freeze(20 * SECOND, frozenset())

    assert votes_cast(gateway, 20 * SECOND, steps=5) == {Vote.NONE}


def attempts_on_trial(gateway: DecisionModule, now: int, count: int) -> int:
    """Send `count` requests, one each 10 ms; return the number of attempts sent to the build on trial."""
    sent = 0
    for number in range(count):
        at = now + number * 10 * MS
        gateway.on_request(at, f"p{at}", "look", 4 * SECOND, None, "", None)
        for decision in pull_decisions(gateway, at):
            if isinstance(decision, SendAttempt):
                sent += gateway.fleet.build[gateway.fleet.index[decision.instance]] == 2
                gateway.on_attempt_finished(at + MS, decision.rpc_id, 0, Outcome.OK, True, MS, {})
                gateway.on_client_disconnected(at + MS, decision.rpc_id)
    return sent


def test_exposure_does_not_grow_under_a_rollout_freeze_when_the_platform_raises_the_cap():
    gateway = new_gateway()
    gateway.on_rollout_update(0, 2, 0, RolloutPhase.ON_TRIAL, 0.1, is_vote_response=False, is_valid=True)
    gateway.on_rollout_freeze(SECOND, frozenset())
    gateway.on_rollout_update(SECOND, 2, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=False, is_valid=True)

    assert 0 < attempts_on_trial(gateway, SECOND, 400) <= 0.1 * 400 + 4

    gateway.on_rollout_freeze(6 * SECOND, None)

    assert attempts_on_trial(gateway, 6 * SECOND, 400) > 60


def test_a_build_that_appears_under_a_rollout_freeze_gets_no_attempts_while_an_earlier_one_has_instances():
    gateway = DecisionModule(startup(), seed=7, now=0)
    gateway.on_endpoint_list(
        0, [entry(1), entry(2), entry(3, zone="b")], is_snapshot=True, is_poll_response=True
    )
    gateway.on_rollout_update(0, 1, 1, RolloutPhase.RELEASED, 1.0, is_vote_response=False, is_valid=True)
    gateway.on_rollout_freeze(SECOND, frozenset())
    gateway.on_endpoint_list(SECOND, [entry(4, build=2)], is_snapshot=False, is_poll_response=True)
    gateway.on_rollout_update(SECOND, 2, 0, RolloutPhase.ON_TRIAL, 0.2, is_vote_response=False, is_valid=True)

    assert attempts_on_trial(gateway, SECOND, 200) == 0
    gateway.on_endpoint_list(4 * SECOND, [entry(4, build=2)], is_snapshot=True, is_poll_response=True)

    assert attempts_on_trial(gateway, 4 * SECOND, 100) > 0, (
        "the build on trial serves where no other instance is left"
    )
