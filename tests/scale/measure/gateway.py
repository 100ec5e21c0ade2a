"""A gateway's process as `run` starts it, on loopback with fake servers: idle, and with one change after
another.

The list comes from the fake discovery server, with the limit on one line lifted (it follows the memory
limit). Processor time is the kernel's own count of the process, memory is what is resident.
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
IDLE = 3.0  # seconds
CHANGES = 10  # one by one
BETWEEN = 0.1  # seconds between two changes
QUIET = 0.5  # seconds after which a process is idle that used less than QUIET_SHARE of a core
QUIET_SHARE = 0.05
PAGE = os.sysconf("SC_PAGESIZE")


def processor_seconds(pid: int) -> float:
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def resident(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


def wait_until_idle(pid: int) -> None:
    """Waits until the process has worked off what it has received."""
    before = processor_seconds(pid)
    while True:
        time.sleep(QUIET)
        after = processor_seconds(pid)
        if after - before < QUIET * QUIET_SHARE:
            return
        before = after


def endpoints(running: GatewayProcess, count: int) -> list[dict]:
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
    """Resident bytes, microseconds of processor time a second when idle, and those for one change."""
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
        began = time.monotonic()
        for number in range(CHANGES):
            row = rows[number % len(rows)] | {"status": "leaving"}
            running.watch.send_chunk({"index": 2 + number, "snapshot": False, "endpoints": [row]})
            time.sleep(BETWEEN)
        wait_until_idle(pid)
        used = processor_seconds(pid) - started - idle * (time.monotonic() - began)
        return resident(pid), idle * 1e6, max(0.0, used / CHANGES * 1e6)


def rows() -> list[Slope]:
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
