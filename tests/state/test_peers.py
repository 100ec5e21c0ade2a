"""What is kept of peers' words is bounded, and nothing is counted twice, in whatever order they arrive."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from linenbridge.policy import DecisionModule
from linenbridge.state.counters import Counts
from linenbridge.state.peers import PeerCounts, PeerBounds, pack, unpack
from tests.helpers import startup

METHODS = 2
BOUNDS = PeerBounds(max_peers=8, max_builds=4, max_incarnations=16)


def words(token: int, picks: int, *builds: int) -> bytes:
    """What one life tells of these builds, as many outcomes of each method."""
    row = Counts(picks, 1, picks - 1, 1_000 * picks)
    return pack(token, builds, METHODS, {(build, m): row for build in builds for m in range(METHODS)})


def heard_of(heard: PeerCounts, peer: int, text: bytes) -> int:
    """How many outcomes of these words were new."""
    return sum(counts.attempts for _, _, counts in heard.new_counts(peer, text))


def kept(heard: PeerCounts) -> int:
    """How many counts and tokens are kept in all."""
    return sum(
        1 + len(life.earlier_tokens) + sum(len(row) for row in life.counts_by_build.values())
        for life in heard.peers.values()
    )


def test_restarts_of_peers_make_nothing_grow():
    heard = PeerCounts(METHODS, BOUNDS)
    for life in range(1, 1_000):
        for peer in range(8):
            assert heard_of(heard, peer, words(life, 5, 1, 2)) == 5 * 2 * METHODS
    assert kept(heard) == 8 * (1 + BOUNDS.max_incarnations + 2 * METHODS)


def test_random_tokens_builds_and_peers_cost_bounded_memory():
    heard, dice = PeerCounts(METHODS, BOUNDS), Random(3)
    for _ in range(20_000):
        told = words(dice.randrange(1 << 16), dice.randrange(1, 99), dice.randrange(1 << 16))
        heard_of(heard, dice.randrange(1 << 16), told)
    one = 1 + BOUNDS.max_incarnations + BOUNDS.max_builds * METHODS
    assert len(heard.peers) == BOUNDS.max_peers and kept(heard) <= BOUNDS.max_peers * one
    token = heard.peers[min(heard.peers)].token
    for build in range(1 << 12):
        heard_of(heard, min(heard.peers), words(token, 5, build))
    assert kept(heard) <= BOUNDS.max_peers * one


def test_a_peer_that_sends_random_words_costs_no_other_peer_anything():
    heard, dice = PeerCounts(METHODS, BOUNDS), Random(4)
    assert heard_of(heard, 1, words(7, 5, 1, 2)) == 20
    for _ in range(5_000):
        heard_of(heard, 2, dice.randbytes(dice.randrange(200)))
    assert heard_of(heard, 1, words(7, 5, 1, 2)) == 0
    assert heard_of(heard, 1, words(7, 6, 1, 2)) == 4


def test_late_words_of_an_earlier_life_count_nothing():
    heard = PeerCounts(METHODS, BOUNDS)
    assert heard_of(heard, 0, words(1, 5, 1)) == 10
    assert heard_of(heard, 0, words(2, 3, 1)) == 6
    for late in (words(1, 5, 1), words(1, 4, 1), words(1, 9, 2)):
        assert heard_of(heard, 0, late) == 0
    assert heard_of(heard, 0, words(2, 4, 1)) == 2, "they have not taken the place of the present life"


def test_words_without_an_outcome_end_no_life():
    heard = PeerCounts(METHODS, BOUNDS)
    assert heard_of(heard, 0, words(1, 5, 1)) == 10
    assert heard_of(heard, 0, pack(2, [1], METHODS, {})) == 0
    assert heard_of(heard, 0, words(1, 6, 1)) == 2


def test_a_build_let_go_counts_nothing_when_it_is_told_of_late():
    heard = PeerCounts(METHODS, BOUNDS)
    for build in range(1, 8):
        assert heard_of(heard, 0, words(1, 5, build, build + 1)) == (2 if build == 1 else 1) * 10
    for build in range(1, 5):
        assert heard_of(heard, 0, words(1, 9, build)) == 0
    assert heard_of(heard, 0, words(1, 9, 7)) == 8


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 4), st.integers(1, 6)), min_size=1, max_size=40),
    st.randoms(use_true_random=False),
)
def test_no_outcome_counts_twice_in_any_order_with_repeats(steps, dice):
    """Lives of one peer that tell ever more of some builds; the words arrive in any order, some twice."""
    sent, builds, totals = [], [1, 2, 3, 4, 5], {}
    for life, build, picks in sorted(steps):
        told = totals.get((life, build), 0) + picks
        totals[life, build] = told
        sent.append(words(100 + life, told, builds[build]))
    arrived = sent + dice.sample(sent, len(sent) // 2)
    dice.shuffle(arrived)
    heard, counted = PeerCounts(METHODS, BOUNDS), dict[tuple[int, int, int], int]()
    for text in arrived:
        token = next(unpack(text, METHODS))[0]
        for build, m, counts in heard.new_counts(0, text):
            counted[token, build, m] = counted.get((token, build, m), 0) + counts.attempts
    for (token, build, _), picks in counted.items():
        assert picks <= totals[token - 100, build - 1]


def test_the_module_bounds_what_it_keeps_by_the_number_of_gateways():
    gateway = DecisionModule(startup(gateway_count=40), seed=1, now=0)
    for peer in range(1_000):
        for life in range(3):
            gateway.on_gossip(0, peer, pack(life, [1, 2], 3, {(1, 0): Counts(4, 1, 3, 9_000)}))
    assert len(gateway.gossip.peer_counts.peers) == 40
