"""A demonstration: sends a few requests through a gateway between fake servers, and prints the responses.

The demonstration owns the processes that it starts, and ends them. For checks and measurements,
use the fault run in `linenbridge.faults.processor`.
"""

from __future__ import annotations

import signal
from collections.abc import Iterator

from rich.console import Console
from rich.table import Table
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from linenbridge.faults.deployment import METHODS, PATHS
from linenbridge.faults.processor import FaultRun
from linenbridge.faults.fake_client import Client
from linenbridge.faults.fake_proxy import PlannedRequest, Proxy, RequestRecord


def run_demo() -> int:
    """Print a table of requests through the processor and by RESP2.

    Returns 0 if each request had one response, and 1 otherwise.
    """
    fault_run = FaultRun(seed=7, quick=True)
    records: list[tuple[str, RequestRecord]] = []

    @inlineCallbacks
    def run_requests() -> Iterator[Deferred]:
        world = fault_run.start_world()
        process, listen, port = fault_run.start_gateway(world, "serve")
        yield fault_run.wait_until_started(process)
        proxy, client = Proxy(world, port, 1), Client(world, listen)
        proxy.dial()
        yield deferLater(reactor, 0.3)
        for number in range(9):
            method = list(METHODS)[number % 3]
            path, verb = PATHS[method]
            for way, target in (("processor", proxy), ("RESP2", client)):
                now = world.clock()
                records.append(
                    (
                        way,
                        target.start_request(PlannedRequest(f"{way}-{number}", method, now, path, verb), now),
                    )
                )
            yield deferLater(reactor, 0.05)
        yield deferLater(reactor, 0.5)
        # Repeat a request that is not idempotent: the gateway must not send it a second time.
        for record in [
            record for way, record in records if way == "processor" and record.planned.method == "confirm"
        ][:1]:
            now = world.clock()
            records.append(
                (
                    "once more",
                    proxy.start_request(
                        PlannedRequest(record.planned.id, "confirm", now, *PATHS["confirm"]), now
                    ),
                )
            )
        yield deferLater(reactor, 0.3)
        proxy.close()
        client.close()
        process.end()
        process.wait()
        world.close()

    done = run_requests()
    done.addErrback(lambda failure: setattr(fault_run, "failure", failure))
    done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    try:
        reactor.run()
    finally:
        for process in fault_run.processes:
            process.end(signal.SIGKILL)
            process.wait()
    if fault_run.failure is not None:
        fault_run.failure.raiseException()
    grid = Table("way", "request", "method", "sent to", "answer", "after ms", title="linenbridge on loopback")
    for way, record in records:
        sent = ", ".join(f"{node} (build {build})" for _, node, build, _ in record.sent) or "-"
        at, what = record.final_responses[0] if record.final_responses else (record.planned.at, "none")
        grid.add_row(
            way,
            record.planned.id,
            record.planned.method,
            sent,
            what,
            f"{(at - record.planned.at) * 1000:.1f}",
        )
    Console().print(grid)
    return 0 if all(len(record.final_responses) == 1 for _, record in records) else 1
