"""A gateway's tenants: the memory of their rates and the time to count one request."""

from __future__ import annotations

import itertools

from linenbridge.policy.priorities import MAX_TENANTS
from linenbridge.state import counters as counters_module
from linenbridge.state.counters import QuotaUsage

from tests.scale.measure.costs import allocated_bytes, processor_time, text_of
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: tenants"
MEASURED_BY = "tests.scale.measure.tenants"
SIZES = (350, 3_500, 35_000, 350_000)
MEMORY = 5_000_000  # microseconds that a rate is remembered, as the module passes it in


def names(count: int) -> list[str]:
    return [f"tenant-{number:07d}" for number in range(count)]


def seen(shares: dict[str, float]) -> QuotaUsage:
    """The rates after one request of every tenant."""
    parts = QuotaUsage(MEMORY, shares, MAX_TENANTS)
    for name in shares:
        parts.usage(1_000_000, name)
    return parts


def shares(count: int) -> dict[str, float]:
    """The settings' table of shares."""
    return {name: 1.0 / count for name in names(count)}


def count_time(count: int) -> float:
    """Microseconds to count one request of a tenant, each of another one than the last 997."""
    parts = seen(shares(count))
    requested = itertools.cycle(names(count)[: min(count, 997)])
    return processor_time(lambda: parts.usage(1_000_000, next(requested)), 5_000)


def shares_bytes(count: int) -> int:
    """Bytes of the settings' table of shares, names included: what a start hands to the module."""
    return allocated_bytes(lambda: shares(count))


def rates_bytes(count: int) -> int:
    """Bytes of the rates once every tenant was seen, the names not counted: they are those of the shares."""
    given = shares(count)
    return allocated_bytes(lambda: seen(given))


def rows() -> list[Slope]:
    common = dict(role=ROLE, size="tenants", measured_by=MEASURED_BY, text=text_of(counters_module))
    return [
        slope("linear", [(n, rates_bytes(n)) for n in SIZES],
              what="memory of the rates", unit="bytes", **common),
        slope("linear", [(n, shares_bytes(n)) for n in SIZES],
              what="memory of the shares", unit="bytes", **common),
        slope("constant", [(n, count_time(n)) for n in SIZES],
              what="one request counted", unit="us", **common),
    ]  # fmt: skip


if __name__ == "__main__":
    record(rows())
