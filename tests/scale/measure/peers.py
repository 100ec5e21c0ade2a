"""Costs of peers' counts at a gateway: the memory of the received counts, and the time of one message."""

from __future__ import annotations

from linenbridge.policy.gossip import MAX_BUILDS, MAX_INCARNATIONS
from linenbridge.state import peers as peers_module
from linenbridge.state.counters import Counts
from linenbridge.state.peers import PeerCounts, PeerBounds, pack

from tests.scale.measure.costs import allocated_bytes, execution_mode, processor_time
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: release decisions"
MEASURED_BY = "tests.scale.measure.peers"
SIZES = (32, 320, 3_200, 32_000)
METHODS = 3
BUILDS = (1, 2)
PEERS = 3_200
UNSEEN_TOKEN = 0xFFFF  # the token of an incarnation that has sent no counts yet
BOUNDS = PeerBounds(PEERS, MAX_BUILDS, MAX_INCARNATIONS)


def payload(token: int, attempts: int = 20) -> bytes:
    """Encode the counts of one incarnation of a peer: those of both builds and all methods."""
    counts = {
        (build, method_index): Counts(attempts, 1, attempts - 1, attempts * 5_000)
        for build in BUILDS
        for method_index in range(METHODS)
    }
    return pack(token, BUILDS, METHODS, counts)


def received_counts(incarnations: int) -> PeerCounts:
    """Return the counts at a gateway after one message from each of `incarnations` incarnations of peers."""
    received = PeerCounts(METHODS, BOUNDS)
    for incarnation in range(incarnations):
        for _ in received.new_counts(incarnation % PEERS, payload(incarnation & 0xFFFF)):
            pass
    return received


def message_time(incarnations: int) -> float:
    """Return the microseconds to merge one message with new counts."""
    received = received_counts(incarnations)
    messages = [payload(UNSEEN_TOKEN, attempts) for attempts in range(21, 1_021)]
    peer = iter(range(1_000_000))

    def receive() -> None:
        number = next(peer)
        for _ in received.new_counts(number // len(messages) % PEERS, messages[number % len(messages)]):
            pass

    return processor_time(receive, 1_000)


def rows() -> list[Slope]:
    """Measure peers' counts at all sizes."""
    common = dict(
        role=ROLE, size="lives of peers", measured_by=MEASURED_BY, text=execution_mode(peers_module)
    )
    return [
        slope(
            "linear",
            [(n, allocated_bytes(lambda n=n: received_counts(n))) for n in SIZES],
            what="memory of peers' counts",
            unit="bytes",
            **common,
        ),
        slope(
            "constant", [(n, message_time(n)) for n in SIZES], what="one peer's message", unit="us", **common
        ),
    ]


if __name__ == "__main__":
    record(rows())
