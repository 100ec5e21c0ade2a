"""Plain cases of the decision module alone."""

from __future__ import annotations

from dataclasses import replace

from linenbridge import interface as face
from linenbridge.choice import Choice
from linenbridge.choice.evidence import ON_OUTCOMES
from linenbridge.interface import SECOND
from linenbridge.state.counters import Counts
from linenbridge.state.peers import pack
from tests.helpers import MS, entry, pull, running, startup


def outcome(gateway: Choice, now: int, name: str, result: str, method: str = "look") -> int:
    """Send one RPC and let its first pick end; returns the build that it went to."""
    gateway.on_rpc(now, name, method, 4 * SECOND, None, "", None)
    pick = next(d for d in pull(gateway, now) if d[0] == face.PICK and d[1] == name)
    gateway.on_reply(now + MS, name, 0, result, result == face.OK, MS, {})
    gateway.on_gone(now + MS, name)
    return gateway.fleet.build[gateway.fleet.index[pick[2]]]


def fail_trial(gateway: Choice, now: int, count: int, result: str = face.ERROR) -> int:
    """RPCs that fail at build 2 only, until `count` of them did."""
    failures = n = 0
    while failures < count:
        now, n = now + 10 * MS, n + 1
        gateway.on_rpc(now, f"f{now}", "look", 4 * SECOND, None, "", None)
        pick = next(d for d in pull(gateway, now) if d[0] == face.PICK and d[1] == f"f{now}")
        bad = pick[2] == 4
        gateway.on_reply(now + MS, f"f{now}", 0, result if bad else face.OK, not bad, MS, {})
        gateway.on_gone(now + MS, f"f{now}")
        failures += bad
    return now


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


def test_on_after_enough_clean_outcomes():
    gateway = running()
    now = 0
    while gateway.outcomes < ON_OUTCOMES:
        now += 10 * MS
        outcome(gateway, now, f"r{now}", face.OK)
    pull(gateway, now + MS)
    assert gateway.cast == (2, 1, face.ON)


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


def test_a_build_seen_in_the_list_is_voted_on_before_the_late_news_names_it():
    gateway = Choice(startup(), seed=3, now=0)
    gateway.on_stage(0, 1, 1, face.RELEASED, 1.0, vote=False, valid=True)
    gateway.on_list(0, [entry(1), entry(2), entry(3)], whole=True, answers=True)
    gateway.on_list(0, [entry(4, build=2, started=0)], whole=False, answers=True)
    assert (face.VOTE, 2, 0, face.ON) not in pull(gateway, 3 * SECOND)
    assert (face.VOTE, 2, 0, face.ON) in pull(gateway, 5 * SECOND)


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


def test_a_gateway_that_has_just_started_waits_before_on_and_hears_its_own_outcomes():
    """After a restart: the build's instances are old, this gateway has seen nothing of them yet."""
    now = 100 * SECOND
    gateway = Choice(startup(tally_period=2 * SECOND), seed=7, now=now)
    entries = [entry(1), entry(2), entry(3), entry(4, build=2, started=now - 20 * SECOND)]
    gateway.on_list(now, entries, whole=True, answers=True)
    gateway.on_stage(now, 2, 1, face.ON_TRIAL, 1.0, vote=False, valid=True)
    gateway.on_tally(now, 2, "look", 3, 0, MS, now)
    assert not [d for d in pull(gateway, now + 2 * SECOND) if d[0] == face.VOTE]
    heard = gateway.outcomes
    trials = sum(outcome(gateway, now + n * 10 * MS, f"r{n}", face.OK) == 2 for n in range(200))
    assert gateway.outcomes > heard + trials // 2 > heard


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


def test_no_on_while_a_sum_nears_its_alarm():
    gateway = running()
    gateway.outcomes = ON_OUTCOMES
    assert gateway._wanted(SECOND) == face.ON
    gateway._hear(2, 0, Counts(1, 1), gateway.fleet.index[4])
    assert gateway._wanted(SECOND) == face.NO_VOTE and not gateway.sums.alarms


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


def test_a_small_gateway_takes_the_tallies_for_its_own_outcomes():
    gateway = running(tally_period=2 * SECOND, gateways=100, back_votes=35)
    for odd in (("none", 2, 9, 9), ("look", 7, 9, 9), ("look", 2, 0, 0), ("look", 2, 4, 5)):
        gateway.on_tally(0, odd[1], odd[0], odd[2], odd[3], 0, 0)
    assert not gateway.outcomes and all(w <= 0 for w in gateway.sums.by_key.values())
    for period in range(4):
        gateway.on_tally(period, 1, "look", 30, 0, 100 * MS, period)
        gateway.on_tally(period, 2, "look", 10, 4, 100 * MS, period)
        assert bool(gateway.sums.alarms) is (period >= 1), "one period alone is not the build"
    assert gateway._wanted(SECOND) == face.BACK


def test_peers_words_count_once_whatever_their_order():
    gateway = running(may_tell=True, gateways=100, back_votes=35)
    words = [pack(9, [1, 2], 3, {(2, 0): Counts(n, n)}) for n in range(1, 8)]
    for word in (words[1], words[0], words[1], words[1][:-3], b"x", words[2], words[2]):
        gateway.on_peer(0, 5, word)
    assert gateway.outcomes == 3
    gateway.on_peer(0, 5, pack(10, [1, 2], 3, {(2, 0): Counts(2, 2)}))
    assert gateway.outcomes == 5, "a peer that started anew counts from nothing"


def test_words_go_to_peers_and_are_read_there():
    gateway, peer = running(may_tell=True, gateways=3), running(may_tell=True, gateways=3)
    told = []
    for n in range(40):
        gateway.on_rpc(n * 50 * MS, f"r{n}", "look", 4 * SECOND, None, "", None)
        decisions = pull(gateway, n * 50 * MS)
        told += [d[2] for d in decisions if d[0] == face.TELL]
        gateway.on_reply(n * 50 * MS, f"r{n}", 0, face.OK, True, MS, {})
    for words in told:
        peer.on_peer(0, 1, words)
    assert 0 < peer.outcomes <= gateway.told[2, 0].picks


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


def test_once_the_earlier_build_is_gone_a_tally_alarms_on_one_method_not_on_a_bad_hour():
    for sick, lost, alarmed in (
        ({"charge"}, 6, True), ({"charge"}, 1, False), ({"look", "store", "charge"}, 6, False)
    ):  # fmt: skip
        gateway = running(tally_period=2 * SECOND, gateways=100, back_votes=35)
        gateway.on_list(0, [entry(4, build=2)], whole=True, answers=True)
        for period in range(8):
            for method in ("look", "store", "charge"):
                gateway.on_tally(period, 2, method, 10, lost * (method in sick), 100 * MS, period)
        assert bool(gateway.sums.alarms) is alarmed


def test_votes_of_two_hundred_gateways_come_to_stand_together_within_the_calls_taken():
    """16 calls a second and 32 in a burst, votes that stand 6 s, 120 needed: a call for a vote that stands
    already, or to take an 'on' back for a moment, is one too few."""
    gateways, stands, calls, at = [], [0] * 200, 32.0, 0
    for number in range(200):
        gateway = Choice(startup(number=number, gateways=200, calls_per_second=16.0), seed=number, now=0)
        gateway.on_list(0, [entry(1), entry(2), entry(4, build=2, started=0)], whole=True, answers=True)
        gateway.on_stage(0, 2, 0, face.ON_TRIAL, 0.2, vote=False, valid=True)
        gateways.append(gateway)
    most = 0
    for at in range(4 * SECOND, 11 * SECOND, 100 * MS):
        calls = min(32.0, calls + 1.6)
        for number, gateway in enumerate(gateways):
            gateway.sums.by_key[0, "slow"] = 0.3 if (number + at // (300 * MS)) % 10 == 0 else -0.1
            for vote in [decision for decision in pull(gateway, at) if decision[0] == face.VOTE]:
                counted, calls = calls >= 1.0, calls - (calls >= 1.0)
                stands[number] = at + 6 * SECOND * (vote[3] == face.ON) if counted else stands[number]
                gateway.on_stage(at, 2, 0, face.ON_TRIAL, 0.2, vote=True, valid=counted)
        most = max(most, sum(until > at for until in stands))
    assert most >= 120


def test_an_on_vote_that_lapses_is_taken_back_once_the_sum_is_over_half_the_least_threshold():
    gateway = running(gateways=200, calls_per_second=16.0)
    gateway.cast, gateway.vote_at, gateway.outcomes = (2, 1, face.ON), 6 * SECOND, ON_OUTCOMES - 1
    for w, sent in ((1.0, []), (2.6, [(face.VOTE, 2, 1, face.NO_VOTE)])):
        gateway.sums.by_key[0, "slow"] = w
        assert [decision for decision in pull(gateway, SECOND) if decision[0] == face.VOTE] == sent


def test_a_small_gateway_judges_a_released_build_by_own_errors_where_no_earlier_one_is_left():
    """Seen at three gateways: one alarmed, the others heard tallies, in which all methods failed alike."""
    gateway = running(gateways=3, tally_period=SECOND, back_votes=2)
    now, number = 10 * SECOND, 0
    gateway.on_list(now, [entry(n, build=2) for n in range(1, 5)], whole=True, answers=True)
    gateway.on_stage(now, 2, 1, face.RELEASED, 1.0, vote=False, valid=True)
    while now < 70 * SECOND and not gateway.sums.alarms:
        now, number = now + SECOND // 2, number + 1
        if number % 2:
            for method in gateway.methods:
                gateway.on_tally(now, 2, method.name, 10, 1, 80 * MS, now)
        outcome(gateway, now, f"r{number}", face.ERROR if number % 5 == 0 else face.OK)
    assert gateway._few(now) and gateway.sums.alarms
    assert gateway._wanted(now) == face.BACK
