"""Load shedding: when it begins, which requests it rejects, and when it ends."""

from __future__ import annotations


from linenbridge.decisions import Decision, SendAttempt
from linenbridge.interface import Outcome, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import MS, entry, pull_decisions, new_gateway, startup


def is_sent(decisions: list[Decision], rpc_id: str) -> bool:
    """Whether an attempt of the request is among the decisions."""
    return any(isinstance(decision, SendAttempt) and decision.rpc_id == rpc_id for decision in decisions)


def test_late_responses_shed_low_weights_first_and_timely_ones_end_the_shedding():
    gateway = new_gateway()
    for n in range(8):
        gateway.on_request(0, f"r{n}", ("look", "charge")[n % 2], 4 * SECOND, None, "", None)
    pull_decisions(gateway, 0)
    for n in range(4):
        gateway.on_attempt_finished(3 * SECOND, f"r{n}", 0, Outcome.TIMED_OUT, False, 3 * SECOND, {})
    pull_decisions(gateway, 3 * SECOND)
    shed = [(weight, gateway.shedder.sheds(3 * SECOND, weight)) for weight in (1.0, 4.0) * 300]
    assert shed.count((1.0, True)) > 1.1 * shed.count((4.0, True)) > 0
    for _ in range(20):
        gateway.shedder.add_response(late=False)
    assert not any(gateway.shedder.sheds(3 * SECOND, 1.0) for _ in range(300))


def test_shedding_applies_only_if_the_lowest_limits_of_all_gateways_queue_past_an_objective():
    """Forty gateways get twenty RPCs a second each, and their concurrency limits admit all of them while the
    instances are overloaded: one RPC in flight from each gateway is more than the instances serve in time.
    The limits of four gateways can keep the queues short.
    """
    for gateways, is_shedding_expected in ((40, True), (4, False)):
        gateway = DecisionModule(startup(gateway_count=gateways), seed=7, now=0)
        shed = 0
        gateway.on_endpoint_list(
            0, [entry(number) for number in range(60)], is_snapshot=True, is_poll_response=True
        )
        for n in range(400):
            now = n * 50 * MS
            outcome = Outcome.OK if n < 200 else Outcome.OVERLOADED
            gateway.on_request(now, f"r{n}", "look", 4 * SECOND, None, "", None)
            shed += not is_sent(pull_decisions(gateway, now), f"r{n}")
            gateway.on_attempt_finished(now + 40 * MS, f"r{n}", 0, outcome, True, 40 * MS, {})
            gateway.on_client_disconnected(now + 41 * MS, f"r{n}")
        assert (shed > 100) == is_shedding_expected, (gateways, shed)


def test_time_outs_raise_the_shedding_level_only_if_the_instance_has_responded_to_others():
    """When a third of a fleet paused, gateways rejected a tenth of all RPCs although capacity was free."""
    for silent, is_shedding_expected in ((True, False), (False, True)):
        gateway = DecisionModule(startup(), seed=7, now=0)
        gateway.on_endpoint_list(
            0, [entry(number) for number in range(2)], is_snapshot=True, is_poll_response=True
        )
        for n in range(40):
            now = n * 50 * MS
            gateway.on_request(now, f"r{n}", "look", 4 * SECOND, None, "", None)
            attempts = [
                d for d in pull_decisions(gateway, now) if isinstance(d, SendAttempt) and d.rpc_id == f"r{n}"
            ]
            for instance in [gateway.fleet.index[attempt.instance] for attempt in attempts]:
                gateway.fleet.last_response_at[instance] = now - SECOND if silent else now + 10 * MS
            gateway.on_attempt_finished(now + 40 * MS, f"r{n}", 0, Outcome.TIMED_OUT, True, 40 * MS, {})
            gateway.on_client_disconnected(now + 41 * MS, f"r{n}")
            gateway.fleet.ejected_until[:] = [0, 0]
        assert (gateway.shedder.level > 0.5) == is_shedding_expected, (silent, gateway.shedder.level)


def test_shedding_ends_within_seconds_at_a_low_rate_of_responses():
    """At seventeen RPCs a second, with one in twenty sent, responses alone lower the level too slowly."""
    gateway = DecisionModule(startup(gateway_count=40), seed=7, now=0)
    attempted = []
    gateway.on_endpoint_list(
        0, [entry(number) for number in range(60)], is_snapshot=True, is_poll_response=True
    )
    gateway.shedder.level = 1.0
    for n in range(45):
        now = n * 60 * MS
        gateway.on_request(now, f"r{n}", "look", 4 * SECOND, None, "", None)
        attempted.append(is_sent(pull_decisions(gateway, now), f"r{n}"))
        gateway.on_attempt_finished(now + 40 * MS, f"r{n}", 0, Outcome.OK, True, 40 * MS, {})
    assert not all(attempted[:17])
    assert all(attempted[-8:])
