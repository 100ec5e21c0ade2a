"""Counters: outcome counts, token buckets, decaying rates and the usage of tenant quotas.

This module holds state and does no I/O. Callers pass in the time constants and bucket depths.
"""

from __future__ import annotations

from collections.abc import Container
from itertools import islice
from math import exp
from typing import NamedTuple

NEGLIGIBLE_RATE = 2.0**-54  # requests; a quarter of the last bit of 1.0, so 1.0 plus this is still 1.0
MAX_EXPIRY_CHECKS = 2  # per lookup; a lookup adds at most one rate, so two checks let the table shrink


class Counts(NamedTuple):
    """Outcomes of one method at one build.

    `attempts` is the number of outcomes, `failed` the number of failures among them, `timed` the number that
    have a response time, and `total_time` the sum of those response times in microseconds.
    """

    attempts: int = 0
    failed: int = 0
    timed: int = 0
    total_time: int = 0

    def plus(self, other: Counts, times: int = 1) -> Counts:
        """Return the sum of these counts and `times` the other counts; `times=-1` gives the difference."""
        return Counts(
            self.attempts + times * other.attempts,
            self.failed + times * other.failed,
            self.timed + times * other.timed,
            self.total_time + times * other.total_time,
        )


class TokenBucket:
    """A bucket of at most `depth` tokens that gains `share` of a token for each admitted request.

    If each attempt spends one token, the attempts in any window number at most `depth` plus `share` of the
    requests admitted in that window.
    """

    def __init__(self, depth: float, admitted: int, share: float) -> None:
        self.depth = depth
        self.tokens = depth
        self.share = share
        self.admitted = admitted

    def refill(self, admitted: int) -> float:
        """Add the tokens earned since the last refill and return the tokens available.

        `admitted` is the total number of requests admitted so far.
        """
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
        """Decay the stored amount to `now`, then add `amount` to it."""
        self.amount = self.amount * exp((self.updated_at - now) / self.time_constant) + amount
        self.updated_at = now

    def amount_at(self, now: int) -> float:
        """Return the amount decayed to `now`."""
        return self.amount * exp((self.updated_at - now) / self.time_constant)

    def per_second(self, now: int) -> float:
        """Return the rate of additions, per second, that would hold the amount at `now` steady."""
        return self.amount_at(now) * 1e6 / self.time_constant


class QuotaUsage:
    """Each tenant's fraction of the recent requests; tenants that are not in `named_tenants` share one rate.

    Rates are stored only for recently seen tenants, and the rate of the tenant seen longest ago is evicted
    first. Evicting a rate changes nothing once the rate is so small that adding one request makes it exactly
    1.0. If `max_rates` other tenants have been seen since a tenant's last request, the tenant's rate is
    evicted earlier, and its fraction at the next request is too low by the evicted rate divided by the rate
    of all tenants.
    """

    def __init__(self, time_constant: int, named_tenants: Container[str], max_rates: int) -> None:
        self.time_constant = time_constant
        self.named_tenants = named_tenants
        self.max_rates = max_rates
        self.total_rate = DecayingRate(time_constant)
        self.unnamed_rate = DecayingRate(time_constant)
        self.rates: dict[str, DecayingRate] = {}  # the tenant seen longest ago first

    def usage(self, now: int, tenant: str) -> float:
        """Count one request of the tenant and return its fraction of all requests, this one included."""
        rate = self._rate(now, tenant) if tenant in self.named_tenants else self.unnamed_rate
        self.total_rate.add(now, 1.0)
        rate.add(now, 1.0)
        return rate.amount / self.total_rate.amount

    def _rate(self, now: int, tenant: str) -> DecayingRate:
        """Return the tenant's rate, moved to the end of the table; evict decayed rates at its beginning."""
        rate = self.rates.pop(tenant, None)
        for oldest in list(islice(self.rates, MAX_EXPIRY_CHECKS)):
            if len(self.rates) >= self.max_rates or self.rates[oldest].amount_at(now) <= NEGLIGIBLE_RATE:
                del self.rates[oldest]
        if rate is None:
            rate = DecayingRate(self.time_constant)
        self.rates[tenant] = rate
        return rate


class BuildRecord:
    """Recent outcomes of one method at one build: decayed counts and the mean response time.

    Times are in microseconds.
    """

    def __init__(self, memory: int) -> None:
        self.memory = memory  # time constant of the decay, in outcomes
        self.outcomes = 0.0
        self.failed = 0.0
        self.mean_time = 0.0

    def add(self, counts: Counts) -> None:
        """Add outcomes; each one decays the earlier outcomes."""
        if counts.attempts:
            remaining = (1 - 1 / self.memory) ** counts.attempts
            weight = (1 - remaining) * self.memory / counts.attempts
            self.outcomes = self.outcomes * remaining + counts.attempts * weight
            self.failed = self.failed * remaining + counts.failed * weight
        if counts.timed:
            weight = 1 - (1 - 1 / self.memory) ** counts.timed if self.mean_time else 1.0
            self.mean_time += (counts.total_time / counts.timed - self.mean_time) * weight
