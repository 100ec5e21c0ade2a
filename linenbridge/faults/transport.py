"""Compares transports for the external processor: the same dialogue against an empty processor on each.

A run owns the server processes that it starts. The load is a closed loop of CONCURRENT_STREAMS streams; it
measures the server's processor time for a stream, its memory and its start. The figures are not a gateway's,
because an empty processor makes no decisions.
"""

from __future__ import annotations

import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from linenbridge.faults.deployment import METHODS, PATHS
from linenbridge.faults.process import Process, free_port
from linenbridge.faults.fake_proxy import PlannedRequest, Proxy, RequestRecord
from linenbridge.faults.fake_world import World

SERVERS = {
    "h2 on Twisted": "linenbridge.faults.fake_processor",
    "grpcio (asyncio)": "linenbridge.faults.fake_grpc",
}
CONCURRENT_STREAMS = 32


@dataclass
class TransportCosts:
    """The figures of one transport; `streams_per_core_s` counts streams per second of processor time."""

    name: str
    streams: int
    streams_per_core_s: float
    p50_ms: float
    start_s: float
    memory_mb: float


class ClosedLoopProxy(Proxy):
    """A proxy that starts a request whenever one has ended, while `running` is set."""

    running = False
    started_requests = 0

    def start_next(self) -> None:
        """Start the next request while running."""
        if self.running:
            self.started_requests += 1
            path, verb = PATHS["lookup"]
            self.start_request(
                PlannedRequest(f"t{self.started_requests}", "lookup", self.world.clock(), path, verb),
                self.world.clock(),
            )

    def record_final_response(self, record: RequestRecord, outcome: str) -> None:
        """Record the outcome and start the next request."""
        super().record_final_response(record, outcome)
        self.world.reactor.callLater(0, self.start_next)


class InstantNode:
    """A node that responds at once, so that only the transport adds latency."""

    name, build = "quick", 1

    def serve(self, _request: str, _method: str, done: Any) -> None:
        """Call `done` with `ok`."""
        done("ok")


def measure_transports(seconds: float) -> list[TransportCosts]:
    """Measure each transport for `seconds`, one after the other."""
    folder, rows, failures = (
        Path(tempfile.mkdtemp(prefix="linenbridge-transport-")),
        list[TransportCosts](),
        [],
    )

    @inlineCallbacks
    def measure_transport(name: str, module: str) -> Iterator[Deferred]:
        world, port = World(reactor, 1, METHODS, time.monotonic), free_port()
        world.by_address["127.0.0.1:9"] = InstantNode()  # type: ignore[assignment]
        began = time.monotonic()
        process = Process([sys.executable, "-m", module, str(port), "127.0.0.1:9"], {}, folder, module)
        try:
            while not process.events("started"):
                yield deferLater(reactor, 0.02)
            start = time.monotonic() - began
            proxy = ClosedLoopProxy(world, port, 4, patience=5.0)
            proxy.dial()
            yield deferLater(reactor, 0.5)
            before, proxy.running = process.cpu(), True
            for _ in range(CONCURRENT_STREAMS):
                proxy.start_next()
            yield deferLater(reactor, seconds)
            proxy.running = False
            cpu_seconds = process.cpu() - before
            done = [record for record in proxy.records if record.final_responses]
            waits = sorted(record.decision_times[0] for record in done if record.decision_times)
            rows.append(
                TransportCosts(
                    name,
                    len(done),
                    len(done) / max(cpu_seconds, 1e-3),
                    waits[len(waits) // 2] * 1e3,
                    start,
                    process.memory_mb(),
                )
            )
            proxy.close()
        finally:
            process.end(signal.SIGKILL)
            process.wait()

    @inlineCallbacks
    def measure_all() -> Iterator[Deferred]:
        for name, module in SERVERS.items():
            yield measure_transport(name, module)

    done = measure_all()
    done.addErrback(failures.append)
    done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    shutil.rmtree(folder, ignore_errors=True)
    if failures:
        failures[0].raiseException()
    return rows
