"""Which outcomes count as evidence: tallies, and those of the gateway's own attempts."""

from __future__ import annotations


from linenbridge.interface import Outcome, RolloutPhase, SECOND, Vote
from tests.helpers import MS, entry, new_gateway
from tests.policy.helpers import run_request


def test_a_gateway_with_few_requests_ignores_invalid_tallies_and_alarms_on_the_second_failing_one():
    gateway = new_gateway(tally_period=2 * SECOND, gateway_count=100, rollback_votes=35)
    for invalid in (("none", 2, 9, 9), ("look", 7, 9, 9), ("look", 2, 0, 0), ("look", 2, 4, 5)):
        gateway.on_tally(0, invalid[1], invalid[0], invalid[2], invalid[3], 0, 0)
    assert not gateway.detector.outcomes
    assert all(value <= 0 for value in gateway.detector.sums.sums.values())
    for period in range(4):
        gateway.on_tally(period, 1, "look", 30, 0, 100 * MS, period)
        gateway.on_tally(period, 2, "look", 10, 4, 100 * MS, period)
        assert bool(gateway.detector.sums.alarms) is (period >= 1), (
            "the tallies of one period alone raise no alarm"
        )
    assert gateway.voter.desired_vote(SECOND) == Vote.ROLL_BACK


def test_without_an_earlier_build_tallies_alarm_if_one_method_fails_and_not_if_all_do():
    for faulty_methods, failed, is_alarm_expected in (
        ({"charge"}, 6, True),
        ({"charge"}, 1, False),
        ({"look", "store", "charge"}, 6, False),
    ):
        gateway = new_gateway(tally_period=2 * SECOND, gateway_count=100, rollback_votes=35)
        gateway.on_endpoint_list(0, [entry(4, build=2)], is_snapshot=True, is_poll_response=True)
        for period in range(8):
            for method in ("look", "store", "charge"):
                gateway.on_tally(period, 2, method, 10, failed * (method in faulty_methods), 100 * MS, period)
        assert bool(gateway.detector.sums.alarms) is is_alarm_expected


def test_without_an_earlier_build_a_gateway_with_few_requests_alarms_on_its_own_errors():
    """Of three gateways only one alarmed: the others used only tallies, in which all methods failed alike."""
    gateway = new_gateway(gateway_count=3, tally_period=SECOND, rollback_votes=2)
    now = 10 * SECOND
    number = 0
    gateway.on_endpoint_list(
        now, [entry(n, build=2) for n in range(1, 5)], is_snapshot=True, is_poll_response=True
    )
    gateway.on_rollout_update(now, 2, 1, RolloutPhase.RELEASED, 1.0, is_vote_response=False, is_valid=True)
    while now < 70 * SECOND and not gateway.detector.sums.alarms:
        now += SECOND // 2
        number += 1
        if number % 2:
            for method in gateway.methods:
                gateway.on_tally(now, 2, method.name, 10, 1, 80 * MS, now)
        run_request(gateway, now, f"r{number}", Outcome.ERROR if number % 5 == 0 else Outcome.OK)
    assert gateway.evidence.has_few_outcomes(now)
    assert gateway.detector.sums.alarms
    assert gateway.voter.desired_vote(now) == Vote.ROLL_BACK
