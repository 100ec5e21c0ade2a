"""The few bytes that gateways may send each other: counts of own outcomes since a gateway's start.

Keeps state without I/O. It must never take a peer's word beyond the bytes that it checks.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from struct import Struct

from linenbridge.state.counters import Counts

HEAD, ROW = Struct("<HH"), Struct("<HHHI")


def pack(token: int, builds: Sequence[int], methods: int, counts: dict[tuple[int, int], Counts]) -> bytes:
    """A gateway's counts since its start, for its peers; times in milliseconds."""
    words = bytearray()
    for build in builds:
        words += HEAD.pack(token, build)
        for m in range(methods):
            row = counts.get((build, m), Counts())
            picks, failed, served = (min(figure, 0xFFFF) for figure in row[:3])
            words += ROW.pack(picks, failed, served, min(row.time // 1000, 0xFFFFFFFF))
    return bytes(words)


def unpack(words: bytes, methods: int) -> Iterator[tuple[int, int, int, Counts]]:
    """Token, build, method and counts; what is cut or does not add up is passed over."""
    size = HEAD.size + methods * ROW.size
    for start in range(0, len(words) - size + 1, size):
        token, build = HEAD.unpack_from(words, start)
        for m in range(methods):
            picks, failed, served, time = ROW.unpack_from(words, start + HEAD.size + m * ROW.size)
            if failed + served <= picks:
                yield token, build, m, Counts(picks, failed, served, time * 1000)


@dataclass(frozen=True, slots=True)
class HeardBounds:
    """How much is kept of what peers tell: of how many peers, of how many builds of each one's present life,
    and the tokens of how many earlier lives."""

    peers: int
    builds: int
    lives: int


class PeerLife:
    """What a peer has told in its present life, and the tokens of those before it.

    The counts of an earlier life are let go when the next one tells its first outcome; what still arrives of
    it is late and counts nothing, as long as its token is among those kept. A life keeps its highest builds:
    what it tells of a lower one than those is late too, as lives go from build to build upwards.
    """

    def __init__(self, token: int) -> None:
        self.token = token
        self.rows: dict[int, list[Counts]] = {}
        self.earlier = array("H")

    def begin(self, token: int, most: int) -> None:
        """The next life, with at most that many earlier tokens kept."""
        self.earlier.append(self.token)
        del self.earlier[: max(0, len(self.earlier) - most)]
        self.token, self.rows = token, {}

    def row(self, build: int, methods: int, most: int) -> list[Counts] | None:
        """The counts of a build by method, with at most that many builds kept; None for one let go."""
        if (row := self.rows.get(build)) is not None:
            return row
        if len(self.rows) >= most:
            lowest = min(self.rows)
            if build < lowest:
                return None
            del self.rows[lowest]
        row = self.rows[build] = [Counts()] * methods
        return row


class Heard:
    """What each peer has told so far, within the bounds given; peers beyond their number count nothing."""

    def __init__(self, methods: int, bounds: HeardBounds) -> None:
        self.methods, self.bounds = methods, bounds
        self.peers: dict[int, PeerLife] = {}

    def fresh(self, peer: int, words: bytes) -> Iterator[tuple[int, int, Counts]]:
        """Build, method and what is new since the peer's last words; nothing where they are older."""
        for token, build, m, counts in unpack(words, self.methods):
            row = self._row(peer, token, build) if counts.picks else None
            if row is None:
                continue
            new = counts.plus(row[m], -1)
            if min(new) >= 0 and new.picks:
                row[m] = counts
                yield build, m, new

    def _row(self, peer: int, token: int, build: int) -> list[Counts] | None:
        """What was heard of a build in this life of the peer, by method; None where it counts nothing."""
        life = self.peers.get(peer)
        if life is None:
            if len(self.peers) >= self.bounds.peers:
                return None
            life = self.peers[peer] = PeerLife(token)
        elif token != life.token:
            if token in life.earlier:
                return None
            life.begin(token, self.bounds.lives)
        return life.row(build, self.methods, self.bounds.builds)
