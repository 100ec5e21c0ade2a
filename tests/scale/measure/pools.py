"""A gateway's pools of connections by instance: the time of one change of the list, with collections."""

from __future__ import annotations

import io
from types import SimpleNamespace

from linenbridge.interface import InstanceState
from linenbridge.net import upstream as instances_module
from linenbridge.net.upstream import Instances
from linenbridge.logging.event_log import Log

from tests.scale.measure.costs import processor_time, text_of
from tests.scale.measure.instances import listed
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: process"
MEASURED_BY = "tests.scale.measure.pools"
SIZES = (20, 200, 2_000, 20_000, 200_000)
ADDRESS = ("127.0.0.1", 9)
DESCRIPTORS = 500
WAIT = 250_000
IDLE = 15_000_000


def change_time(count: int) -> float:
    """Microseconds for one instance's change of state, no connection being open."""
    pools = Instances(SimpleNamespace(), SimpleNamespace(), DESCRIPTORS, WAIT, IDLE, Log(io.BytesIO()))
    entries = listed(count)
    pools.listed([(entry, ADDRESS) for entry in entries], True)
    middle = entries[count // 2]
    states = [middle._replace(state=InstanceState.DRAINING), middle]

    def change_and_back() -> None:
        for entry in states:
            pools.listed([(entry, ADDRESS)], False)

    # The mean, not the least of some repeats: a full collection comes at some of the calls only.
    return processor_time(change_and_back, max(6, 2_000 // count), 1) / 2


def rows() -> list[Slope]:
    return [
        slope(
            "linear",
            [(count, change_time(count)) for count in SIZES],
            role=ROLE,
            what="one change in the pools of connections",
            size="instances",
            unit="us",
            measured_by=MEASURED_BY,
            text=text_of(instances_module),
            note="the mean, with the full collections that it brings about",
        )
    ]


if __name__ == "__main__":
    record(rows())
