"""Costs of a gateway's tenants: the memory of rates and shares, and the time to count one request."""

from __future__ import annotations

import itertools

from linenbridge.policy.priorities import MAX_TENANTS
from linenbridge.state import counters as counters_module
from linenbridge.state.counters import QuotaUsage

from tests.scale.measure.costs import allocated_bytes, execution_mode, processor_time
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: tenants"
MEASURED_BY = "tests.scale.measure.tenants"
SIZES = (350, 3_500, 35_000, 350_000)
RATE_TIME_CONSTANT = 5_000_000  # microseconds, as the decision module passes it


def names(count: int) -> list[str]:
    """Return the names of `count` tenants."""
    return [f"tenant-{number:07d}" for number in range(count)]


def usage_of_all(shares: dict[str, float]) -> QuotaUsage:
    """Return the rates after one request of every tenant."""
    quota_usage = QuotaUsage(RATE_TIME_CONSTANT, shares, MAX_TENANTS)
    for name in shares:
        quota_usage.usage(1_000_000, name)
    return quota_usage


def shares(count: int) -> dict[str, float]:
    """Return the table of shares as in the settings."""
    return {name: 1.0 / count for name in names(count)}


def count_time(count: int) -> float:
    """Return the microseconds to count one request; requests cycle through up to 997 tenants."""
    quota_usage = usage_of_all(shares(count))
    requested = itertools.cycle(names(count)[: min(count, 997)])
    return processor_time(lambda: quota_usage.usage(1_000_000, next(requested)), 5_000)


def shares_bytes(count: int) -> int:
    """Return the bytes of the table of shares, including the names, that the module receives at its start."""
    return allocated_bytes(lambda: shares(count))


def rates_bytes(count: int) -> int:
    """Return the bytes of the rates of all tenants, without the names, which are shared with the shares."""
    given = shares(count)
    return allocated_bytes(lambda: usage_of_all(given))


def rows() -> list[Slope]:
    """Measure tenants at all sizes."""
    common = dict(role=ROLE, size="tenants", measured_by=MEASURED_BY, text=execution_mode(counters_module))
    return [
        slope(
            "linear", [(n, rates_bytes(n)) for n in SIZES], what="memory of the rates", unit="bytes", **common
        ),
        slope(
            "linear",
            [(n, shares_bytes(n)) for n in SIZES],
            what="memory of the shares",
            unit="bytes",
            **common,
        ),
        slope(
            "constant", [(n, count_time(n)) for n in SIZES], what="one request counted", unit="us", **common
        ),
    ]


if __name__ == "__main__":
    record(rows())
