"""The gossip payload with a gateway's outcome counts since its start, and the stored counts of its peers.

This module holds state and does no I/O. Payloads are untrusted: sizes and sums are checked, and the stored
state is bounded.
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
MAX_TOTAL_TIME = 0xFFFFFFFF  # milliseconds
MICROSECONDS_PER_MILLISECOND = 1_000


class PeerRow(NamedTuple):
    """The counts of one method at one build in a payload, with the token of the peer's incarnation."""

    token: int
    build: int
    method_index: int
    counts: Counts


class NewCounts(NamedTuple):
    """The counts of one method at one build that a payload adds to those received before."""

    build: int
    method_index: int
    counts: Counts


def pack(
    token: int, builds: Sequence[int], method_count: int, counts: dict[tuple[int, int], Counts]
) -> bytes:
    """Return the payload with a gateway's counts since its start, for these builds and all methods.

    `counts` is keyed by build and method index. Figures that exceed their field are capped at its maximum.
    """
    payload = bytearray()
    for build in builds:
        payload += BUILD_HEADER.pack(token, build)
        for method_index in range(method_count):
            row = counts.get((build, method_index), Counts())
            attempts, failed, timed = (min(figure, MAX_COUNT) for figure in row[:3])
            payload += METHOD_ROW.pack(
                attempts, failed, timed, min(row.total_time // MICROSECONDS_PER_MILLISECOND, MAX_TOTAL_TIME)
            )
    return bytes(payload)


def unpack(payload: bytes, method_count: int) -> Iterator[PeerRow]:
    """Yield the rows of the complete builds in a payload where `failed + timed` is at most `attempts`."""
    size = BUILD_HEADER.size + method_count * METHOD_ROW.size
    for start in range(0, len(payload) - size + 1, size):
        token, build = BUILD_HEADER.unpack_from(payload, start)
        for method_index in range(method_count):
            offset = start + BUILD_HEADER.size + method_index * METHOD_ROW.size
            attempts, failed, timed, total_time = METHOD_ROW.unpack_from(payload, offset)
            if failed + timed <= attempts:
                yield PeerRow(
                    token,
                    build,
                    method_index,
                    Counts(attempts, failed, timed, total_time * MICROSECONDS_PER_MILLISECOND),
                )


@dataclass(frozen=True, slots=True)
class PeerBounds:
    """Bounds on the stored state.

    `max_peers` bounds the peers, `max_builds` the builds of each peer's current incarnation, and
    `max_incarnations` the stored tokens of each peer's earlier incarnations.
    """

    max_peers: int
    max_builds: int
    max_incarnations: int


class PeerIncarnation:
    """The counts of a peer's current incarnation, and the tokens of its earlier incarnations.

    The first outcome of the next incarnation drops the counts of the current one. Later payloads of an
    earlier incarnation are ignored as long as its token is stored. Only the highest builds are stored: counts
    of a lower build are late too, since gateways move from lower to higher builds, and are ignored.
    """

    def __init__(self, token: int) -> None:
        self.token = token
        self.counts_by_build: dict[int, list[Counts]] = {}
        self.earlier_tokens = array("H")

    def restart(self, token: int, max_earlier: int) -> None:
        """Begin the incarnation with this token; at most `max_earlier` earlier tokens stay stored."""
        self.earlier_tokens.append(self.token)
        del self.earlier_tokens[: max(0, len(self.earlier_tokens) - max_earlier)]
        self.token = token
        self.counts_by_build = {}

    def counts(self, build: int, method_count: int, max_builds: int) -> list[Counts] | None:
        """Return the counts of a build by method index, or None if the build is lower than all stored ones.

        At most `max_builds` builds are stored; a further one replaces the lowest.
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
    """The counts received from each peer, within `bounds`; peers beyond `max_peers` are ignored."""

    def __init__(self, method_count: int, bounds: PeerBounds) -> None:
        self.method_count = method_count
        self.bounds = bounds
        self.peers: dict[int, PeerIncarnation] = {}

    def new_counts(self, peer: int, payload: bytes) -> Iterator[NewCounts]:
        """Yield what the payload adds to the peer's counts; an older payload adds nothing."""
        for token, build, method_index, counts in unpack(payload, self.method_count):
            stored = self._stored(peer, token, build) if counts.attempts else None
            if stored is None:
                continue
            added = counts.plus(stored[method_index], -1)
            if min(added) >= 0 and added.attempts:
                stored[method_index] = counts
                yield NewCounts(build, method_index, added)

    def _stored(self, peer: int, token: int, build: int) -> list[Counts] | None:
        """Return the stored counts of a build in this incarnation of the peer, by method index.

        Returns None if the counts are to be ignored: the peer exceeds `max_peers`, or the incarnation or
        the build is an earlier one.
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
