"""The fault run of the external processor: seeded days on loopback, and a report on them.

A fault run owns the processes that it starts (a gateway, an empty processor) and the folder to which they
write. It plays the same day over the processor, over the empty processor and over RESP2, then two days with
faults, and runs the checker on each. The checker alone judges a day. Each process is ended by its own id, and
none outlives the run.
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
from linenbridge.faults.deployment import METHODS, SETTINGS, RULE_LIMITS, configuration
from linenbridge.faults.plan import plan
from linenbridge.faults.process import Process, free_port
from linenbridge.faults.report import PERCENTILES, Day, Report
from linenbridge.faults.fake_client import Client
from linenbridge.faults.fake_proxy import PlannedRequest, Proxy, RequestRecord
from linenbridge.faults.fake_world import RolloutStatus, World


class FaultRun:
    """One fault run with its folder and processes."""

    def __init__(self, seed: int, quick: bool) -> None:
        self.seed, self.quick = seed, quick
        self.folder = Path(tempfile.mkdtemp(prefix="linenbridge-drill-"))
        self.report = Report(seed)
        self.failure: Any = None
        self.processes: list[Process] = []

    def start_world(self) -> World:
        """Start a fake world with eight nodes of build 1."""
        world = World(reactor, self.seed, METHODS, time.monotonic)
        world.listen([(f"n{number}", 1) for number in range(8)], cores=4)
        return world

    def start_gateway(self, world: World, command: str, fail_open: bool = False) -> tuple[Process, int, int]:
        """Start a gateway with `command`; return its process, its RESP2 port and its processor port."""
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        listen, port = free_port(), free_port()
        configuration_file = folder / "config.json"
        configuration_file.write_text(json.dumps(configuration(world, listen)))
        (folder / "settings.xml").write_text(SETTINGS.format(port=port, fail_open=str(fail_open).lower()))
        environ = {"LB_CONFIG": str(folder / "config.json"), "LB_SETTINGS": str(folder / "settings.xml")}
        process = Process([sys.executable, "-m", "linenbridge", command], environ, folder, command)
        # At each start, the gateway receives the current endpoint list.
        process.before_start = lambda: configuration_file.write_text(json.dumps(configuration(world, listen)))
        self.processes.append(process)
        return process, listen, port

    @inlineCallbacks
    def wait_until_started(self, process: Process, times: int = 1) -> Iterator[Deferred]:
        """Wait until the process has logged `times` starts.

        Raises RuntimeError with the end of the log if that takes longer than ten seconds.
        """
        for _ in range(200):
            if len(process.events("started")) >= times:
                return
            yield deferLater(reactor, 0.05)
        raise RuntimeError(f"the gateway did not start: {process.log_path.read_text()[-2000:]}")

    @inlineCallbacks
    def play(
        self, requests: list[PlannedRequest], target: Any, script: list[tuple[float, Callable[[], None]]]
    ) -> Iterator[Deferred]:
        """Start each request at its intended time, as an open loop, and run the script's actions.

        The times of the script are in seconds from the start of the day.
        """
        began = time.monotonic() + 0.1
        for request in requests:
            request.at += began
            reactor.callLater(
                max(0.0, request.at - time.monotonic()), target.start_request, request, request.at
            )
        for at, action in script:
            reactor.callLater(max(0.0, began + at - time.monotonic()), action)
        last = max([request.at for request in requests], default=began) - began
        yield deferLater(reactor, last + 0.5)
        for _ in range(80):
            if all(record.final_responses for record in target.records):
                break
            yield deferLater(reactor, 0.05)
        yield deferLater(reactor, 0.3)

    def add_day(
        self, name: str, world: World, records: list[RequestRecord], cpu: float, memory: float
    ) -> Day:
        """Check a day and add its figures to the report; `cpu` is in seconds, `memory` in mebibytes."""
        day = Day(
            name,
            len(records),
            dict(
                sorted(
                    Counter(
                        record.final_responses[0][1] for record in records if record.final_responses
                    ).items()
                )
            ),
        )
        day.g = checker.utility_ratio(records, METHODS)
        day.broken = checker.check(world, records, RULE_LIMITS)
        waits = [wait for record in records for wait in record.decision_times]
        if waits:
            histogram = HdrHistogram(1, 60_000_000, 3)
            for wait in waits:
                histogram.record_value(max(1, round(wait * 1e6)))
            day.waits_ms = {
                f"p{p:g}": round(histogram.get_value_at_percentile(p) / 1000, 3) for p in PERCENTILES
            }
        streams = sum(record.streams for record in records) or len(records)
        if cpu:
            day.cpu_us, day.streams_per_core = cpu / max(1, len(records)) * 1e6, streams / cpu
        day.memory_mb = round(memory, 1)
        self.report.days.append(day)
        return day

    @inlineCallbacks
    def play_without_faults(self, name: str, rate: float, seconds: float) -> Iterator[Deferred]:
        """Play the day without faults over the empty processor, the processor or RESP2."""
        world = self.start_world()
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
            process, port, _ = self.start_gateway(world, "serve")
        else:
            process, _, port = self.start_gateway(world, "processor")
        yield self.wait_until_started(process)
        target: Any = Client(world, port) if name == "resp2" else Proxy(world, port, 4)
        if name != "resp2":
            target.dial()
            yield deferLater(reactor, 0.3)
        before = process.cpu()
        yield self.play(plan(self.seed, rate, seconds, 0.0), target, [])
        day = self.add_day(name, world, target.records, process.cpu() - before, process.memory_mb())
        if name == "empty":
            day.broken = []  # it makes no decisions; only its cost is measured
        target.close()
        process.end()
        process.wait()
        world.close()

    @inlineCallbacks
    def play_with_faults(self, fail_open: bool, rate: float, seconds: float) -> Iterator[Deferred]:
        """Play a day with faults.

        Streams are reset at every point; nodes fail, drain and crash; a build is rolled out and recalled;
        and the gateway is restarted twice, once as planned and once by a kill in the middle of streams.
        """
        world = self.start_world()
        process, _, port = self.start_gateway(world, "processor", fail_open)
        yield self.wait_until_started(process)
        proxy = Proxy(world, port, 4, fail_open=fail_open, patience=0.6)
        proxy.dial()
        yield deferLater(reactor, 0.3)
        world.fails = {(1, "quote"): 0.02, (1, "confirm"): 0.02, (2, "quote"): 0.4}

        def start_trial() -> None:
            world.add_node("n8", 2, 4)
            world.add_node("n9", 2, 4)
            world.set_rollout(RolloutStatus(2, 0, "testing", 0.2))

        def kill_and_restart() -> None:
            process.end(signal.SIGKILL)
            process.wait()
            process.start()

        def terminate_and_restart() -> None:
            process.end(signal.SIGTERM)
            reactor.callLater(0.05, restart_when_ended)

        def restart_when_ended() -> None:
            if process.process is not None and process.process.poll() is None:
                reactor.callLater(0.05, restart_when_ended)
            else:
                process.start()

        script = [
            (seconds * 0.1, start_trial),
            (seconds * 0.25, lambda: world.drain("n1")),
            (seconds * 0.3, world.nodes["n2"].crash),
            (seconds * 0.4, kill_and_restart),
            (seconds * 0.55, lambda: world.set_rollout(RolloutStatus(2, 0, "recalling", 0.0))),
            (seconds * 0.6, terminate_and_restart),
            (seconds * 0.8, lambda: world.drain("n3")),
        ]
        yield self.play(plan(self.seed + 1, rate, seconds, 0.06), proxy, script)
        day = self.add_day(
            f"faults, {'open' if fail_open else 'closed'}", world, proxy.records, 0.0, process.memory_mb()
        )
        recalled = [event["ids"] for event in process.events("store.recalled")]
        day.notes.append(f"ids recalled at each start: {recalled}")
        day.notes.append(f"votes: {dict(Counter(vote for _, _, _, vote in world.votes))}")
        if len(recalled) != 3 or not any(recalled[1:]):
            day.broken.append(
                f"a start did not recall the ids that the gateway dispatched before: {recalled}"
            )
        proxy.close()
        process.end()
        if process.wait() != 0:
            day.broken.append("the gateway did not exit with code 0 in time")
        if failed := process.events("failed"):
            day.broken.append(
                f"{len(failed)} exceptions, the first: {failed[0]['where']}: {failed[0]['error']}"
            )
        world.close()

    @inlineCallbacks
    def play_all(self) -> Iterator[Deferred]:
        """Play the days without faults, then those with faults."""
        rate, seconds = (150.0, 4.0) if self.quick else (200.0, 20.0)
        for name in ("empty", "processor", "resp2"):
            yield self.play_without_faults(name, rate, seconds)
        for fail_open in (False, True):
            yield self.play_with_faults(fail_open, rate, 7.0 if self.quick else 20.0)

    def run(self) -> Report:
        """Play all days and return the report; keep the folder if a rule broke or the run failed."""
        try:
            done = self.play_all()
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


def run_fault_days(seed: int, quick: bool) -> Report:
    """Run all days once; call it once per process, because the reactor cannot be restarted."""
    return FaultRun(seed, quick).run()
