"""Others' counts: tallies, peers' words, flags."""

from __future__ import annotations


from linenbridge.decisions import Gossip
from linenbridge.interface import Outcome, RolloutPhase, SECOND, Vote
from linenbridge.state.counters import Counts
from linenbridge.state.peers import pack
from tests.helpers import MS, entry, pull, running
from tests.policy.helpers import outcome


def test_a_small_gateway_takes_the_tallies_for_its_own_outcomes():
    gateway = running(tally_period=2 * SECOND, gateway_count=100, rollback_votes=35)
    for odd in (("none", 2, 9, 9), ("look", 7, 9, 9), ("look", 2, 0, 0), ("look", 2, 4, 5)):
        gateway.on_tally(0, odd[1], odd[0], odd[2], odd[3], 0, 0)
    assert not gateway.detector.outcomes and all(w <= 0 for w in gateway.detector.sums.sums.values())
    for period in range(4):
        gateway.on_tally(period, 1, "look", 30, 0, 100 * MS, period)
        gateway.on_tally(period, 2, "look", 10, 4, 100 * MS, period)
        assert bool(gateway.detector.sums.alarms) is (period >= 1), "one period alone is not the build"
    assert gateway.voter.wanted(SECOND) == Vote.ROLL_BACK


def test_peers_words_count_once_whatever_their_order():
    gateway = running(gossip_allowed=True, gateway_count=100, rollback_votes=35)
    words = [pack(9, [1, 2], 3, {(2, 0): Counts(n, n)}) for n in range(1, 8)]
    for word in (words[1], words[0], words[1], words[1][:-3], b"x", words[2], words[2]):
        gateway.on_gossip(0, 5, word)
    assert gateway.detector.outcomes == 3
    gateway.on_gossip(0, 5, pack(10, [1, 2], 3, {(2, 0): Counts(2, 2)}))
    assert gateway.detector.outcomes == 5, "a peer that started anew counts from nothing"


def test_words_go_to_peers_and_are_read_there():
    gateway, peer = (
        running(gossip_allowed=True, gateway_count=3),
        running(gossip_allowed=True, gateway_count=3),
    )
    told = []
    for n in range(40):
        gateway.on_request(n * 50 * MS, f"r{n}", "look", 4 * SECOND, None, "", None)
        decisions = pull(gateway, n * 50 * MS)
        told += [d.payload for d in decisions if isinstance(d, Gossip)]
        gateway.on_attempt_finished(n * 50 * MS, f"r{n}", 0, Outcome.OK, True, MS, {})
    for words in told:
        peer.on_gossip(0, 1, words)
    assert 0 < peer.detector.outcomes <= gateway.gossip.own_counts[2, 0].attempts


def test_once_the_earlier_build_is_gone_a_tally_alarms_on_one_method_not_on_a_bad_hour():
    for sick, lost, alarmed in (
        ({"charge"}, 6, True), ({"charge"}, 1, False), ({"look", "store", "charge"}, 6, False)
    ):  # fmt: skip
        gateway = running(tally_period=2 * SECOND, gateway_count=100, rollback_votes=35)
        gateway.on_endpoint_list(0, [entry(4, build=2)], is_snapshot=True, is_poll_response=True)
        for period in range(8):
            for method in ("look", "store", "charge"):
                gateway.on_tally(period, 2, method, 10, lost * (method in sick), 100 * MS, period)
        assert bool(gateway.detector.sums.alarms) is alarmed


def test_a_small_gateway_judges_a_released_build_by_own_errors_where_no_earlier_one_is_left():
    """Seen at three gateways: one alarmed, the others heard tallies, in which all methods failed alike."""
    gateway = running(gateway_count=3, tally_period=SECOND, rollback_votes=2)
    now, number = 10 * SECOND, 0
    gateway.on_endpoint_list(
        now, [entry(n, build=2) for n in range(1, 5)], is_snapshot=True, is_poll_response=True
    )
    gateway.on_rollout_update(now, 2, 1, RolloutPhase.RELEASED, 1.0, is_vote_response=False, is_valid=True)
    while now < 70 * SECOND and not gateway.detector.sums.alarms:
        now, number = now + SECOND // 2, number + 1
        if number % 2:
            for method in gateway.methods:
                gateway.on_tally(now, 2, method.name, 10, 1, 80 * MS, now)
        outcome(gateway, now, f"r{number}", Outcome.ERROR if number % 5 == 0 else Outcome.OK)
    assert gateway.evidence.has_few_outcomes(now) and gateway.detector.sums.alarms
    assert gateway.voter.wanted(now) == Vote.ROLL_BACK
