"""When an instance is suspected."""

from __future__ import annotations

from dataclasses import replace

from linenbridge.decisions import SendAttempt
from linenbridge.interface import Outcome, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import MS, entry, pull_decisions, new_gateway, startup


def test_an_instance_with_fewer_attempts_in_flight_may_be_silent_for_longer():
    """By the response gap of four RPCs in flight, an instance with a single heavy one would be suspected in
    each slow hour.
    """
    gateway = new_gateway()
    now = 0
    fleet = gateway.fleet
    instance_index = gateway.fleet.index[1]
    for _ in range(4):
        fleet.on_sent(instance_index, now)
    for _ in range(100):
        now += 40 * MS
        fleet.in_flight[instance_index] -= 1
        fleet.on_response(instance_index, now, 0.1)
        fleet.on_sent(instance_index, now)
    fleet.in_flight[instance_index] = 1
    list(gateway.hedger.decisions(now + 600 * MS))
    assert not fleet.consecutive_failures[instance_index]
    list(gateway.hedger.decisions(now + 1400 * MS))
    assert fleet.consecutive_failures[instance_index] == 1
    fleet.consecutive_failures[instance_index] = 0
    fleet.ejected_until[instance_index] = 0
    fleet.in_flight[instance_index] = 4
    list(gateway.hedger.decisions(now + 600 * MS))
    assert fleet.consecutive_failures[instance_index] == 1


def test_attempts_sent_together_to_an_idle_instance_do_not_shorten_the_expected_gap():
    """A gateway with few RPCs sometimes has two in flight at one of many instances. Both responses take a
    whole service time. If two in flight halved the allowed silence, each instance on a slow network path
    would be ejected.
    """
    gateway = new_gateway()
    now = 0
    fleet = gateway.fleet
    instance_index = gateway.fleet.index[1]
    for _ in range(100):
        fleet.on_sent(instance_index, now)
        now += 100 * MS
        fleet.in_flight[instance_index] -= 1
        fleet.on_response(instance_index, now, 0.1)
    fleet.on_sent(instance_index, now)
    fleet.on_sent(instance_index, now)
    list(gateway.hedger.decisions(now + 700 * MS))
    assert not fleet.consecutive_failures[instance_index]
    list(gateway.hedger.decisions(now + 900 * MS))
    assert fleet.consecutive_failures[instance_index] == 1


def test_a_request_at_a_silent_instance_is_hedged_within_a_short_latency_objective():
    """With a fixed sweep period of 50 ms, a silent instance was suspected too late for a latency objective
    of a quarter of a second.
    """
    start = startup()
    short_objectives = tuple(
        replace(method, latency_objective=method.latency_objective // 5) for method in start.methods
    )
    gateway = DecisionModule(replace(start, methods=short_objectives), seed=7, now=0)
    gateway.on_endpoint_list(0, [entry(n) for n in range(4)], is_snapshot=True, is_poll_response=True)
    silent = None
    hedged = set()
    now = 0
    for n in range(600):
        now += 2 * MS
        gateway.on_request(now, f"r{n}", "look", SECOND, None, "", None)
        for attempt in [d for d in pull_decisions(gateway, now) if isinstance(d, SendAttempt)]:
            request_id = attempt.rpc_id
            instance = attempt.instance
            silent = instance if n == 400 else silent
            if instance != silent:
                hedged |= {request_id} - {f"r{n}"}
                gateway.on_attempt_finished(
                    now, request_id, len(gateway.requests[request_id].attempts) - 1, Outcome.OK, True, MS, {}
                )
    assert "r400" in hedged
