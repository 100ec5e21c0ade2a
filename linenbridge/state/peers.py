"""The few bytes that gateways may send each other: counts of own outcomes since a gateway's start.

Keeps state without I/O. It must never take a peer's word beyond the bytes that it checks.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
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


class Heard:
    """What each peer has told so far."""

    def __init__(self, methods: int) -> None:
        self.methods = methods
        self.counts: dict[tuple[int, int, int, int], Counts] = {}

    def fresh(self, peer: int, words: bytes) -> Iterator[tuple[int, int, Counts]]:
        """Build, method and what is new since the peer's last words; nothing where they are older."""
        for token, build, m, counts in unpack(words, self.methods):
            key = (peer, token, build, m)
            new = counts.plus(self.counts.get(key, Counts()), -1)
            if min(new) >= 0 and new.picks:
                self.counts[key] = counts
                yield build, m, new
