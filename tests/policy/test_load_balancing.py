"""Which instance an RPC goes to, how its health is judged, and the guards."""

from __future__ import annotations

from dataclasses import replace

from linenbridge.decisions import Fail, Reject, SendAttempt, WatchEndpoints
from linenbridge.interface import InstanceState, Outcome, RolloutPhase, SECOND
from linenbridge.policy import DecisionModule
from tests.helpers import MS, entry, pull, running, startup


def test_nothing_goes_to_a_draining_instance():
    gateway = running()
    gateway.on_endpoint_list(
        1, [entry(2, state=InstanceState.DRAINING)], is_snapshot=False, is_poll_response=True
    )
    for n in range(100):
        gateway.on_request(n, f"r{n}", "look", 4 * SECOND, None, "", None)
        assert all(d.instance != 2 for d in pull(gateway, n) if isinstance(d, SendAttempt))


def test_a_non_idempotent_rpc_that_may_have_run_is_aborted_not_repeated():
    gateway = running()
    gateway.on_request(0, "r", "charge", 4 * SECOND, None, "", None)
    assert isinstance(pull(gateway, 0)[0], SendAttempt)
    gateway.on_attempt_finished(MS, "r", 0, Outcome.ERROR, False, MS, {})
    assert pull(gateway, MS) == [Fail("r")]


def test_a_failed_list_call_is_made_again():
    gateway = DecisionModule(startup(polls_endpoints=True), seed=1, now=0)
    assert WatchEndpoints() in pull(gateway, 0)
    gateway.on_endpoint_list_failed(10)
    assert WatchEndpoints() in pull(gateway, SECOND)


def test_refusals_at_once_do_not_make_an_instance_look_empty():
    gateway = running()
    for n in range(300):
        now = n * 20 * MS
        gateway.on_request(now, f"r{n}", "look", 4 * SECOND, None, "", None)
        for sent in [d for d in pull(gateway, now) if isinstance(d, SendAttempt)]:
            rpc, full = sent.rpc_id, sent.instance == 1
            gateway.on_attempt_finished(
                now + MS, rpc, 0, Outcome.OVERLOADED if full else Outcome.OK, not full, MS, {}
            )
    sent = [pick for pick in range(300) if f"r{pick}" in gateway.requests]
    assert len(sent) < 30


def test_silence_is_judged_by_how_much_is_in_flight():
    """In a slow hour every instance with one heavy RPC would else look dead to the pace of four."""
    gateway, now = running(), 0
    fleet, i = gateway.fleet, gateway.fleet.index[1]
    for _ in range(4):
        fleet.on_sent(i, now)
    for _ in range(100):
        now += 40 * MS
        fleet.in_flight[i] -= 1
        fleet.on_response(i, now, 0.1)
        fleet.on_sent(i, now)
    fleet.in_flight[i] = 1
    list(gateway.hedger.decisions(now + 600 * MS))
    assert not fleet.consecutive_failures[i]
    list(gateway.hedger.decisions(now + 1400 * MS))
    assert fleet.consecutive_failures[i] == 1
    fleet.consecutive_failures[i], fleet.ejected_until[i], fleet.in_flight[i] = 0, 0, 4
    list(gateway.hedger.decisions(now + 600 * MS))
    assert fleet.consecutive_failures[i] == 1


def test_what_was_sent_together_to_an_idle_instance_is_no_flow():
    """A gateway with few RPCs has two out at one of many instances now and then: both come after a whole
    service time, and half of the silence allowed would shun each instance on a slow path."""
    gateway, now = running(), 0
    fleet, i = gateway.fleet, gateway.fleet.index[1]
    for _ in range(100):
        fleet.on_sent(i, now)
        now += 100 * MS
        fleet.in_flight[i] -= 1
        fleet.on_response(i, now, 0.1)
    fleet.on_sent(i, now)
    fleet.on_sent(i, now)
    list(gateway.hedger.decisions(now + 700 * MS))
    assert not fleet.consecutive_failures[i]
    list(gateway.hedger.decisions(now + 900 * MS))
    assert fleet.consecutive_failures[i] == 1


def test_an_answer_missed_among_others_is_asked_for_elsewhere_within_the_budget():
    """An instance that goes on answering has lost one: its silence would not tell before the deadline."""
    gateway, now, again = running(), 0, 0
    for n in range(400):
        now += 10 * MS
        gateway.on_request(now, f"r{n}", ("look", "charge")[n % 2], 4 * SECOND, None, "", None)
        for pick in [d for d in pull(gateway, now) if isinstance(d, SendAttempt)]:
            again += pick.rpc_id != f"r{n}"
            assert (
                pick.rpc_id == f"r{n}" or int(pick.rpc_id[1:]) % 2 == 0
            )  # Never one that must not run twice.
            if n < 200 or n % 20 or pick.rpc_id != f"r{n}":
                number = len(gateway.requests[pick.rpc_id].attempts) - 1
                gateway.on_attempt_finished(now, pick.rpc_id, number, Outcome.OK, True, MS, {})
    assert again == 10 - 1


def test_doubt_comes_well_before_the_soft_deadline_however_short_that_is():
    """At a fixed pace of 50 ms a silent instance was doubted too late where the aim is a quarter second."""
    start = startup()
    quick = tuple(
        replace(method, latency_objective=method.latency_objective // 5) for method in start.methods
    )
    gateway = DecisionModule(replace(start, methods=quick), seed=7, now=0)
    gateway.on_endpoint_list(0, [entry(n) for n in range(4)], is_snapshot=True, is_poll_response=True)
    dead, again, now = None, set(), 0
    for n in range(600):
        now += 2 * MS
        gateway.on_request(now, f"r{n}", "look", SECOND, None, "", None)
        for sent in [d for d in pull(gateway, now) if isinstance(d, SendAttempt)]:
            rpc, instance = sent.rpc_id, sent.instance
            dead = instance if n == 400 else dead
            if instance != dead:
                again |= {rpc} - {f"r{n}"}
                gateway.on_attempt_finished(
                    now, rpc, len(gateway.requests[rpc].attempts) - 1, Outcome.OK, True, MS, {}
                )
    assert "r400" in again


def test_ids_without_end_and_tenants_without_end_make_no_table_grow():
    """Instances come and go under new ids, with RPCs open on them; an index in use is never given away."""
    gateway, now = running(), 0
    for n in range(300):
        now += 20 * MS
        gateway.on_request(now, f"r{n}", "look", SECOND, None, f"tenant{n}", None)
        picks = [d for d in pull(gateway, now) if isinstance(d, SendAttempt)]
        where = {i: gateway.fleet.ids[i] for i in gateway.requests.used_indices()}
        entries = [entry(1000 + n % 7), entry(1), entry(2), entry(2000 + n, build=2)]
        gateway.on_endpoint_list(
            now,
            [*entries, entry(9000 + n, state=InstanceState.REMOVED)],
            is_snapshot=True,
            is_poll_response=True,
        )
        assert all(gateway.fleet.ids[i] == name for i, name in where.items())
        for pick in picks:
            gateway.on_attempt_finished(now, pick.rpc_id, 0, Outcome.OK, True, MS, {})
        fleet = gateway.fleet
        assert all(fleet.ids[i] == name for name, i in fleet.index.items())
        assert {fleet.ids[i] for i in fleet.ready} == {row.instance for row in entries}
    assert (
        len(fleet.ids) <= 14
        and len(fleet.in_flight) == len(fleet.rank) == len(fleet.ids)
        and not any(fleet.in_flight)
    )
    assert not gateway.priorities.usage.rates


def test_the_first_allowances_of_many_gateways_do_not_meet_at_a_fresh_instance():
    sent = 0
    for seed in range(200):
        gateway = DecisionModule(startup(), seed=seed, now=0)
        fleet = [*(entry(n) for n in range(1, 10)), entry(10, started=0)]
        gateway.on_endpoint_list(0, fleet, is_snapshot=True, is_poll_response=True)
        cold = gateway.fleet.index[10]
        for n in range(5):
            gateway.slow_start.admit(1.0)
            if gateway.slow_start.has_allowance(n, cold):
                gateway.fleet.slow_start_tokens[cold] -= 1.0
                sent += 1
    assert 0 < sent <= 5 * 200 * 2.0 * 0.3 / 10


def test_the_order_of_instances_outlives_a_restart_and_other_instances():
    def order(entries: list, number: int = 0) -> list[int]:
        gateway = DecisionModule(startup(gateway_number=number), seed=number, now=0)
        gateway.on_endpoint_list(0, entries, is_snapshot=True, is_poll_response=True)
        return [gateway.fleet.ids[i] for i in gateway.fleet.ready_by_build[1]]

    few = order([entry(n) for n in range(1, 20)])
    assert few == [n for n in order([entry(n) for n in range(30, 0, -1)]) if n < 20]
    firsts = {order([entry(n) for n in range(1, 20)], number)[0] for number in range(60)}
    assert len(firsts) > 12, "hundreds of gateways do not crowd on the same few"


def test_no_instance_ready_and_news_against_the_list_raise_nothing():
    gateway = running(gateway_count=1, gossip_allowed=True)
    gateway.on_endpoint_list(0, [], is_snapshot=True, is_poll_response=True)
    gateway.on_rollout_update(0, 9, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=False, is_valid=True)
    gateway.on_request(0, "r", "look", SECOND, None, "", None)
    answers = [d for step in range(25) for d in pull(gateway, step * 50 * MS)]
    assert [type(d) for d in answers if isinstance(d, SendAttempt | Reject | Fail)] == [Reject]
