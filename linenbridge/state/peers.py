"""The gossip payload: outcome counts of a gateway since its start, and what is stored of those of its peers.

Keeps state without I/O. A payload is untrusted: sizes and sums are checked, and what is stored is bounded.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from struct import Struct
from typing import NamedTuple

from linenbridge.state.counters import Counts

BUILD_HEADER = Struct("<HH")  # token, build
METHOD_ROW = Struct("<HHHI")  # attempts, failed, timed, total time in milliseconds
MAX_COUNT = 0xFFFF
MAX_TIME = 0xFFFFFFFF  # milliseconds
MICROSECONDS = 1_000  # in a millisecond


class PeerRow(NamedTuple):
    """The counts of one method at one build in a payload, with the token of the peer's incarnation."""

    token: int
    build: int
    method_index: int
    counts: Counts


class NewCounts(NamedTuple):
    """What a payload adds to the counts received before it."""

    build: int
    method_index: int
    counts: Counts


def pack(
    token: int, builds: Sequence[int], method_count: int, counts: dict[tuple[int, int], Counts]
) -> bytes:
    """The payload with a gateway's counts since its start, of these builds and all methods."""
    payload = bytearray()
    for build in builds:
        payload += BUILD_HEADER.pack(token, build)
        for method_index in range(method_count):
            row = counts.get((build, method_index), Counts())
            attempts, failed, timed = (min(figure, MAX_COUNT) for figure in row[:3])
            payload += METHOD_ROW.pack(attempts, failed, timed, min(row.total_time // MICROSECONDS, MAX_TIME))
    return bytes(payload)


def unpack(payload: bytes, method_count: int) -> Iterator[PeerRow]:
    """The rows of a payload; truncated builds and rows that do not add up are skipped."""
    size = BUILD_HEADER.size + method_count * METHOD_ROW.size
    for start in range(0, len(payload) - size + 1, size):
        token, build = BUILD_HEADER.unpack_from(payload, start)
        for method_index in range(method_count):
            offset = start + BUILD_HEADER.size + method_index * METHOD_ROW.size
            attempts, failed, timed, time = METHOD_ROW.unpack_from(payload, offset)
            if failed + timed <= attempts:
                yield PeerRow(
                    token, build, method_index, Counts(attempts, failed, timed, time * MICROSECONDS)
                )


@dataclass(frozen=True, slots=True)
class PeerBounds:
    """How much is stored: of how many peers, how many builds of each one's present incarnation, and the
    tokens of how many earlier incarnations.
    """

    max_peers: int
    max_builds: int
    max_incarnations: int


class PeerIncarnation:
    """The counts of a peer's present incarnation, and the tokens of the earlier ones.

    The counts of an incarnation are dropped with the first outcome of the next one; what arrives of it later
    counts nothing, as long as its token is stored. An incarnation keeps its highest builds: counts of a lower
    build than those are late too, as gateways go from build to build upwards.
    """

    def __init__(self, token: int) -> None:
        self.token = token
        self.counts_by_build: dict[int, list[Counts]] = {}
        self.earlier_tokens = array("H")

    def restart(self, token: int, max_earlier: int) -> None:
        """Begin the next incarnation, storing at most that many earlier tokens."""
        self.earlier_tokens.append(self.token)
        del self.earlier_tokens[: max(0, len(self.earlier_tokens) - max_earlier)]
        self.token = token
        self.counts_by_build = {}

    def counts(self, build: int, method_count: int, max_builds: int) -> list[Counts] | None:
        """The counts of a build by method, storing at most that many builds; None for a build
        dropped before.
        """
        stored = self.counts_by_build.get(build)
        if stored is not None:
            return stored
        if len(self.counts_by_build) >= max_builds:
            lowest = min(self.counts_by_build)
            if build < lowest:
                return None
            del self.counts_by_build[lowest]
        added = [Counts()] * method_count
        self.counts_by_build[build] = added
        return added


class PeerCounts:
    """The counts received from each peer, within the bounds; peers beyond their number count nothing."""

    def __init__(self, method_count: int, bounds: PeerBounds) -> None:
        self.method_count = method_count
        self.bounds = bounds
        self.peers: dict[int, PeerIncarnation] = {}

    def new_counts(self, peer: int, payload: bytes) -> Iterator[NewCounts]:
        """What is new since the peer's last payload; nothing where this one is older."""
        for token, build, method_index, counts in unpack(payload, self.method_count):
            stored = self._stored(peer, token, build) if counts.attempts else None
            if stored is None:
                continue
            added = counts.plus(stored[method_index], -1)
            if min(added) >= 0 and added.attempts:
                stored[method_index] = counts
                yield NewCounts(build, method_index, added)

    def _stored(self, peer: int, token: int, build: int) -> list[Counts] | None:
        """The counts of a build in this incarnation of the peer, by method; None where a row counts
        nothing.
        """
        incarnation = self.peers.get(peer)
        if incarnation is None:
            if len(self.peers) >= self.bounds.max_peers:
                return None
            incarnation = PeerIncarnation(token)
            self.peers[peer] = incarnation
        elif token != incarnation.token:
            if token in incarnation.earlier_tokens:
                return None
            incarnation.restart(token, self.bounds.max_incarnations)
        return incarnation.counts(build, self.method_count, self.bounds.max_builds)
