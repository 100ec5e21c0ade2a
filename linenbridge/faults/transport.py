"""Weighs transports for the external processor: the same dialogue against an empty processor on each.

Owns the server processes that it starts. Closed loop, so many streams at a time; what counts is the server's
processor time for a stream, its memory and its start. It must never be read as a gateway's figure: nothing is
decided here.
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
AT_ONCE = 32


@dataclass
class TransportCosts:
    """One transport's figures: streams for a processor second of the server, and so on."""

    name: str
    streams: int
    streams_per_core_s: float
    p50_ms: float
    start_s: float
    memory_mb: float


class Crowd(Proxy):
    """A proxy that asks anew whenever one has ended, until it is told to stop."""

    running = False
    asked = 0

    def more(self) -> None:
        if self.running:
            self.asked += 1
            path, verb = PATHS["lookup"]
            self.start_request(
                PlannedRequest(f"t{self.asked}", "lookup", self.world.clock(), path, verb), self.world.clock()
            )

    def final(self, record: RequestRecord, outcome: str) -> None:
        super().final(record, outcome)
        self.world.reactor.callLater(0, self.more)


class Quick:
    """A node that serves at once, so that the transport alone is waited for."""

    name, build = "quick", 1

    def serve(self, request: str, method: str, done: Any) -> None:
        done("ok")


def measure_transports(seconds: float) -> list[TransportCosts]:
    """Each transport in turn, in one run."""
    folder, rows, failures = (
        Path(tempfile.mkdtemp(prefix="linenbridge-transport-")),
        list[TransportCosts](),
        [],
    )

    @inlineCallbacks
    def one(name: str, module: str) -> Iterator[Deferred]:
        world, port = World(reactor, 1, METHODS, time.monotonic), free_port()
        world.by_address["127.0.0.1:9"] = Quick()  # type: ignore[assignment]
        began = time.monotonic()
        process = Process([sys.executable, "-m", module, str(port), "127.0.0.1:9"], {}, folder, module)
        try:
            while not process.events("started"):
                yield deferLater(reactor, 0.02)
            start = time.monotonic() - began
            proxy = Crowd(world, port, 4, patience=5.0)
            proxy.dial()
            yield deferLater(reactor, 0.5)
            before, proxy.running = process.cpu(), True
            for _ in range(AT_ONCE):
                proxy.more()
            yield deferLater(reactor, seconds)
            proxy.running = False
            used = process.cpu() - before
            done = [record for record in proxy.records if record.final_responses]
            waits = sorted(record.decision_times[0] for record in done if record.decision_times)
            rows.append(
                TransportCosts(
                    name,
                    len(done),
                    len(done) / max(used, 1e-3),
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
    def every() -> Iterator[Deferred]:
        for name, module in SERVERS.items():
            yield one(name, module)

    done = every()
    done.addErrback(failures.append)
    done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    shutil.rmtree(folder, ignore_errors=True)
    if failures:
        failures[0].raiseException()
    return rows
