"""A first try: a gateway before stand-ins on loopback, a few requests, and what comes back.

Owns what it starts and ends it. It must never be more than a look: the drill is the measurement.
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
from linenbridge.faults.processor import Drill
from linenbridge.faults.fake_client import Client
from linenbridge.faults.fake_proxy import PlannedRequest, Proxy, RequestRecord


def run_demo() -> int:
    """Print a table of requests by both ways; 0 where each had one answer."""
    drill = Drill(seed=7, quick=True)
    records: list[tuple[str, RequestRecord]] = []

    @inlineCallbacks
    def look() -> Iterator[Deferred]:
        world = drill.world()
        process, listen, port = drill.gateway(world, "serve")
        yield drill.up(process)
        proxy, client = Proxy(world, port, 1), Client(world, listen)
        proxy.dial()
        yield deferLater(reactor, 0.3)
        for number in range(9):
            method = list(METHODS)[number % 3]
            path, verb = PATHS[method]
            for way, asked in (("processor", proxy), ("RESP2", client)):
                now = world.clock()
                records.append(
                    (
                        way,
                        asked.start_request(PlannedRequest(f"{way}-{number}", method, now, path, verb), now),
                    )
                )
            yield deferLater(reactor, 0.05)
        yield deferLater(reactor, 0.5)
        # A second attempt of a request with an effect: whoever it comes from, it does not go out again.
        for one in [one for way, one in records if way == "processor" and one.planned.method == "confirm"][
            :1
        ]:
            now = world.clock()
            records.append(
                (
                    "once more",
                    proxy.start_request(
                        PlannedRequest(one.planned.id, "confirm", now, *PATHS["confirm"]), now
                    ),
                )
            )
        yield deferLater(reactor, 0.3)
        proxy.close()
        client.close()
        process.end()
        process.wait()
        world.close()

    done = look()
    done.addErrback(lambda failure: setattr(drill, "failure", failure))
    done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    try:
        reactor.run()
    finally:
        for process in drill.processes:
            process.end(signal.SIGKILL)
            process.wait()
    if drill.failure is not None:
        drill.failure.raiseException()
    grid = Table("way", "request", "method", "sent to", "answer", "after ms", title="linenbridge on loopback")
    for way, one in records:
        sent = ", ".join(f"{node} (build {build})" for _, node, build, _ in one.sent) or "-"
        at, what = one.final_responses[0] if one.final_responses else (one.planned.at, "none")
        grid.add_row(
            way, one.planned.id, one.planned.method, sent, what, f"{(at - one.planned.at) * 1000:.1f}"
        )
    Console().print(grid)
    return 0 if all(len(one.final_responses) == 1 for _, one in records) else 1
