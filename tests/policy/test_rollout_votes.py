"""The one rollout vote of a gateway that is in effect."""

from __future__ import annotations


from linenbridge.decisions import CastVote
from linenbridge.interface import Outcome, RolloutPhase, SECOND, Vote
from linenbridge.policy import DecisionModule
from linenbridge.policy.change_detection import FAILURES, LATENCY, MIN_PROMOTE_OUTCOMES
from linenbridge.policy.rollout_votes import BuildStage
from linenbridge.state.counters import Counts
from tests.helpers import MS, entry, pull_decisions, new_gateway, startup
from tests.policy.helpers import run_request


def test_enough_successful_outcomes_cast_a_vote_to_promote():
    gateway = new_gateway()
    now = 0
    while gateway.detector.outcomes < MIN_PROMOTE_OUTCOMES:
        now += 10 * MS
        run_request(gateway, now, f"r{now}", Outcome.OK)
    pull_decisions(gateway, now + MS)
    assert gateway.voter.cast_stage == (2, 1)
    assert gateway.voter.cast_vote == Vote.PROMOTE


def test_a_listed_build_is_voted_on_before_a_late_update_reports_it():
    gateway = DecisionModule(startup(), seed=3, now=0)
    gateway.on_rollout_update(0, 1, 1, RolloutPhase.RELEASED, 1.0, is_vote_response=False, is_valid=True)
    gateway.on_endpoint_list(0, [entry(1), entry(2), entry(3)], is_snapshot=True, is_poll_response=True)
    gateway.on_endpoint_list(0, [entry(4, build=2, started=0)], is_snapshot=False, is_poll_response=True)
    assert CastVote(2, 0, Vote.PROMOTE) not in pull_decisions(gateway, 3 * SECOND)
    assert CastVote(2, 0, Vote.PROMOTE) in pull_decisions(gateway, 5 * SECOND)


def test_a_restarted_gateway_waits_before_it_votes_to_promote_and_counts_its_own_outcomes():
    """After a restart the build's instances are old, but the gateway has no outcome of them yet."""
    now = 100 * SECOND
    gateway = DecisionModule(startup(tally_period=2 * SECOND), seed=7, now=now)
    entries = [entry(1), entry(2), entry(3), entry(4, build=2, started=now - 20 * SECOND)]
    gateway.on_endpoint_list(now, entries, is_snapshot=True, is_poll_response=True)
    gateway.on_rollout_update(now, 2, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=False, is_valid=True)
    gateway.on_tally(now, 2, "look", 3, 0, MS, now)
    assert not [d for d in pull_decisions(gateway, now + 2 * SECOND) if isinstance(d, CastVote)]
    counted_before = gateway.detector.outcomes
    trials = sum(run_request(gateway, now + n * 10 * MS, f"r{n}", Outcome.OK) == 2 for n in range(200))
    assert gateway.detector.outcomes > counted_before + trials // 2 > counted_before


def test_no_vote_to_promote_while_a_sum_nears_its_threshold():
    gateway = new_gateway()
    gateway.detector.outcomes = MIN_PROMOTE_OUTCOMES
    assert gateway.voter.desired_vote(SECOND) == Vote.PROMOTE
    gateway.detector.add(2, 0, Counts(1, 1), gateway.fleet.index[4])
    assert gateway.voter.desired_vote(SECOND) == Vote.NONE
    assert not gateway.detector.sums.alarms


def test_gateways_that_share_tallies_vote_to_promote_only_where_the_sum_would_clear_an_alarm():
    """In the simulator (join+mass) 325 votes to promote were cast while one sum was at W = 2.4, and a build
    that fails under load was released.
    """
    for has_tally, value, expected in (
        (False, 2.4, Vote.PROMOTE),
        (True, 2.4, Vote.NONE),
        (True, 1.1, Vote.NONE),
        (True, 0.9, Vote.PROMOTE),
    ):
        gateway = new_gateway(tally_period=2 * SECOND, gateway_count=100, rollback_votes=35)
        if has_tally:
            gateway.on_tally(SECOND, 2, "look", 10, 0, 100 * MS, SECOND)
        gateway.detector.outcomes = MIN_PROMOTE_OUTCOMES
        gateway.detector.sums.sums[0, FAILURES] = value
        assert gateway.detector.shares_evidence is has_tally
        assert gateway.voter.desired_vote(SECOND) == expected


def test_120_votes_of_200_gateways_are_in_effect_together_at_16_calls_per_second():
    """The platform accepts 16 calls a second and 32 in a burst; votes are in effect for 6 s, and 120 are
    needed. A call that renews a vote in effect, or withdraws a vote to promote for a moment, takes the place
    of a vote that is missing.
    """
    gateways = []
    in_effect_until = [0] * 200
    available_calls = 32.0
    time = 0
    for number in range(200):
        gateway = DecisionModule(
            startup(gateway_number=number, gateway_count=200, calls_per_second=16.0), seed=number, now=0
        )
        gateway.on_endpoint_list(
            0, [entry(1), entry(2), entry(4, build=2, started=0)], is_snapshot=True, is_poll_response=True
        )
        gateway.on_rollout_update(0, 2, 0, RolloutPhase.ON_TRIAL, 0.2, is_vote_response=False, is_valid=True)
        gateways.append(gateway)
    max_in_effect = 0
    for time in range(4 * SECOND, 11 * SECOND, 100 * MS):
        available_calls = min(32.0, available_calls + 1.6)
        for number, gateway in enumerate(gateways):
            gateway.detector.sums.sums[0, LATENCY] = 0.3 if (number + time // (300 * MS)) % 10 == 0 else -0.1
            for vote in [
                decision for decision in pull_decisions(gateway, time) if isinstance(decision, CastVote)
            ]:
                is_accepted = available_calls >= 1.0
                available_calls = available_calls - (available_calls >= 1.0)
                in_effect_until[number] = (
                    time + 6 * SECOND * (vote.vote == Vote.PROMOTE)
                    if is_accepted
                    else in_effect_until[number]
                )
                gateway.on_rollout_update(
                    time, 2, 0, RolloutPhase.ON_TRIAL, 0.2, is_vote_response=True, is_valid=is_accepted
                )
        max_in_effect = max(max_in_effect, sum(until > time for until in in_effect_until))
    assert max_in_effect >= 120


def test_a_lapsing_vote_to_promote_is_withdrawn_once_the_sum_exceeds_half_the_minimum_threshold():
    gateway = new_gateway(gateway_count=200, calls_per_second=16.0)
    gateway.voter.cast_stage = BuildStage(2, 1)
    gateway.voter.cast_vote = Vote.PROMOTE
    gateway.voter.next_at = 6 * SECOND
    gateway.detector.outcomes = MIN_PROMOTE_OUTCOMES - 1
    for value, expected in ((1.0, []), (2.6, [CastVote(2, 1, Vote.NONE)])):
        gateway.detector.sums.sums[0, LATENCY] = value
        assert [
            decision for decision in pull_decisions(gateway, SECOND) if isinstance(decision, CastVote)
        ] == expected
