"""The sum over outcomes at the build on trial: what counts, and when it alarms."""

from __future__ import annotations


from linenbridge import interface as face
from linenbridge.policy import Choice
from linenbridge.interface import SECOND
from linenbridge.state.counters import Counts
from tests.helpers import MS, entry, pull, running, startup
from tests.policy.helpers import fail_trial, outcome


def test_failures_at_the_trial_raise_a_standing_back_vote():
    gateway = running()
    now = fail_trial(gateway, 0, 5)
    gateway.on_stage(now, 2, 1, face.ON_TRIAL, 1.0, vote=True, valid=True)
    pull(gateway, now + 2 * MS)
    assert gateway.cast == (2, 1, face.BACK)
    gateway.on_stage(now, 2, 1, face.ON_TRIAL, 1.0, vote=True, valid=True)
    later = [d for step in range(100) for d in pull(gateway, now + step * 50 * MS) if d[0] == face.VOTE]
    assert (face.VOTE, 2, 1, face.BACK) in later


def test_outcomes_that_prove_no_run_say_nothing_of_the_build():
    gateway = running()
    for n in range(200):
        outcome(gateway, n * 10 * MS, f"r{n}", face.UNREACHED if n % 3 == 0 else face.OK)
    assert not gateway.sums.alarms and all(w <= 0 for w in gateway.sums.by_key.values())


def test_time_outs_after_the_earlier_build_has_gone_are_the_hours_not_the_builds():
    gateway = running()
    now = fail_trial(gateway, 0, 1, face.OK)
    gateway.on_list(now, [entry(4, build=2)], whole=True, answers=True)
    for n in range(20):
        now += SECOND
        gateway.on_rpc(now, f"t{n}", "look", 4 * SECOND, None, "", None)
        gateway.on_rpc(now, f"u{n}", "look", 4 * SECOND, None, "", None)
        pull(gateway, now)
        gateway.on_reply(now + MS, f"t{n}", 0, face.OK, True, MS, {})
        gateway.on_reply(now + 2 * MS, f"u{n}", 0, face.TIMED_OUT, False, 2 * MS, {})
    assert not gateway.sums.alarms


def trial_of(instances: int) -> Choice:
    gateway = Choice(startup(), seed=5, now=0)
    entries = [entry(1), *(entry(10 + n, build=2) for n in range(instances))]
    gateway.on_list(0, entries, whole=True, answers=True)
    gateway.on_stage(0, 2, 1, face.ON_TRIAL, 1.0, vote=False, valid=True)
    return gateway


def test_one_sick_instance_of_many_does_not_alarm_and_a_bad_build_does():
    for sick, alarmed in ((1, False), (12, True)):
        gateway = trial_of(12)
        for n in range(60):
            for j in range(12):
                failed = int(j < sick and n % 2 == 0)
                gateway._hear(2, 0, Counts(1, failed), gateway.fleet.index[10 + j])
        assert bool(gateway.sums.alarms) is alarmed


def test_a_build_that_needs_more_work_alarms_though_it_fails_nothing():
    gateway = running()
    for n in range(120):
        now = n * 50 * MS
        gateway.on_rpc(now, f"r{n}", "look", 4 * SECOND, None, "", None)
        pick = next(d for d in pull(gateway, now) if d[0] == face.PICK)
        gateway.on_reply(now, f"r{n}", 0, face.OK, True, (300 if pick[2] == 4 else 100) * MS, {})
    assert (0, "slow") in gateway.sums.alarms


def test_a_handful_of_the_earlier_builds_times_makes_no_build_slow():
    """After a restart late in a rollout the first quick answers of what drains were the whole comparison."""
    gateway, clear = running(), []
    for picks in (3, 40):
        gateway._hear(1, 0, Counts(picks, 0, picks, picks * 10 * MS))
        for _ in range(12):
            gateway._hear(2, 0, Counts(1, 0, 1, 40 * MS), 3)
            gateway._hear(2, 0, Counts(1, 0, 1, 40 * MS), 2)
        clear.append(not gateway.sums.alarms)
    assert clear == [True, False]
