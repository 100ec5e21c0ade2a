"""The stored counts of peers are bounded, and no outcome counts twice, in any order of payloads."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from linenbridge.policy import DecisionModule
from linenbridge.state.counters import Counts
from linenbridge.state.peers import PeerBounds, PeerCounts, pack, unpack
from tests.helpers import startup

METHOD_COUNT = 2
BOUNDS = PeerBounds(max_peers=8, max_builds=4, max_incarnations=16)


def payload(token: int, attempts: int, *builds: int) -> bytes:
    """Return a payload of one incarnation with `attempts` outcomes of each method at each of the builds."""
    row = Counts(attempts, 1, attempts - 1, 1_000 * attempts)
    return pack(
        token,
        builds,
        METHOD_COUNT,
        {(build, method_index): row for build in builds for method_index in range(METHOD_COUNT)},
    )


def new_attempts(peer_counts: PeerCounts, peer: int, received_payload: bytes) -> int:
    """Return how many outcomes of the payload are new."""
    return sum(counts.attempts for _, _, counts in peer_counts.new_counts(peer, received_payload))


def stored_counts(peer_counts: PeerCounts) -> int:
    """Return the total number of stored counts and tokens."""
    return sum(
        1 + len(incarnation.earlier_tokens) + sum(len(row) for row in incarnation.counts_by_build.values())
        for incarnation in peer_counts.peers.values()
    )


def test_stored_counts_stay_bounded_when_peers_restart_repeatedly():
    peer_counts = PeerCounts(METHOD_COUNT, BOUNDS)
    for incarnation in range(1, 1_000):
        for peer in range(8):
            assert new_attempts(peer_counts, peer, payload(incarnation, 5, 1, 2)) == 5 * 2 * METHOD_COUNT
    assert stored_counts(peer_counts) == 8 * (1 + BOUNDS.max_incarnations + 2 * METHOD_COUNT)


def test_stored_counts_stay_bounded_with_random_tokens_builds_and_peers():
    peer_counts = PeerCounts(METHOD_COUNT, BOUNDS)
    random = Random(3)
    for _ in range(20_000):
        random_payload = payload(
            random.randrange(1 << 16), random.randrange(1, 99), random.randrange(1 << 16)
        )
        new_attempts(peer_counts, random.randrange(1 << 16), random_payload)
    max_stored_per_peer = 1 + BOUNDS.max_incarnations + BOUNDS.max_builds * METHOD_COUNT
    assert len(peer_counts.peers) == BOUNDS.max_peers
    assert stored_counts(peer_counts) <= BOUNDS.max_peers * max_stored_per_peer
    token = peer_counts.peers[min(peer_counts.peers)].token
    for build in range(1 << 12):
        new_attempts(peer_counts, min(peer_counts.peers), payload(token, 5, build))
    assert stored_counts(peer_counts) <= BOUNDS.max_peers * max_stored_per_peer


def test_random_payloads_of_a_peer_do_not_affect_other_peers():
    peer_counts = PeerCounts(METHOD_COUNT, BOUNDS)
    random = Random(4)
    assert new_attempts(peer_counts, 1, payload(7, 5, 1, 2)) == 20
    for _ in range(5_000):
        new_attempts(peer_counts, 2, random.randbytes(random.randrange(200)))
    assert new_attempts(peer_counts, 1, payload(7, 5, 1, 2)) == 0
    assert new_attempts(peer_counts, 1, payload(7, 6, 1, 2)) == 4


def test_late_payloads_of_an_earlier_incarnation_are_ignored():
    peer_counts = PeerCounts(METHOD_COUNT, BOUNDS)
    assert new_attempts(peer_counts, 0, payload(1, 5, 1)) == 10
    assert new_attempts(peer_counts, 0, payload(2, 3, 1)) == 6
    for late in (payload(1, 5, 1), payload(1, 4, 1), payload(1, 9, 2)):
        assert new_attempts(peer_counts, 0, late) == 0
    assert new_attempts(peer_counts, 0, payload(2, 4, 1)) == 2, (
        "late payloads must not replace the current incarnation"
    )


def test_a_payload_without_outcomes_does_not_end_the_current_incarnation():
    peer_counts = PeerCounts(METHOD_COUNT, BOUNDS)
    assert new_attempts(peer_counts, 0, payload(1, 5, 1)) == 10
    assert new_attempts(peer_counts, 0, pack(2, [1], METHOD_COUNT, {})) == 0
    assert new_attempts(peer_counts, 0, payload(1, 6, 1)) == 2


def test_late_counts_of_a_dropped_build_are_ignored():
    peer_counts = PeerCounts(METHOD_COUNT, BOUNDS)
    for build in range(1, 8):
        assert new_attempts(peer_counts, 0, payload(1, 5, build, build + 1)) == (2 if build == 1 else 1) * 10
    for build in range(1, 5):
        assert new_attempts(peer_counts, 0, payload(1, 9, build)) == 0
    assert new_attempts(peer_counts, 0, payload(1, 9, 7)) == 8


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 4), st.integers(1, 6)), min_size=1, max_size=40),
    st.randoms(use_true_random=False),
)
def test_no_outcome_counts_twice_when_payloads_are_repeated_and_reordered(steps, random):
    """A peer's incarnations send growing counts of builds; payloads arrive in any order, some twice."""
    sent = []
    builds = [1, 2, 3, 4, 5]
    totals = {}
    for incarnation, build, attempts in sorted(steps):
        total_attempts = totals.get((incarnation, build), 0) + attempts
        totals[incarnation, build] = total_attempts
        sent.append(payload(100 + incarnation, total_attempts, builds[build]))
    arrived = sent + random.sample(sent, len(sent) // 2)
    random.shuffle(arrived)
    peer_counts = PeerCounts(METHOD_COUNT, BOUNDS)
    counted = dict[tuple[int, int, int], int]()
    for received_payload in arrived:
        token = next(unpack(received_payload, METHOD_COUNT))[0]
        for build, method_index, counts in peer_counts.new_counts(0, received_payload):
            counted[token, build, method_index] = (
                counted.get((token, build, method_index), 0) + counts.attempts
            )
    for (token, build, _), attempts in counted.items():
        assert attempts <= totals[token - 100, build - 1]


def test_the_decision_module_stores_counts_of_at_most_as_many_peers_as_gateways():
    gateway = DecisionModule(startup(gateway_count=40), seed=1, now=0)
    for peer in range(1_000):
        for incarnation in range(3):
            gateway.on_gossip(0, peer, pack(incarnation, [1, 2], 3, {(1, 0): Counts(4, 1, 3, 9_000)}))
    assert len(gateway.gossip.peer_counts.peers) == 40
