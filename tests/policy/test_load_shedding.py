"""Shedding: when it begins, whom it meets, when it ends."""

from __future__ import annotations


from linenbridge import interface as face
from linenbridge.policy import Choice
from linenbridge.interface import SECOND
from tests.helpers import MS, entry, pull, running, startup


def test_late_answers_shed_low_utility_first_and_it_ends():
    gateway = running()
    for n in range(8):
        gateway.on_rpc(0, f"r{n}", ("look", "charge")[n % 2], 4 * SECOND, None, "", None)
    pull(gateway, 0)
    for n in range(4):
        gateway.on_reply(3 * SECOND, f"r{n}", 0, face.TIMED_OUT, False, 3 * SECOND, {})
    pull(gateway, 3 * SECOND)
    shed = [(utility, gateway._sheds(3 * SECOND, utility)) for utility in (1.0, 4.0) * 300]
    assert shed.count((1.0, True)) > 1.1 * shed.count((4.0, True)) > 0
    for _ in range(20):
        gateway._weigh_shed(late=False)
    assert not any(gateway._sheds(3 * SECOND, 1.0) for _ in range(300))


def test_shedding_acts_where_the_least_limits_of_all_gateways_queue_past_a_soft_deadline():
    """Of forty gateways each finds room for its twenty RPCs a second while instances drown: one out from each
    is more than they answer in time. Four gateways' limits can keep the queue short."""
    for gateways, acts in ((40, True), (4, False)):
        gateway, shed = Choice(startup(gateways=gateways), seed=7, now=0), 0
        gateway.on_list(0, [entry(i) for i in range(60)], whole=True, answers=True)
        for n in range(400):
            now, outcome = n * 50 * MS, face.OK if n < 200 else face.FULL
            gateway.on_rpc(now, f"r{n}", "look", 4 * SECOND, None, "", None)
            shed += all(decision[:2] != (face.PICK, f"r{n}") for decision in pull(gateway, now))
            gateway.on_reply(now + 40 * MS, f"r{n}", 0, outcome, True, 40 * MS, {})
            gateway.on_gone(now + 41 * MS, f"r{n}")
        assert (shed > 100) == acts, (gateways, shed)


def test_an_instance_silent_throughout_a_pick_sheds_nothing_and_one_that_answers_others_does():
    """A third of a fleet that paused had gateways push back a tenth of all RPCs with room free."""
    for silent, acts in ((True, False), (False, True)):
        gateway = Choice(startup(), seed=7, now=0)
        gateway.on_list(0, [entry(i) for i in range(2)], whole=True, answers=True)
        for n in range(40):
            now = n * 50 * MS
            gateway.on_rpc(now, f"r{n}", "look", 4 * SECOND, None, "", None)
            picks = [d for d in pull(gateway, now) if d[0] == face.PICK and d[1] == f"r{n}"]
            for instance in [gateway.fleet.index[pick[2]] for pick in picks]:
                gateway.fleet.last_reply[instance] = now - SECOND if silent else now + 10 * MS
            gateway.on_reply(now + 40 * MS, f"r{n}", 0, face.TIMED_OUT, True, 40 * MS, {})
            gateway.on_gone(now + 41 * MS, f"r{n}")
            gateway.fleet.shun_until[:] = [0, 0]
        assert (gateway.shed > 0.5) == acts, (silent, gateway.shed)


def test_shedding_ends_within_seconds_where_few_answers_come():
    """Seventeen RPCs a second, one in twenty let through: too few answers to bring the level down soon."""
    gateway, taken = Choice(startup(gateways=40), seed=7, now=0), []
    gateway.on_list(0, [entry(i) for i in range(60)], whole=True, answers=True)
    gateway.shed = 1.0
    for n in range(45):
        now = n * 60 * MS
        gateway.on_rpc(now, f"r{n}", "look", 4 * SECOND, None, "", None)
        taken.append(any(decision[:2] == (face.PICK, f"r{n}") for decision in pull(gateway, now)))
        gateway.on_reply(now + 40 * MS, f"r{n}", 0, face.OK, True, 40 * MS, {})
    assert not all(taken[:17]) and all(taken[-8:])
