"""Small counters: buckets, decaying rates and recent quantiles.

Keeps state without I/O. It must never hold how long anything is remembered.
"""

from __future__ import annotations

from collections.abc import Container
from itertools import islice
from math import exp
from typing import NamedTuple

NOTHING = 2.0**-54  # a quarter of the last bit of 1.0: adding it leaves 1.0 as it was
LOOKS = 2  # more than the one rate that an arrival adds, so that what is held falls


class Counts(NamedTuple):
    """Outcomes of one method at one build: how many, how many failed, how many timed, their time in all."""

    picks: int = 0
    failed: int = 0
    served: int = 0
    time: int = 0

    def plus(self, other: Counts, times: int = 1) -> Counts:
        return Counts(
            self.picks + times * other.picks, self.failed + times * other.failed,
            self.served + times * other.served, self.time + times * other.time,
        )  # fmt: skip


class CapBucket:
    """Tokens of depth `depth`, `share` of one for each RPC taken: so no window can hold more than its cap."""

    def __init__(self, depth: float, taken: int, share: float) -> None:
        self.depth, self.tokens, self.share, self.taken = depth, depth, share, taken

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
    """What part of the arrivals of late each name had; names not given at start share one row.

    A rate is kept only for names seen lately, the one seen longest ago let go first. Once it is so small that
    one arrival more makes it 1.0 exactly, letting it go changes nothing. Where `most` other names have been
    seen since the last arrival it is let go before, and the part at the next one is too low by what would
    have been left of the rate, over that of all.
    """

    def __init__(self, memory: int, names: Container[str], most: int) -> None:
        self.memory, self.names, self.most = memory, names, most
        self.all, self.others = DecayingRate(memory), DecayingRate(memory)
        self.rates: dict[str, DecayingRate] = {}  # in the order in which they were last seen

    def part(self, now: int, name: str) -> float:
        """Count one arrival of that name; its part among all, itself included."""
        named = self._rate(now, name) if name in self.names else self.others
        for rate in (self.all, named):
            rate.add(now, 1.0)
        return named.amount / self.all.amount

    def _rate(self, now: int, name: str) -> DecayingRate:
        """The name's rate, now the one seen last; what can be let go of those seen longest ago goes."""
        rate = self.rates.pop(name, None)
        for eldest in list(islice(self.rates, LOOKS)):
            if len(self.rates) >= self.most or self.rates[eldest].at_present(now) <= NOTHING:
                del self.rates[eldest]
        self.rates[name] = DecayingRate(self.memory) if rate is None else rate
        return self.rates[name]


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
