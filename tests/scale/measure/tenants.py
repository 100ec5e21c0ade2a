"""A gateway's tenants: the memory of their rates and the time to count one request."""

from __future__ import annotations

from itertools import cycle

from linenbridge.state import counters as counters_module
from linenbridge.state.counters import Parts

from tests.scale.measure.costs import held_bytes, processor_time, text_of
from tests.scale.slopes import Slope, merge, slope

ROLE = "gateway: tenants"
MEASURED_BY = "tests.scale.measure.tenants"
SIZES = (350, 3_500, 35_000, 350_000)
MEMORY = 5_000_000  # microseconds that a rate is remembered, as the module passes it in
MOST = 1 << 14  # rates kept at most, as the module passes it in
APART = 1_391  # microseconds between two requests at 719 a second


def shares(count: int) -> dict[str, float]:
    """The settings' table of shares."""
    return {f"tenant-{number:07d}": 1.0 / count for number in range(count)}


def seen(given: dict[str, float]) -> Parts:
    """The rates after one request of each tenant, at a gateway's pace."""
    parts = Parts(MEMORY, given, MOST)
    for number, name in enumerate(given):
        parts.part(number * APART, name)
    return parts


def count_time(count: int) -> float:
    """Microseconds to count one request, all tenants in turn, once each of them was seen."""
    given = shares(count)
    parts, now, names = seen(given), iter(range(count * APART, 1 << 60, APART)), cycle(given)
    return processor_time(lambda: parts.part(next(now), next(names)), 5_000)


def shares_bytes(count: int) -> int:
    """Bytes of the settings' table of shares, names included: what a start hands to the module."""
    return held_bytes(lambda: shares(count))


def rates_bytes(count: int) -> int:
    """Bytes of the rates that are kept once every tenant was seen; the names are those of the shares."""
    given = shares(count)
    return held_bytes(lambda: seen(given))


def rows() -> list[Slope]:
    common = dict(role=ROLE, size="tenants", measured_by=MEASURED_BY, text=text_of(counters_module))
    return [
        slope("linear", [(n, rates_bytes(n)) for n in SIZES],
              what="memory of the rates", unit="bytes", note=f"{MOST:,} rates kept at most", **common),
        slope("linear", [(n, shares_bytes(n)) for n in SIZES],
              what="memory of the shares", unit="bytes", **common),
        slope("constant", [(n, count_time(n)) for n in SIZES],
              what="one request counted", unit="us", **common),
    ]  # fmt: skip


if __name__ == "__main__":
    merge(rows())
