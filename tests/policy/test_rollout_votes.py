"""The one standing vote."""

from __future__ import annotations


from linenbridge import interface as face
from linenbridge.policy import Choice
from linenbridge.policy.change_detection import ON_OUTCOMES
from linenbridge.interface import SECOND
from linenbridge.state.counters import Counts
from tests.helpers import MS, entry, pull, running, startup
from tests.policy.helpers import outcome


def test_on_after_enough_clean_outcomes():
    gateway = running()
    now = 0
    while gateway.outcomes < ON_OUTCOMES:
        now += 10 * MS
        outcome(gateway, now, f"r{now}", face.OK)
    pull(gateway, now + MS)
    assert gateway.cast == (2, 1, face.ON)


def test_a_build_seen_in_the_list_is_voted_on_before_the_late_news_names_it():
    gateway = Choice(startup(), seed=3, now=0)
    gateway.on_stage(0, 1, 1, face.RELEASED, 1.0, vote=False, valid=True)
    gateway.on_list(0, [entry(1), entry(2), entry(3)], whole=True, answers=True)
    gateway.on_list(0, [entry(4, build=2, started=0)], whole=False, answers=True)
    assert (face.VOTE, 2, 0, face.ON) not in pull(gateway, 3 * SECOND)
    assert (face.VOTE, 2, 0, face.ON) in pull(gateway, 5 * SECOND)


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


def test_no_on_while_a_sum_nears_its_alarm():
    gateway = running()
    gateway.outcomes = ON_OUTCOMES
    assert gateway._wanted(SECOND) == face.ON
    gateway._hear(2, 0, Counts(1, 1), gateway.fleet.index[4])
    assert gateway._wanted(SECOND) == face.NO_VOTE and not gateway.sums.alarms


def test_gateways_that_hear_the_same_tallies_say_on_only_where_the_sum_would_clear_an_alarm():
    """Seen on join+mass: 325 'on' at W 2.4 of one sum, and a build that fails when busy was released."""
    for told, w, wanted in (
        (False, 2.4, face.ON), (True, 2.4, face.NO_VOTE), (True, 1.1, face.NO_VOTE), (True, 0.9, face.ON)
    ):  # fmt: skip
        gateway = running(tally_period=2 * SECOND, gateways=100, back_votes=35)
        if told:
            gateway.on_tally(SECOND, 2, "look", 10, 0, 100 * MS, SECOND)
        gateway.outcomes, gateway.sums.by_key[0, "failed"] = ON_OUTCOMES, w
        assert gateway.sharing is told and gateway._wanted(SECOND) == wanted


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
