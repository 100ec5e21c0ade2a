"""The requests that this gateway admits, and the response times of its methods.

This module holds state and does no I/O. Callers pass in weights and periods.
"""

from __future__ import annotations


class Traffic:
    """Counts of admitted requests, and the mean work of a request. Times are in microseconds."""

    def __init__(self, method_count: int, now: int) -> None:
        self.started_at = now
        self.by_method = [0] * method_count
        self.total = 0
        self.mean_work = 0.0  # of the requests that state their work

    def admit(self, method_index: int, work: int | None, weight: float) -> float:
        """Count a request and return its cost in requests of mean work, or 1.0 if it states no work.

        `weight` is the weight of the request's work in the mean.
        """
        self.by_method[method_index] += 1
        self.total += 1
        if not work:
            return 1.0
        self.mean_work += (work - self.mean_work) * (weight if self.mean_work else 1.0)
        return work / self.mean_work

    def is_below(self, requests: int, period: int, now: int) -> bool:
        """Return whether fewer than `requests` arrive in a period, at the mean rate since the start."""
        return self.total * period < requests * max(period, now - self.started_at)


class ResponseTimes:
    """The recent mean response time of each method and the lowest value of this mean, in microseconds.

    The lowest mean approximates the response time of a request that is hardly queued.
    """

    def __init__(self, initial: list[float], weight: float) -> None:
        self.weight = weight  # of a new response time in the mean
        self.mean = initial
        self.lowest = initial[:]

    def add(self, method_index: int, duration: int) -> None:
        """Add the duration of a successful attempt."""
        mean = self.mean[method_index] + (duration - self.mean[method_index]) * self.weight
        self.mean[method_index] = mean
        self.lowest[method_index] = min(self.lowest[method_index], mean)
