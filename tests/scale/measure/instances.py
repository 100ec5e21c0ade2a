"""A gateway's instance view: the time of one change, and the memory of the view and of the list."""

from __future__ import annotations

from linenbridge.interface import InstanceState, EndpointEntry
from linenbridge.state import fleet as fleet_module
from linenbridge.state.fleet import Fleet

from tests.scale.measure.costs import allocated_bytes, processor_time, text_of
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: instance view"
MEASURED_BY = "tests.scale.measure.instances"
SIZES = (20, 200, 2_000, 20_000, 200_000)
ZONES = 19
LONG_AGO = -1_000_000_000_000  # microseconds; none of them is cold
# As the decision module passes them in.
GAP = 400_000.0
LIMIT = 3.0


def listed(count: int) -> list[EndpointEntry]:
    """A list of that many ready instances, a tenth of them at a later build, over 19 zones."""
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


def view(entries: list[EndpointEntry]) -> Fleet:
    """The view of a gateway that has taken in a whole list."""
    fleet = Fleet(0, 0)
    fleet.update(entries, True, GAP, LIMIT, set())
    return fleet


def change_time(count: int) -> float:
    """Microseconds for one instance's change of state, taken in by itself."""
    entries = listed(count)
    fleet = view(entries)
    middle = entries[count // 2]
    states = [[middle._replace(state=InstanceState.DRAINING)], [middle]]

    def change_and_back() -> None:
        for entry in states:
            fleet.update(entry, False, GAP, LIMIT, set())

    calls = max(1, 2_000 // count)
    return processor_time(change_and_back, calls, 3) / 2


def zone_time(count: int) -> float:
    """Microseconds to take in that all instances of a zone are gone, in one list."""
    entries = listed(count)
    fleet = view(entries)
    zone = [entry for entry in entries if entry.zone == "zone-0"]
    states = [[entry._replace(state=InstanceState.REMOVED) for entry in zone], zone]

    def remove_and_restore() -> None:
        for changes in states:
            fleet.update(changes, False, GAP, LIMIT, set())

    return processor_time(remove_and_restore, max(1, 2_000 // count), 3) / 2


def list_time(count: int) -> float:
    """Microseconds to take in a whole list that says nothing new."""
    entries = listed(count)
    fleet = view(entries)
    return processor_time(lambda: fleet.update(entries, True, GAP, LIMIT, set()), max(1, 2_000 // count), 3)


def view_bytes(count: int) -> int:
    """Bytes of the view alone, the list not counted."""
    entries = listed(count)
    return allocated_bytes(lambda: view(entries))


def rows() -> list[Slope]:
    text = text_of(fleet_module)
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
            [(n, allocated_bytes(lambda n=n: listed(n))) for n in SIZES],
            what="memory of the list",
            unit="bytes",
            **common,
        ),
    ]


if __name__ == "__main__":
    record(rows())
