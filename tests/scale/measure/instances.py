"""Costs of a gateway's instance view: the time of changes, and the memory of the view and of the list."""

from __future__ import annotations

from linenbridge.interface import InstanceState, EndpointEntry
from linenbridge.state import fleet as fleet_module
from linenbridge.state.fleet import Fleet

from tests.scale.measure.costs import allocated_bytes, execution_mode, processor_time
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: instance view"
MEASURED_BY = "tests.scale.measure.instances"
SIZES = (20, 200, 2_000, 20_000, 200_000)
ZONES = 19
LONG_AGO = -1_000_000_000_000  # microseconds; long enough before 0 that no instance is in slow start
# Values that the decision module passes.
RESPONSE_GAP = 400_000.0  # microseconds
CONCURRENCY_LIMIT = 3.0  # attempts in flight


def ready_entries(count: int) -> list[EndpointEntry]:
    """Return `count` ready instances over 19 zones, a tenth of them at a later build."""
    return [
        EndpointEntry(
            f"i-{number:06d}",
            2 if number % 10 == 0 else 1,
            f"zone-{number % ZONES}",
            number % 400,
            InstanceState.READY,
            1.0,
            LONG_AGO - number,
        )
        for number in range(count)
    ]


def filled_fleet(entries: list[EndpointEntry]) -> Fleet:
    """Return an instance view to which a full list was applied."""
    fleet = Fleet(0, 0)
    fleet.update(
        entries, is_snapshot=True, response_gap=RESPONSE_GAP, concurrency_limit=CONCURRENCY_LIMIT, used=set()
    )
    return fleet


def change_time(count: int) -> float:
    """Return the microseconds to apply one instance's change of state."""
    entries = ready_entries(count)
    fleet = filled_fleet(entries)
    middle = entries[count // 2]
    states = [[middle._replace(state=InstanceState.DRAINING)], [middle]]

    def change_and_back() -> None:
        for entry in states:
            fleet.update(
                entry,
                is_snapshot=False,
                response_gap=RESPONSE_GAP,
                concurrency_limit=CONCURRENCY_LIMIT,
                used=set(),
            )

    calls = max(1, 2_000 // count)
    return processor_time(change_and_back, calls, 3) / 2


def zone_time(count: int) -> float:
    """Return the microseconds to apply one list in which all instances of a zone are removed."""
    entries = ready_entries(count)
    fleet = filled_fleet(entries)
    zone = [entry for entry in entries if entry.zone == "zone-0"]
    states = [[entry._replace(state=InstanceState.REMOVED) for entry in zone], zone]

    def remove_and_restore() -> None:
        for changes in states:
            fleet.update(
                changes,
                is_snapshot=False,
                response_gap=RESPONSE_GAP,
                concurrency_limit=CONCURRENCY_LIMIT,
                used=set(),
            )

    return processor_time(remove_and_restore, max(1, 2_000 // count), 3) / 2


def list_time(count: int) -> float:
    """Return the microseconds to apply a full list without any change."""
    entries = ready_entries(count)
    fleet = filled_fleet(entries)
    return processor_time(
        lambda: fleet.update(
            entries,
            is_snapshot=True,
            response_gap=RESPONSE_GAP,
            concurrency_limit=CONCURRENCY_LIMIT,
            used=set(),
        ),
        max(1, 2_000 // count),
        3,
    )


def view_bytes(count: int) -> int:
    """Return the bytes of the view without those of the list."""
    entries = ready_entries(count)
    return allocated_bytes(lambda: filled_fleet(entries))


def rows() -> list[Slope]:
    """Measure the instance view at all sizes."""
    text = execution_mode(fleet_module)
    common = dict(role=ROLE, size="instances", measured_by=MEASURED_BY, text=text)
    return [
        slope("linear", [(n, change_time(n)) for n in SIZES], what="one change", unit="us", **common),
        slope("n log n", [(n, zone_time(n)) for n in SIZES], what="a zone gone at once", unit="us", **common),
        slope("n log n", [(n, list_time(n)) for n in SIZES], what="a whole list", unit="us", **common),
        slope(
            "linear", [(n, view_bytes(n)) for n in SIZES], what="memory of the view", unit="bytes", **common
        ),
        slope(
            "linear",
            [(n, allocated_bytes(lambda n=n: ready_entries(n))) for n in SIZES],
            what="memory of the list",
            unit="bytes",
            **common,
        ),
    ]


if __name__ == "__main__":
    record(rows())
