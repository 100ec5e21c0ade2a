"""Which instance an RPC goes to, how its health is judged, and the guards."""

from __future__ import annotations

from dataclasses import replace

from linenbridge import interface as face
from linenbridge.policy import Choice
from linenbridge.interface import SECOND
from tests.helpers import MS, entry, pull, running, startup


def test_nothing_goes_to_a_draining_instance():
    gateway = running()
    gateway.on_list(1, [entry(2, state=face.DRAINING)], whole=False, answers=True)
    for n in range(100):
        gateway.on_rpc(n, f"r{n}", "look", 4 * SECOND, None, "", None)
        assert all(d[2] != 2 for d in pull(gateway, n) if d[0] == face.PICK)


def test_a_non_idempotent_rpc_that_may_have_run_is_aborted_not_repeated():
    gateway = running()
    gateway.on_rpc(0, "r", "charge", 4 * SECOND, None, "", None)
    assert pull(gateway, 0)[0][0] == face.PICK
    gateway.on_reply(MS, "r", 0, face.ERROR, False, MS, {})
    assert pull(gateway, MS) == [(face.ABORT, "r")]


def test_a_failed_list_call_is_made_again():
    gateway = Choice(startup(asks_for_list=True), seed=1, now=0)
    assert (face.WATCH,) in pull(gateway, 0)
    gateway.on_list_failed(10)
    assert (face.WATCH,) in pull(gateway, SECOND)


def test_refusals_at_once_do_not_make_an_instance_look_empty():
    gateway = running()
    for n in range(300):
        now = n * 20 * MS
        gateway.on_rpc(now, f"r{n}", "look", 4 * SECOND, None, "", None)
        for kind, rpc, instance, _ in [d for d in pull(gateway, now) if d[0] == face.PICK]:
            full = kind == face.PICK and instance == 1
            gateway.on_reply(now + MS, rpc, 0, face.FULL if full else face.OK, not full, MS, {})
    sent = [pick for pick in range(300) if f"r{pick}" in gateway.rpcs]
    assert len(sent) < 30


def test_silence_is_judged_by_how_much_is_in_flight():
    """In a slow hour every instance with one heavy RPC would else look dead to the pace of four."""
    gateway, now = running(), 0
    fleet, i = gateway.fleet, gateway.fleet.index[1]
    for _ in range(4):
        fleet.sent(i, now)
    for _ in range(100):
        now += 40 * MS
        fleet.out[i] -= 1
        fleet.answered(i, now, 0.1)
        fleet.sent(i, now)
    fleet.out[i] = 1
    list(gateway._doubt(now + 600 * MS))
    assert not fleet.strikes[i]
    list(gateway._doubt(now + 1400 * MS))
    assert fleet.strikes[i] == 1
    fleet.strikes[i], fleet.shun_until[i], fleet.out[i] = 0, 0, 4
    list(gateway._doubt(now + 600 * MS))
    assert fleet.strikes[i] == 1


def test_what_was_sent_together_to_an_idle_instance_is_no_flow():
    """A gateway with few RPCs has two out at one of many instances now and then: both come after a whole
    service time, and half of the silence allowed would shun each instance on a slow path."""
    gateway, now = running(), 0
    fleet, i = gateway.fleet, gateway.fleet.index[1]
    for _ in range(100):
        fleet.sent(i, now)
        now += 100 * MS
        fleet.out[i] -= 1
        fleet.answered(i, now, 0.1)
    fleet.sent(i, now)
    fleet.sent(i, now)
    list(gateway._doubt(now + 700 * MS))
    assert not fleet.strikes[i]
    list(gateway._doubt(now + 900 * MS))
    assert fleet.strikes[i] == 1


def test_an_answer_missed_among_others_is_asked_for_elsewhere_within_the_budget():
    """An instance that goes on answering has lost one: its silence would not tell before the deadline."""
    gateway, now, again = running(), 0, 0
    for n in range(400):
        now += 10 * MS
        gateway.on_rpc(now, f"r{n}", ("look", "charge")[n % 2], 4 * SECOND, None, "", None)
        for pick in [d for d in pull(gateway, now) if d[0] == face.PICK]:
            again += pick[1] != f"r{n}"
            assert pick[1] == f"r{n}" or int(pick[1][1:]) % 2 == 0  # Never one that must not run twice.
            if n < 200 or n % 20 or pick[1] != f"r{n}":
                number = len(gateway.rpcs[pick[1]].picks) - 1
                gateway.on_reply(now, pick[1], number, face.OK, True, MS, {})
    assert again == 10 - 1


def test_doubt_comes_well_before_the_soft_deadline_however_short_that_is():
    """At a fixed pace of 50 ms a silent instance was doubted too late where the aim is a quarter second."""
    start = startup()
    quick = tuple(replace(method, soft_deadline=method.soft_deadline // 5) for method in start.methods)
    gateway = Choice(replace(start, methods=quick), seed=7, now=0)
    gateway.on_list(0, [entry(n) for n in range(4)], whole=True, answers=True)
    dead, again, now = None, set(), 0
    for n in range(600):
        now += 2 * MS
        gateway.on_rpc(now, f"r{n}", "look", SECOND, None, "", None)
        for _, rpc, instance, _ in [d for d in pull(gateway, now) if d[0] == face.PICK]:
            dead = instance if n == 400 else dead
            if instance != dead:
                again |= {rpc} - {f"r{n}"}
                gateway.on_reply(now, rpc, len(gateway.rpcs[rpc].picks) - 1, face.OK, True, MS, {})
    assert "r400" in again


def test_ids_without_end_and_tenants_without_end_make_no_table_grow():
    """Instances come and go under new ids, with RPCs open on them; an index in use is never given away."""
    gateway, now = running(), 0
    for n in range(300):
        now += 20 * MS
        gateway.on_rpc(now, f"r{n}", "look", SECOND, None, f"tenant{n}", None)
        picks = [d for d in pull(gateway, now) if d[0] == face.PICK]
        where = {i: gateway.fleet.ids[i] for i in gateway.rpcs.instances()}
        entries = [entry(1000 + n % 7), entry(1), entry(2), entry(2000 + n, build=2)]
        gateway.on_list(now, [*entries, entry(9000 + n, state=face.GONE)], whole=True, answers=True)
        assert all(gateway.fleet.ids[i] == name for i, name in where.items())
        for pick in picks:
            gateway.on_reply(now, pick[1], 0, face.OK, True, MS, {})
        fleet = gateway.fleet
        assert all(fleet.ids[i] == name for name, i in fleet.index.items())
        assert {fleet.ids[i] for i in fleet.ready} == {row.instance for row in entries}
    assert len(fleet.ids) <= 14 and len(fleet.out) == len(fleet.rank) == len(fleet.ids) and not any(fleet.out)
    assert not gateway.tenants.rates


def test_the_first_allowances_of_many_gateways_do_not_meet_at_a_fresh_instance():
    sent = 0
    for seed in range(200):
        gateway = Choice(startup(), seed=seed, now=0)
        fleet = [*(entry(n) for n in range(1, 10)), entry(10, started=0)]
        gateway.on_list(0, fleet, whole=True, answers=True)
        cold = gateway.fleet.index[10]
        for n in range(5):
            gateway.work_taken += 1.0
            if gateway._cold_room(n, cold):
                gateway.fleet.cold_tokens[cold] -= 1.0
                sent += 1
    assert 0 < sent <= 5 * 200 * 2.0 * 0.3 / 10


def test_the_order_of_instances_outlives_a_restart_and_other_instances():
    def order(entries: list, number: int = 0) -> list[int]:
        gateway = Choice(startup(number=number), seed=number, now=0)
        gateway.on_list(0, entries, whole=True, answers=True)
        return [gateway.fleet.ids[i] for i in gateway.near[1]]

    few = order([entry(n) for n in range(1, 20)])
    assert few == [n for n in order([entry(n) for n in range(30, 0, -1)]) if n < 20]
    firsts = {order([entry(n) for n in range(1, 20)], number)[0] for number in range(60)}
    assert len(firsts) > 12, "hundreds of gateways do not crowd on the same few"


def test_no_instance_ready_and_news_against_the_list_raise_nothing():
    gateway = running(gateways=1, may_tell=True)
    gateway.on_list(0, [], whole=True, answers=True)
    gateway.on_stage(0, 9, 1, face.ON_TRIAL, 1.0, vote=False, valid=True)
    gateway.on_rpc(0, "r", "look", SECOND, None, "", None)
    answers = [d for step in range(25) for d in pull(gateway, step * 50 * MS)]
    assert [d[0] for d in answers if d[0] in (face.PICK, face.PUSH_BACK, face.ABORT)] == [face.PUSH_BACK]
