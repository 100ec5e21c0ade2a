"""Small counters: buckets, decaying rates and recent quantiles."""

from __future__ import annotations

from collections import deque
from math import exp


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

    def per_second(self, now: int) -> float:
        return self.amount * exp((self.at - now) / self.memory) * 1e6 / self.memory


class Recent:
    """The last few values and a quantile of them, worked out anew now and then."""

    def __init__(self, keep: int, refresh: int) -> None:
        self.values: deque[float] = deque(maxlen=keep)
        self.refresh, self.fresh, self.ordered = refresh, 0, []

    def add(self, value: float) -> None:
        self.values.append(value)
        self.fresh += 1

    def quantile(self, share: float) -> float:
        if self.fresh >= self.refresh or not self.ordered:
            self.ordered, self.fresh = sorted(self.values), 0
        return self.ordered[min(len(self.ordered) - 1, int(share * len(self.ordered)))]


class BuildRecord:
    """What this gateway's own RPCs of one method met at one build."""

    def __init__(self, memory: int, keep: int, refresh: int) -> None:
        self.outcomes, self.failed = 0.0, 0.0
        self.times = Recent(keep, refresh)
        self.memory, self.slow = memory, 0.0

    def add(self, failed: bool) -> None:
        keep = 1 - 1 / self.memory
        self.outcomes, self.failed = self.outcomes * keep + 1, self.failed * keep + failed
