"""Which instance an attempt goes to."""

from __future__ import annotations


from linenbridge.decisions import SendAttempt
from linenbridge.interface import InstanceState, Outcome, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import MS, entry, pull_decisions, new_gateway, startup


def test_a_draining_instance_gets_no_attempts():
    gateway = new_gateway()
    gateway.on_endpoint_list(
        1, [entry(2, state=InstanceState.DRAINING)], is_snapshot=False, is_poll_response=True
    )
    for n in range(100):
        gateway.on_request(n, f"r{n}", "look", 4 * SECOND, None, "", None)
        assert all(d.instance != 2 for d in pull_decisions(gateway, n) if isinstance(d, SendAttempt))


def test_an_instance_that_rejects_at_once_gets_few_attempts():
    gateway = new_gateway()
    for n in range(300):
        now = n * 20 * MS
        gateway.on_request(now, f"r{n}", "look", 4 * SECOND, None, "", None)
        for sent in [d for d in pull_decisions(gateway, now) if isinstance(d, SendAttempt)]:
            rpc = sent.rpc_id
            full = sent.instance == 1
            gateway.on_attempt_finished(
                now + MS, rpc, 0, Outcome.OVERLOADED if full else Outcome.OK, not full, MS, {}
            )
    sent = [attempt for attempt in range(300) if f"r{attempt}" in gateway.requests]
    assert len(sent) < 30


def test_the_order_of_instances_ignores_other_instances_and_differs_between_gateways():
    def order(entries: list, number: int = 0) -> list[int | str]:
        gateway = DecisionModule(startup(gateway_number=number), seed=number, now=0)
        gateway.on_endpoint_list(0, entries, is_snapshot=True, is_poll_response=True)
        return [gateway.fleet.ids[instance_index] for instance_index in gateway.fleet.ready_by_build[1]]

    shorter = order([entry(n) for n in range(1, 20)])
    assert shorter == [n for n in order([entry(n) for n in range(30, 0, -1)]) if n < 20]
    firsts = {order([entry(n) for n in range(1, 20)], number)[0] for number in range(60)}
    assert len(firsts) > 12, "many gateways do not prefer the same few instances"
