"""Cost of a change of the endpoint list in the connection pools, including garbage collections."""

from __future__ import annotations

import io
from types import SimpleNamespace

from linenbridge.interface import InstanceState
from linenbridge.net import upstream as upstream_module
from linenbridge.net.upstream import Instances
from linenbridge.logging.event_log import Log

from tests.scale.measure.costs import execution_mode, processor_time
from tests.scale.measure.instances import ready_entries
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: process"
MEASURED_BY = "tests.scale.measure.pools"
SIZES = (20, 200, 2_000, 20_000, 200_000)
ADDRESS = ("127.0.0.1", 9)
MAX_DESCRIPTORS = 500
CONNECT_TIMEOUT = 250_000  # microseconds
IDLE_TIMEOUT = 15_000_000  # microseconds


def change_time(count: int) -> float:
    """Return the microseconds to apply one instance's change of state while no connection is open."""
    pools = Instances(
        SimpleNamespace(),
        SimpleNamespace(),
        MAX_DESCRIPTORS,
        CONNECT_TIMEOUT,
        IDLE_TIMEOUT,
        Log(io.BytesIO()),
    )
    entries = ready_entries(count)
    pools.listed([(entry, ADDRESS) for entry in entries], True)
    middle = entries[count // 2]
    states = [middle._replace(state=InstanceState.DRAINING), middle]

    def change_and_back() -> None:
        for entry in states:
            pools.listed([(entry, ADDRESS)], False)

    # The mean, not the least of several repeats, because only some calls trigger a full collection.
    return processor_time(change_and_back, max(6, 2_000 // count), 1) / 2


def rows() -> list[Slope]:
    """Measure the connection pools at all sizes."""
    return [
        slope(
            "linear",
            [(count, change_time(count)) for count in SIZES],
            role=ROLE,
            what="one change in the pools of connections",
            size="instances",
            unit="us",
            measured_by=MEASURED_BY,
            text=execution_mode(upstream_module),
            note="the mean, with the full collections that it brings about",
        )
    ]


if __name__ == "__main__":
    record(rows())
