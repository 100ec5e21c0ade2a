"""Peers' counts at a gateway: the memory of what each has sent, and the time of one message."""

from __future__ import annotations

from linenbridge.policy.gossip import MAX_BUILDS, MAX_INCARNATIONS
from linenbridge.state import peers as peers_module
from linenbridge.state.counters import Counts
from linenbridge.state.peers import PeerCounts, PeerBounds, pack

from tests.scale.measure.costs import allocated_bytes, processor_time, text_of
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: release decisions"
MEASURED_BY = "tests.scale.measure.peers"
SIZES = (32, 320, 3_200, 32_000)
METHODS = 3
BUILDS = (1, 2)
PEERS = 3_200
NEXT = 0xFFFF  # the token of a life that was not told of yet
BOUNDS = PeerBounds(PEERS, MAX_BUILDS, MAX_INCARNATIONS)


def payload(token: int, picks: int = 20) -> bytes:
    """What one life of a peer tells: its counts of both builds and all methods."""
    counts = {
        (build, m): Counts(picks, 1, picks - 1, picks * 5_000) for build in BUILDS for m in range(METHODS)
    }
    return pack(token, BUILDS, METHODS, counts)


def received_counts(lives: int) -> PeerCounts:
    """What a gateway has heard after that many lives of peers; each told once."""
    heard = PeerCounts(METHODS, BOUNDS)
    for incarnation in range(lives):
        for _ in heard.new_counts(incarnation % PEERS, payload(incarnation & 0xFFFF)):
            pass
    return heard


def message_time(lives: int) -> float:
    """Microseconds to take in one message with something new."""
    heard = received_counts(lives)
    messages = [payload(NEXT, picks) for picks in range(21, 1_021)]
    peer = iter(range(1_000_000))

    def take() -> None:
        number = next(peer)
        for _ in heard.new_counts(number // len(messages) % PEERS, messages[number % len(messages)]):
            pass

    return processor_time(take, 1_000)


def rows() -> list[Slope]:
    common = dict(role=ROLE, size="lives of peers", measured_by=MEASURED_BY, text=text_of(peers_module))
    return [
        slope("linear", [(n, allocated_bytes(lambda n=n: received_counts(n))) for n in SIZES],
              what="memory of peers' counts", unit="bytes", **common),
        slope("constant", [(n, message_time(n)) for n in SIZES],
              what="one peer's message", unit="us", **common),
    ]  # fmt: skip


if __name__ == "__main__":
    record(rows())
