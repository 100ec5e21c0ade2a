"""Small counters: buckets, decaying rates and recent quantiles."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from math import exp
from struct import Struct
from typing import NamedTuple

HEAD, ROW = Struct("<HH"), Struct("<HHHI")


class Counts(NamedTuple):
    """Outcomes of one method at one build: how many, how many failed, how many timed, their time in all."""

    picks: int = 0
    failed: int = 0
    served: int = 0
    time: int = 0

    def plus(self, other: Counts, times: int = 1) -> Counts:
        return Counts(*(a + times * b for a, b in zip(self, other, strict=True)))


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


class CapBucket:
    """Tokens of depth `depth`, `share` of one for each RPC taken: so no window can hold more than its cap."""

    def __init__(self, depth: float, taken: int, row: int) -> None:
        self.depth, self.tokens, self.share, self.taken, self.row = depth, depth, 0.0, taken, row

    def settle(self, taken: int) -> float:
        self.tokens = min(self.depth, self.tokens + self.share * (taken - self.taken))
        self.taken = taken
        return self.tokens


class DecayingRate:
    """Amount a second, forgotten with the given time constant."""

    def __init__(self, memory: int) -> None:
        self.memory, self.amount, self.at = memory, 0.0, 0

    def add(self, now: int, amount: float) -> None:
        self.amount = self.amount * exp((self.at - now) / self.memory) + amount
        self.at = now

    def at_present(self, now: int) -> float:
        return self.amount * exp((self.at - now) / self.memory)

    def per_second(self, now: int) -> float:
        return self.at_present(now) * 1e6 / self.memory


class Parts:
    """What part of the arrivals of late each name had."""

    def __init__(self, memory: int) -> None:
        self.memory, self.rates = memory, {}

    def part(self, now: int, name: str) -> float:
        """Count one arrival of that name; its part among all, itself included."""
        self.rates.setdefault(name, DecayingRate(self.memory)).add(now, 1.0)
        return self.rates[name].amount / sum(rate.at_present(now) for rate in self.rates.values())


class BuildRecord:
    """What was met of one method at one build, of late: outcomes, failures and the mean time."""

    def __init__(self, memory: int) -> None:
        self.memory, self.outcomes, self.failed, self.mean = memory, 0.0, 0.0, 0.0

    def hear(self, counts: Counts) -> None:
        if counts.picks:
            keep = (1 - 1 / self.memory) ** counts.picks
            part = (1 - keep) * self.memory / counts.picks
            self.outcomes = self.outcomes * keep + counts.picks * part
            self.failed = self.failed * keep + counts.failed * part
        if counts.served:
            part = 1 - (1 - 1 / self.memory) ** counts.served if self.mean else 1.0
            self.mean += (counts.time / counts.served - self.mean) * part
