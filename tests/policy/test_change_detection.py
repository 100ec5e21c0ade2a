"""The cumulative sums over outcomes at the build on trial: which outcomes count, and when they alarm."""

from __future__ import annotations


from linenbridge.decisions import CastVote, SendAttempt
from linenbridge.interface import Outcome, RolloutPhase, SECOND, Vote
from linenbridge.policy import DecisionModule
from linenbridge.policy.change_detection import LATENCY
from linenbridge.state.counters import Counts
from tests.helpers import MS, entry, pull_decisions, new_gateway, startup
from tests.policy.helpers import fail_requests_on_trial, run_request


def test_failures_at_the_trial_build_cast_a_vote_to_roll_back_that_is_renewed():
    gateway = new_gateway()
    now = fail_requests_on_trial(gateway, 0, 5)
    gateway.on_rollout_update(now, 2, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=True, is_valid=True)
    pull_decisions(gateway, now + 2 * MS)
    assert gateway.voter.cast_stage == (2, 1)
    assert gateway.voter.cast_vote == Vote.ROLL_BACK
    gateway.on_rollout_update(now, 2, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=True, is_valid=True)
    later_votes = [
        d
        for step in range(100)
        for d in pull_decisions(gateway, now + step * 50 * MS)
        if isinstance(d, CastVote)
    ]
    assert CastVote(2, 1, Vote.ROLL_BACK) in later_votes


def test_attempts_that_failed_to_connect_raise_neither_a_sum_nor_an_alarm():
    gateway = new_gateway()
    for n in range(200):
        run_request(gateway, n * 10 * MS, f"r{n}", Outcome.CONNECT_FAILED if n % 3 == 0 else Outcome.OK)
    assert not gateway.detector.sums.alarms
    assert all(value <= 0 for value in gateway.detector.sums.sums.values())


def test_time_outs_without_an_earlier_build_raise_no_alarm():
    gateway = new_gateway()
    now = fail_requests_on_trial(gateway, 0, 1, Outcome.OK)
    gateway.on_endpoint_list(now, [entry(4, build=2)], is_snapshot=True, is_poll_response=True)
    for n in range(20):
        now += SECOND
        gateway.on_request(now, f"t{n}", "look", 4 * SECOND, None, "", None)
        gateway.on_request(now, f"u{n}", "look", 4 * SECOND, None, "", None)
        pull_decisions(gateway, now)
        gateway.on_attempt_finished(now + MS, f"t{n}", 0, Outcome.OK, True, MS, {})
        gateway.on_attempt_finished(now + 2 * MS, f"u{n}", 0, Outcome.TIMED_OUT, False, 2 * MS, {})
    assert not gateway.detector.sums.alarms


def gateway_with_trial_instances(instances: int) -> DecisionModule:
    gateway = DecisionModule(startup(), seed=5, now=0)
    entries = [entry(1), *(entry(10 + n, build=2) for n in range(instances))]
    gateway.on_endpoint_list(0, entries, is_snapshot=True, is_poll_response=True)
    gateway.on_rollout_update(0, 2, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=False, is_valid=True)
    return gateway


def test_one_faulty_instance_of_twelve_raises_no_alarm_and_twelve_do():
    for faulty, is_alarm_expected in ((1, False), (12, True)):
        gateway = gateway_with_trial_instances(12)
        for n in range(60):
            for position in range(12):
                failed = int(position < faulty and n % 2 == 0)
                gateway.detector.add(2, 0, Counts(1, failed), gateway.fleet.index[10 + position])
        assert bool(gateway.detector.sums.alarms) is is_alarm_expected


def test_a_slower_build_without_failures_raises_the_latency_alarm():
    gateway = new_gateway()
    for n in range(120):
        now = n * 50 * MS
        gateway.on_request(now, f"r{n}", "look", 4 * SECOND, None, "", None)
        attempt = next(d for d in pull_decisions(gateway, now) if isinstance(d, SendAttempt))
        gateway.on_attempt_finished(
            now, f"r{n}", 0, Outcome.OK, True, (300 if attempt.instance == 4 else 100) * MS, {}
        )
    assert (0, LATENCY) in gateway.detector.sums.alarms


def test_three_response_times_of_the_earlier_build_are_too_few_for_a_baseline():
    """After a restart late in a rollout, a few quick responses of draining instances were the baseline."""
    gateway = new_gateway()
    without_alarm = []
    for attempts in (3, 40):
        gateway.detector.add(1, 0, Counts(attempts, 0, attempts, attempts * 10 * MS))
        for _ in range(12):
            gateway.detector.add(2, 0, Counts(1, 0, 1, 40 * MS), 3)
            gateway.detector.add(2, 0, Counts(1, 0, 1, 40 * MS), 2)
        without_alarm.append(not gateway.detector.sums.alarms)
    assert without_alarm == [True, False]
