"""Small counters: outcome counts, token buckets, decaying rates and the usage of tenant quotas.

Keeps state without I/O. Time constants and depths are parameters: the tuned values belong to the callers.
"""

from __future__ import annotations

from collections.abc import Container
from itertools import islice
from math import exp
from typing import NamedTuple

NEGLIGIBLE_RATE = 2.0**-54  # requests; a quarter of the last bit of 1.0: adding it leaves 1.0 unchanged
MAX_EXPIRY_CHECKS = 2  # a lookup; more than the one rate that a lookup adds, so that the table shrinks


class Counts(NamedTuple):
    """Outcomes of one method at one build.

    `attempts` is their number, `failed` how many failed, `timed` how many have a response time, `total_time`
    the sum of those times in microseconds.
    """

    attempts: int = 0
    failed: int = 0
    timed: int = 0
    total_time: int = 0

    def plus(self, other: Counts, times: int = 1) -> Counts:
        """The sum with `times` the other counts; -1 gives the difference."""
        return Counts(
            self.attempts + times * other.attempts,
            self.failed + times * other.failed,
            self.timed + times * other.timed,
            self.total_time + times * other.total_time,
        )


class TokenBucket:
    """A bucket of `depth` tokens that earns `share` of a token for each admitted request.

    Spending one token an attempt keeps the attempts of every window within `share` of its requests plus
    `depth`.
    """

    def __init__(self, depth: float, admitted: int, share: float) -> None:
        self.depth = depth
        self.tokens = depth
        self.share = share
        self.admitted = admitted

    def refill(self, admitted: int) -> float:
        """Earn tokens up to a total of admitted requests; returns the tokens there are."""
        self.tokens = min(self.depth, self.tokens + self.share * (admitted - self.admitted))
        self.admitted = admitted
        return self.tokens


class DecayingRate:
    """An amount that decays exponentially with a time constant in microseconds."""

    def __init__(self, time_constant: int) -> None:
        self.time_constant = time_constant
        self.amount = 0.0
        self.updated_at = 0

    def add(self, now: int, amount: float) -> None:
        """Decay to `now`, then add."""
        self.amount = self.amount * exp((self.updated_at - now) / self.time_constant) + amount
        self.updated_at = now

    def amount_at(self, now: int) -> float:
        """The amount, decayed to `now`."""
        return self.amount * exp((self.updated_at - now) / self.time_constant)

    def per_second(self, now: int) -> float:
        """The rate that would hold the amount steady."""
        return self.amount_at(now) * 1e6 / self.time_constant


class QuotaUsage:
    """Each tenant's fraction of the recent requests; tenants not named at the start share one row.

    A rate is stored only for tenants seen recently; the one seen longest ago is evicted first. Once a rate is
    so small that one request more makes it exactly 1.0, evicting it changes nothing. Where `max_rates` other
    tenants have been seen since its last request, a rate is evicted before that, and the fraction at the next
    request is too low by the rest of the rate over the rate of all.
    """

    def __init__(self, time_constant: int, names: Container[str], max_rates: int) -> None:
        self.time_constant = time_constant
        self.names = names
        self.max_rates = max_rates
        self.total = DecayingRate(time_constant)
        self.unnamed = DecayingRate(time_constant)
        self.rates: dict[str, DecayingRate] = {}  # the tenant seen longest ago first

    def usage(self, now: int, name: str) -> float:
        """Count one request of the tenant; its fraction of all, this request included."""
        rate = self._rate(now, name) if name in self.names else self.unnamed
        self.total.add(now, 1.0)
        rate.add(now, 1.0)
        return rate.amount / self.total.amount

    def _rate(self, now: int, name: str) -> DecayingRate:
        """The tenant's rate, moved to the end of the table; evicts what has decayed at its beginning."""
        rate = self.rates.pop(name, None)
        for eldest in list(islice(self.rates, MAX_EXPIRY_CHECKS)):
            if len(self.rates) >= self.max_rates or self.rates[eldest].amount_at(now) <= NEGLIGIBLE_RATE:
                del self.rates[eldest]
        if rate is None:
            rate = DecayingRate(self.time_constant)
        self.rates[name] = rate
        return rate


class BuildRecord:
    """Recent outcomes of one method at one build: decayed counts and the mean response time
    (microseconds).
    """

    def __init__(self, memory: int) -> None:
        self.memory = memory  # outcomes
        self.outcomes = 0.0
        self.failed = 0.0
        self.mean_time = 0.0

    def add(self, counts: Counts) -> None:
        """Count outcomes; the older ones decay with each."""
        if counts.attempts:
            remaining = (1 - 1 / self.memory) ** counts.attempts
            weight = (1 - remaining) * self.memory / counts.attempts
            self.outcomes = self.outcomes * remaining + counts.attempts * weight
            self.failed = self.failed * remaining + counts.failed * weight
        if counts.timed:
            weight = 1 - (1 - 1 / self.memory) ** counts.timed if self.mean_time else 1.0
            self.mean_time += (counts.total_time / counts.timed - self.mean_time) * weight
