"""Costs of a gateway process on loopback with fake servers: idle, and during successive changes.

The process is started as `run` starts it. The fake discovery server sends the endpoint list; the limit on
the length of one line follows the memory limit, which is raised here. Processor time is the kernel's count
for the process, and memory is the resident set.
"""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path

from tests.net import loopback
from tests.net.loopback import GatewayProcess
from tests.scale.measure import COMPILED
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: process"
MEASURED_BY = "tests.scale.measure.gateway"
SIZES = (20, 200, 2_000, 20_000, 200_000)
LIMITS = {"cores": 1.0, "memory_mb": 4_096, "sockets": 1_024}
IDLE = 3.0  # seconds of the idle measurement
CHANGES = 10
CHANGE_INTERVAL = 0.1  # seconds
# A process is idle if it used less than this share of a core during the interval.
IDLE_CHECK_INTERVAL = 0.5  # seconds
MAX_IDLE_SHARE = 0.05
PAGE_BYTES = os.sysconf("SC_PAGESIZE")


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def wait_until_idle(pid: int) -> None:
    """Wait until the process has handled all received changes and is idle."""
    before = processor_seconds(pid)
    while True:
        time.sleep(IDLE_CHECK_INTERVAL)
        after = processor_seconds(pid)
        if after - before < IDLE_CHECK_INTERVAL * MAX_IDLE_SHARE:
            return
        before = after


def endpoints(running: GatewayProcess, count: int) -> list[dict]:
    """Return `count` rows of an endpoint list, as the fake discovery server sends them."""
    return [
        running.row(
            name=f"i-{number:06d}",
            zone=f"zone-{number % 19}",
            group=number % 400,
            weight=1.0,
            release=1,
            since_ms=1_700_000_000_000 + number,
        )
        for number in range(count)
    ]


def gateway_costs(count: int) -> tuple[float, float, float]:
    """Measure a gateway whose endpoint list has `count` instances.

    Return the resident bytes, the microseconds of processor time per second when idle, and the microseconds
    of processor time for one change.
    """
    before = f"import sys; sys.path.insert(0, {str(COMPILED)!r})"
    with (
        tempfile.TemporaryDirectory() as folder,
        GatewayProcess(Path(folder), known=False, before=before, limits=LIMITS) as running,
    ):
        pid = running.process.pid
        running.wait_for_event("started")
        rows = endpoints(running, count)
        running.watch.send_chunk({"index": 1, "snapshot": True, "endpoints": rows})
        wait_until_idle(pid)
        started = processor_seconds(pid)
        time.sleep(IDLE)
        idle = (processor_seconds(pid) - started) / IDLE
        started = processor_seconds(pid)
        changes_started = time.monotonic()
        for number in range(CHANGES):
            row = rows[number % len(rows)] | {"status": "leaving"}
            running.watch.send_chunk({"index": 2 + number, "snapshot": False, "endpoints": [row]})
            time.sleep(CHANGE_INTERVAL)
        wait_until_idle(pid)
        change_seconds = processor_seconds(pid) - started - idle * (time.monotonic() - changes_started)
        return resident_bytes(pid), idle * 1e6, max(0.0, change_seconds / CHANGES * 1e6)


def rows() -> list[Slope]:
    """Measure the gateway process at all sizes."""
    costs = [(n, gateway_costs(n)) for n in SIZES]
    text = "compiled" if (COMPILED / "linenbridge").exists() else "interpreted"
    common = dict(role=ROLE, size="instances", measured_by=MEASURED_BY, text=text)
    return [
        slope("linear", [(n, cost[0]) for n, cost in costs], what="resident memory", unit="bytes", **common),
        slope("constant", [(n, cost[1]) for n, cost in costs], what="idle", unit="us a second", **common),
        slope("linear", [(n, cost[2]) for n, cost in costs], what="one change told", unit="us", **common),
    ]


if __name__ == "__main__":
    loopback.ROOT = Path(__file__).parents[3]
    record(rows())
