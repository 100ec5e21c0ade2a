"""The drill of the external processor: seeded days on loopback, and what they show.

Owns the processes it starts (a gateway, an empty processor), each ended by its own id, and the folder they
write to. It plays the same day over the processor, over the empty one and over RESP2, then a day of faults,
and has the checker go over each. It must never judge a run by itself, nor leave a process behind.
"""

from __future__ import annotations

import json
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from linenbridge.faults import checker
from linenbridge.faults.deployment import METHODS, SETTINGS, TERMS, configuration
from linenbridge.faults.plan import plan
from linenbridge.faults.process import Process, free_port
from linenbridge.faults.report import PERCENTILES, Day, Report
from linenbridge.faults.fake_client import Client
from linenbridge.faults.fake_proxy import PlannedRequest, Proxy, RequestRecord
from linenbridge.faults.fake_world import RolloutStatus, World


class Drill:
    """One drill with its folder and processes."""

    def __init__(self, seed: int, quick: bool) -> None:
        self.seed, self.quick = seed, quick
        self.folder = Path(tempfile.mkdtemp(prefix="linenbridge-drill-"))
        self.report = Report(seed)
        self.failure: Any = None
        self.processes: list[Process] = []

    def world(self) -> World:
        world = World(reactor, self.seed, METHODS, time.monotonic)
        world.listen([(f"n{number}", 1) for number in range(8)], cores=4)
        return world

    def gateway(self, world: World, command: str, fail_open: bool = False) -> tuple[Process, int, int]:
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        listen, port = free_port(), free_port()
        process_file = folder / "config.json"
        process_file.write_text(json.dumps(configuration(world, listen)))
        (folder / "settings.xml").write_text(SETTINGS.format(port=port, fail_open=str(fail_open).lower()))
        environ = {"LB_CONFIG": str(folder / "config.json"), "LB_SETTINGS": str(folder / "settings.xml")}
        process = Process([sys.executable, "-m", "linenbridge", command], environ, folder, command)
        # What the platform tells at a start is the list as it stands then.
        process.anew = lambda: process_file.write_text(json.dumps(configuration(world, listen)))
        self.processes.append(process)
        return process, listen, port

    @inlineCallbacks
    def up(self, process: Process, times: int = 1) -> Iterator[Deferred]:
        for _ in range(200):
            if len(process.events("started")) >= times:
                return
            yield deferLater(reactor, 0.05)
        raise RuntimeError(f"the gateway did not start: {process.lines.read_text()[-2000:]}")

    @inlineCallbacks
    def play(
        self, requests: list[PlannedRequest], asked: Any, script: list[tuple[float, Callable[[], None]]]
    ) -> Iterator[Deferred]:
        """Open loop: each request at its intended time, whatever came of those before."""
        began = time.monotonic() + 0.1
        for request in requests:
            request.at += began
            reactor.callLater(
                max(0.0, request.at - time.monotonic()), asked.start_request, request, request.at
            )
        for at, what in script:
            reactor.callLater(max(0.0, began + at - time.monotonic()), what)
        last = max([request.at for request in requests], default=began) - began
        yield deferLater(reactor, last + 0.5)
        for _ in range(80):
            if all(one.final_responses for one in asked.records):
                break
            yield deferLater(reactor, 0.05)
        yield deferLater(reactor, 0.3)

    def day(self, name: str, world: World, records: list[RequestRecord], cpu: float, memory: float) -> Day:
        day = Day(
            name,
            len(records),
            dict(
                sorted(Counter(one.final_responses[0][1] for one in records if one.final_responses).items())
            ),
        )
        day.g = checker.utility_ratio(records, METHODS)
        day.broken = checker.check(world, records, TERMS)
        waits = [wait for one in records for wait in one.decision_times]
        if waits:
            histogram = HdrHistogram(1, 60_000_000, 3)
            for wait in waits:
                histogram.record_value(max(1, round(wait * 1e6)))
            day.waits_ms = {
                f"p{p:g}": round(histogram.get_value_at_percentile(p) / 1000, 3) for p in PERCENTILES
            }
        streams = sum(one.streams for one in records) or len(records)
        if cpu:
            day.cpu_us, day.streams_per_core = cpu / max(1, len(records)) * 1e6, streams / cpu
        day.memory_mb = round(memory, 1)
        self.report.days.append(day)
        return day

    @inlineCallbacks
    def plain(self, name: str, rate: float, seconds: float) -> Iterator[Deferred]:
        """The same day without faults, over one of the three."""
        world = self.world()
        if name == "empty":
            port = free_port()
            node = world.nodes["n0"].address
            process = Process(
                [sys.executable, "-m", "linenbridge.faults.fake_processor", str(port), node],
                {},
                self.folder,
                "empty",
            )
            self.processes.append(process)
        elif name == "resp2":
            process, port, _ = self.gateway(world, "serve")
        else:
            process, _, port = self.gateway(world, "processor")
        yield self.up(process)
        asked: Any = Client(world, port) if name == "resp2" else Proxy(world, port, 4)
        if name != "resp2":
            asked.dial()
            yield deferLater(reactor, 0.3)
        before = process.cpu()
        yield self.play(plan(self.seed, rate, seconds, 0.0), asked, [])
        day = self.day(name, world, asked.records, process.cpu() - before, process.memory_mb())
        if name == "empty":
            day.broken = []  # It decides nothing: only its time counts.
        asked.close()
        process.end()
        process.wait()
        world.close()

    @inlineCallbacks
    def faults(self, fail_open: bool, rate: float, seconds: float) -> Iterator[Deferred]:
        """Streams reset at every point, nodes that fail, drain and die, a build on trial, a gateway restarted
        as planned and one killed in the middle of streams."""
        world = self.world()
        process, _, port = self.gateway(world, "processor", fail_open)
        yield self.up(process)
        proxy = Proxy(world, port, 4, fail_open=fail_open, patience=0.6)
        proxy.dial()
        yield deferLater(reactor, 0.3)
        world.fails = {(1, "quote"): 0.02, (1, "confirm"): 0.02, (2, "quote"): 0.4}

        def trial() -> None:
            world.add("n8", 2, 4)
            world.add("n9", 2, 4)
            world.set_rollout(RolloutStatus(2, 0, "testing", 0.2))

        def killed() -> None:
            process.end(signal.SIGKILL)
            process.wait()
            process.start()

        def planned() -> None:
            process.end(signal.SIGTERM)
            reactor.callLater(0.05, again)

        def again() -> None:
            if process.process is not None and process.process.poll() is None:
                reactor.callLater(0.05, again)
            else:
                process.start()

        script = [
            (seconds * 0.1, trial),
            (seconds * 0.25, lambda: world.drain("n1")),
            (seconds * 0.3, world.nodes["n2"].die),
            (seconds * 0.4, killed),
            (seconds * 0.55, lambda: world.set_rollout(RolloutStatus(2, 0, "recalling", 0.0))),
            (seconds * 0.6, planned),
            (seconds * 0.8, lambda: world.drain("n3")),
        ]
        yield self.play(plan(self.seed + 1, rate, seconds, 0.06), proxy, script)
        day = self.day(
            f"faults, {'open' if fail_open else 'closed'}", world, proxy.records, 0.0, process.memory_mb()
        )
        recalled = [event["ids"] for event in process.events("store.recalled")]
        day.notes.append(f"ids recalled at each start: {recalled}")
        day.notes.append(f"votes: {dict(Counter(vote for _, _, _, vote in world.votes))}")
        if len(recalled) != 3 or not any(recalled[1:]):
            day.broken.append(f"a start did not recall what an earlier life handed out: {recalled}")
        proxy.close()
        process.end()
        if process.wait() != 0:
            day.broken.append("the gateway did not end in time")
        if failed := process.events("failed"):
            day.broken.append(
                f"{len(failed)} exceptions, the first: {failed[0]['where']}: {failed[0]['error']}"
            )
        world.close()

    @inlineCallbacks
    def all(self) -> Iterator[Deferred]:
        rate, seconds = (150.0, 4.0) if self.quick else (200.0, 20.0)
        for name in ("empty", "processor", "resp2"):
            yield self.plain(name, rate, seconds)
        for fail_open in (False, True):
            yield self.faults(fail_open, rate, 7.0 if self.quick else 20.0)

    def run(self) -> Report:
        try:
            done = self.all()
            done.addErrback(lambda failure: setattr(self, "failure", failure))
            done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
            reactor.run()
        finally:
            for process in self.processes:
                process.end(signal.SIGKILL)
                process.wait()
            if self.failure is None and not self.report.broken():
                shutil.rmtree(self.folder, ignore_errors=True)
        if self.failure is not None:
            self.failure.raiseException()
        return self.report


def run_drill(seed: int, quick: bool) -> Report:
    """One whole drill; the caller's process is its own, as the reactor runs once."""
    return Drill(seed, quick).run()
