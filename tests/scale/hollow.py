"""Many hollow gateways in one process: the real follower, view, store and links, without a front.

    python -m tests.scale.hollow SPEC RECORDS

The process reads commands as JSON lines from standard input and answers each with one line. Its gateways
share the reactor and the checks of values: a value that one gateway has read and checked is not parsed again
by the others. Each gateway has its own tables, links, stores and positions. The process records the versions
that each view holds, read from the view right after each change, and the answers to requests that are looked
up in a view between changes.
"""

from __future__ import annotations

import os
import resource
import sys
from collections import Counter, OrderedDict
from collections.abc import Generator, Iterable
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from msgspec import Struct, field
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineOnlyReceiver

from linenbridge.distribution.changes import Change, digest_of
from linenbridge.distribution.configuration import DistributionSettings, Region, Role
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.hosting.gateway import Gateway
from linenbridge.distribution.view.results import ApplyResult
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.values import Value, ValueChecks
from linenbridge.distribution.view.view import View
from linenbridge.peering import connections
from linenbridge.interface import InstanceState, Idempotency, Method
from linenbridge.logging.structured import structured_log
from linenbridge.logging.event_log import Log
from linenbridge.process import lifecycle
from linenbridge.routes.table import Request
from tests.scale.records import Answered, Final, Recorder, Seen, Serving, Started, Usage, now

METHODS = (Method("look", Idempotency.IDEMPOTENT, "all", 0, 1_000_000, 1.0),)
COMPILED_ROUTES = 1 << 20  # bytes; hollow gateways compile only the routes of a few requests
LONGEST = 30_000_000  # microseconds; the longest deadline
REQUESTS_EVERY = 0.2  # seconds between two requests of a process
REQUEST_TAKES = 0.05  # seconds from the first look-up of a request to its last
FLUSH_EVERY = 0.5  # seconds between two flushes of the records
KNOWN_VALUES = 8_192  # checked values that a process remembers


class Address(Struct, frozen=True):
    """The host and the port of a process."""

    host: str
    port: int


class HollowSpec(Struct, frozen=True):
    """The gateways of one process; `stores` are the names of those that have a store in `folder`.

    `rate` is in bytes a second; `batch_delay`, `heartbeat` and `silence` are microseconds.
    """

    process: str
    region: str
    gateways: list[str]
    stores: list[str]
    folder: str
    relays: dict[str, dict[str, Address]]  # by region and name
    seed: int
    rate: int
    batch_delay: int
    heartbeat: int
    silence: int


class Command(Struct, frozen=True):
    """A command to the process.

    `action` is one of: `restart` (the named gateways, with their stores retained or emptied), `where` (report
    the sequences), `final` (report and record them), `usage` and `stop`.
    """

    action: str
    gateways: list[str] = field(default_factory=list)
    store_retained: bool = True


class Answer(Struct, frozen=True):
    """The answer to a command.

    `lowest` and `highest` are sequences by region over all gateways of the process; `following` is the number
    of gateways that follow a relay.
    """

    action: str
    following: int = 0
    lowest: dict[str, int] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    counters: dict[str, int] = field(default_factory=dict)


def value_digest(value: bytes) -> str:
    """Return the digest that the records have in place of a value; empty for a deleted key."""
    return blake2b(value, digest_size=8).hexdigest() if value else ""


class SharedChecks(ValueChecks):
    """The checks that all gateways of the process share, so that each value is read once."""

    def __init__(self) -> None:
        super().__init__(METHODS, LONGEST)
        self.known: OrderedDict[tuple[int, str, bytes], Value] = OrderedDict()

    def read_in_steps(self, kind: int, name: str, value: bytes) -> Generator[None, None, Value]:
        known = self.known.get((kind, name, value))
        if known is None:
            known = yield from super().read_in_steps(kind, name, value)
            self.known[kind, name, value] = known
            if len(self.known) > KNOWN_VALUES:
                self.known.popitem(last=False)
        return known


class RecordingView(View):
    """A view that records the version of each changed key, read from its tables after the change."""

    gateway: str
    recorder: Recorder

    def apply(self, batch: Apply) -> ApplyResult:
        applied = super().apply(batch)
        self._record(batch.region, batch.changes)
        return applied

    def replace(self, content: ReplaceRange) -> ApplyResult:
        applied = super().replace(content)
        self._record(content.region, content.changes)
        return applied

    def _record(self, region: str, changes: Iterable[Change]) -> None:
        at = now()
        for change in changes:
            digest = self.tables[change.kind].digest(self.regions.get(region), change.name)
            if digest == digest_of(change):
                self.recorder.write(
                    Seen(
                        at,
                        self.gateway,
                        region,
                        change.epoch,
                        change.sequence,
                        change.kind,
                        change.name,
                        value_digest(change.value),
                    )
                )
        for table in self.tables.values():
            table.commit()


class Hollow:
    """All gateways of one process, with the commands and the requests that they get."""

    def __init__(self, spec: HollowSpec, recorder: Recorder, log: Log, reactor: Any) -> None:
        self.spec = spec
        self.recorder = recorder
        self.log = log
        self.reactor = reactor
        self.random = Random(f"{spec.process} {spec.seed}")
        self.gateways: dict[str, Gateway] = {}
        self.checks = SharedChecks()
        self.meter = Meter(spec, recorder)
        for gateway in spec.gateways:
            self.start(gateway, store_retained=True)
        self.reactor.callLater(REQUESTS_EVERY, self._request)
        self.reactor.callLater(FLUSH_EVERY, self._flush)

    def settings(self, gateway: str) -> DistributionSettings:
        """Return the distribution settings of one gateway."""
        spec = self.spec
        regions = {
            region: Region({name: (at.host, at.port) for name, at in relays.items()}, {})
            for region, relays in spec.relays.items()
        }
        store = str(Path(spec.folder) / f"{gateway}.db") if gateway in spec.stores else ""
        return DistributionSettings(
            role=Role.GATEWAY,
            name=gateway,
            region=spec.region,
            listen=None,
            store=store,
            trusted=False,
            platform="",
            rate=spec.rate,
            rate_between_regions=0,
            compiled_routes=COMPILED_ROUTES,
            gather=spec.batch_delay,
            heartbeat=spec.heartbeat,
            silence=spec.silence,
            followers=1,
            authors=1,
            regions=regions,
        )

    def start(self, gateway: str, store_retained: bool) -> None:
        """Start an incarnation of a gateway, from its store if `store_retained`."""
        settings = self.settings(gateway)
        if not store_retained:
            for file in Path(self.spec.folder).glob(f"{gateway}.db*"):
                file.unlink()
        self.recorder.write(Started(now(), gateway, store_retained))
        view, store = self._view(settings)
        view.gateway = gateway
        view.recorder = self.recorder
        view.validator.checks = self.checks
        positions = {position.region: position.sequence for position in view.positions()}
        self.recorder.write(Serving(now(), gateway, positions))
        random = Random(f"{gateway} {self.spec.seed}")
        self.gateways[gateway] = Gateway(settings, self.reactor, self.log, view, random, store)

    def _view(self, settings: DistributionSettings) -> tuple[RecordingView, ViewStore | None]:
        if not settings.store:
            return RecordingView(METHODS, LONGEST), None
        store = ViewStore(settings.store, fingerprint(method.name for method in METHODS), self.log.event)
        return restored(store, lambda: RecordingView(METHODS, LONGEST)), store

    # ---- commands ------------------------------------------------------------------------------------------

    def restart(self, names: list[str], store_retained: bool, done: Any) -> None:
        """Close all named gateways of this process, then start them again and call `done`."""
        mine = [name for name in names if name in self.gateways]
        if not mine:
            done()
            return
        left = Counter(mine)

        def closed(name: str) -> None:
            del left[name]
            if not left:
                for again in mine:
                    self.start(again, store_retained)
                done()

        for name in mine:
            self.gateways.pop(name).close(lambda name=name: closed(name))

    def where(self, action: str) -> Answer:
        """Return the sequences and counters of the gateways as the answer to `action`."""
        lowest = dict[str, int]()
        highest = dict[str, int]()
        for gateway in self.gateways.values():
            positions = {position.region: position.sequence for position in gateway.view.positions()}
            for region in self.spec.relays:
                sequence = positions.get(region, 0)
                lowest[region] = min(sequence, lowest.get(region, sequence))
                highest[region] = max(sequence, highest.get(region, sequence))
        following = sum(gateway.follower.following for gateway in self.gateways.values())
        counters = sum((Counter(gateway.facts()) for gateway in self.gateways.values()), Counter())
        return Answer(action, following, lowest, highest, dict(counters))

    def final(self) -> Answer:
        """Record the version and the digest of each gateway's tables, and answer as `where` does."""
        for name, gateway in self.gateways.items():
            for position in gateway.view.positions():
                digest = gateway.view.digest(position.region)
                self.recorder.write(
                    Final(now(), name, position.region, position.epoch, position.sequence, f"{digest}")
                )
        self.recorder.flush()
        return self.where("final")

    def _flush(self) -> None:
        self.recorder.flush()
        self.reactor.callLater(FLUSH_EVERY, self._flush)

    # ---- requests ------------------------------------------------------------------------------------------

    def _request(self) -> None:
        """Begin a request at a random gateway.

        The request keeps the set of routes that it found. It looks up one route of the set now, and all of
        them at its end.
        """
        self.reactor.callLater(REQUESTS_EVERY, self._request)
        if not self.gateways:
            return
        name = self.random.choice(list(self.gateways))
        view = self.gateways[name].view
        authorities = list(view.route_table.authorities())
        if not authorities:
            return
        authority = self.random.choice(sorted(authorities))
        table = view.routes(authority)
        marks = [_mark(table, authority, 0)]
        self.reactor.callLater(REQUEST_TAKES, self._end_request, name, authority, table, marks)
        self._zones(name, view, authority)

    def _end_request(self, name: str, authority: str, table: Any, marks: list[str]) -> None:
        marks += [_mark(table, authority, number) for number in range(len(table.rules))]
        self.recorder.write(Answered(now(), name, authority, marks))

    def _zones(self, name: str, view: View, service: str) -> None:
        """Record the instance states of each lost zone: all of them have to be removed together."""
        for zone in {entry.zone for entry in view.instances(service)}:
            if view.zone_table.lost(zone):
                states = [entry.state for entry in view.instances(service) if entry.zone == zone]
                marks = ["gone" if state == InstanceState.REMOVED else "there" for state in states]
                self.recorder.write(Answered(now(), name, f"{service} {zone}", [*marks, "gone"]))


def _mark(table: Any, authority: str, number: int) -> str:
    found = table.find(Request(authority, f"/{number}"))
    return "none" if found is None else found.tenant


class Meter:
    """Reads the processor time and the bytes on links since the last reading, and the resident memory."""

    def __init__(self, spec: HollowSpec, recorder: Recorder) -> None:
        self.spec = spec
        self.recorder = recorder
        self.received = self.sent = 0
        self.since = now()
        self.used = _processor_seconds()
        self._count_links()

    def _count_links(self) -> None:
        """Count the bytes that all links of the process read and write."""
        read = connections.PeerConnection.dataReceived
        write = connections.SendBuffer.write

        def counted_read(link: connections.PeerConnection, data: bytes) -> None:
            self.received += len(data)
            read(link, data)

        def counted_write(buffer: connections.SendBuffer, data: bytes) -> None:
            self.sent += len(data)
            write(buffer, data)

        connections.PeerConnection.dataReceived = counted_read
        connections.SendBuffer.write = counted_write

    def read(self) -> None:
        """Record the resources that the process used since the last reading."""
        at = now()
        used = _processor_seconds()
        self.recorder.write(
            Usage(
                at,
                self.spec.process,
                "gateways",
                len(self.spec.gateways),
                (at - self.since) / 1e6,
                used - self.used,
                self.received,
                self.sent,
                resident_bytes(os.getpid()),
            )
        )
        self.since = at
        self.used = used
        self.received = 0
        self.sent = 0


def _processor_seconds() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def resident_bytes(process: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * resource.getpagesize()


class Commands(LineOnlyReceiver):
    """Reads commands from standard input and writes their answers to standard output."""

    delimiter = b"\n"

    def __init__(self, hollow: Hollow) -> None:
        self.hollow = hollow

    def lineReceived(self, line: bytes) -> None:  # noqa: N802  (name of a Twisted callback)
        command = msgspec.json.decode(line, type=Command)
        match command.action:
            case "restart":
                self.hollow.restart(
                    command.gateways, command.store_retained, lambda: self.send(Answer("restart"))
                )
            case "where":
                self.send(self.hollow.where("where"))
            case "final":
                self.send(self.hollow.final())
            case "usage":
                self.hollow.meter.read()
                self.hollow.recorder.flush()
                self.send(Answer("usage"))
            case "stop":
                self.hollow.recorder.close()
                self.send(Answer("stop"))
                self.hollow.reactor.callLater(0.05, self.hollow.reactor.stop)

    def send(self, answer: Answer) -> None:
        """Write an answer as one line."""
        self.sendLine(msgspec.json.encode(answer))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Stop the process when the test has ended."""
        if self.hollow.reactor.running:
            self.hollow.reactor.stop()


def main() -> int:
    """Run the process and return its exit code."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HollowSpec)
    log = structured_log(sys.stderr.buffer, "warning", process=spec.process)
    reactor = lifecycle.begin(log)
    hollow = Hollow(spec, Recorder(Path(sys.argv[2])), log, reactor)
    StandardIO(Commands(hollow))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
