"""Stand-ins for a deployment: nodes that serve, fail, drain and die, a discovery and a platform.

Written from the published protocol pages; simulated servers, not measurements of real ones. A node's service
time and failures are drawn from the seed and the request's id, so that the same request meets the same node
alike, whichever way it comes. It must never know a gateway: it answers whoever connects, on loopback alone.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

from linenbridge.net import resp

LOOPBACK = "127.0.0.1"
UP, DRAINING, DEAD = "active", "leaving", "left"


@dataclass(frozen=True, slots=True)
class FakeMethod:
    """A method as nodes know it: its mean service time in seconds."""

    name: str
    mean: float
    idempotent: bool
    soft: float
    deadline: float
    utility: float


@dataclass
class Execution:
    """One execution at a node."""

    request: str
    method: str
    node: str
    build: int
    began: float


class Node:
    """One server: cores, a queue, a build; `fails` and `slow` by build are the world's."""

    def __init__(self, world: World, name: str, build: int, cores: int) -> None:
        self.world, self.name, self.build, self.cores = world, name, build, cores
        self.state, self.busy, self.started = UP, 0, world.clock()
        self.queue: deque[tuple] = deque()
        self.draining_since: float | None = None
        self.port: Any = None
        self.lines: set[NodeLine] = set()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port.getHost().port}"

    def serve(self, request: str, method: str, done: Callable[[str], None]) -> None:
        """Ends with `ok`, `error`, `full` (never ran) or `unreached` (never ran); with nothing once dead."""
        world = self.world
        if self.state == DEAD:
            world.reactor.callLater(0.001, done, "unreached")
            return
        if self.draining_since is not None and world.clock() > self.draining_since + world.grace:
            world.sent_after_drain.append((request, self.name, world.clock() - self.draining_since))
        if len(self.queue) >= world.queue_most:
            world.reactor.callLater(0.0005, done, "full")
            return
        self.queue.append((request, method, done))
        self._next()

    def _next(self) -> None:
        while self.queue and self.busy < self.cores and self.state != DEAD:
            request, method, done = self.queue.popleft()
            world = self.world
            chance = Random(f"{world.seed}/{request}/{self.build}")
            world.executions.append(Execution(request, method, self.name, self.build, world.clock()))
            took = chance.gammavariate(4.0, world.methods[method].mean / 4.0) * world.slow.get(
                self.build, 1.0
            )
            fails = chance.random() < world.fails.get((self.build, method), 0.0)
            self.busy += 1
            world.reactor.callLater(took, self._ended, done, "error" if fails else "ok", self.started)

    def _ended(self, done: Callable[[str], None], outcome: str, life: float) -> None:
        if life != self.started or self.state == DEAD:
            return  # It died meanwhile: nothing is said.
        self.busy -= 1
        done(outcome)
        self._next()

    def die(self) -> None:
        self.state, self.busy, self.started = DEAD, 0, self.world.clock()
        self.queue.clear()
        for line in list(self.lines):
            line.transport.abortConnection()
        self.world.changed(self)


class NodeLine(Protocol):
    """RESP2 towards a gateway."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.reader = resp.Reader(commands=True)

    def connectionMade(self) -> None:
        self.node.lines.add(self)
        self.transport.setTcpNoDelay(True)
        if self.node.state == DEAD:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        self.node.lines.discard(self)

    def dataReceived(self, data: bytes) -> None:
        for words in self.reader.feed(data):
            fields = dict(part.split(b"=", 1) for part in bytes(words[3]).split(b","))
            request, method = bytes(words[2]).decode(), fields[b"c"].decode()
            self.node.serve(request, method, lambda outcome, request=request: self._done(request, outcome))

    def _done(self, request: str, outcome: str) -> None:
        if outcome == "ok":
            value, report = request.encode(), b"inflight=%d" % self.node.busy
            self.transport.writeSequence([b"*3\r\n", *resp.bulk(value), b"$-1\r\n", *resp.bulk(report)])
        elif outcome == "unreached":
            self.transport.abortConnection()
        else:
            self.transport.write(b"-BUSY\r\n" if outcome == "full" else b"-ERR failed\r\n")


class Web(Protocol):
    """HTTP/1.1 for one purpose: a stream of lines that stays open, or a vote answered at once."""

    def __init__(self, world: World, path: bytes) -> None:
        self.world, self.stream, self.buffer, self.signs = world, path, b"", None

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        if head.startswith(b"POST"):
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
            length = int(fields.get(b"content-length", b"0"))
            if len(rest) < length:
                return
            answer = json.dumps(self.world.vote(json.loads(rest[:length]))).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
            self.buffer = b""
            return
        self.buffer = b""
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        streams = self.world.streams[self.stream]
        streams.add(self)
        first = self.world.listing(True) if self.stream == b"list" else self.world.rollout_line()
        self.line(json.dumps(first).encode())
        sign, every = (b"", 2.0) if self.stream == b"list" else (b"{}", 1.0)
        self.signs = LoopingCall(self.line, sign)
        self.signs.clock = self.world.reactor
        self.signs.start(every, now=False)

    def line(self, text: bytes) -> None:
        if not self.world.silent:
            self.transport.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def connectionLost(self, reason: Any) -> None:
        self.world.streams[self.stream].discard(self)
        if self.signs is not None and self.signs.running:
            self.signs.stop()


@dataclass
class RolloutStatus:
    """How the newest build stands."""

    version: int = 1
    step: int = 0
    status: str = "live"
    cap: float = 1.0


@dataclass
class World:
    """One deployment of stand-ins; what happened lies in its lists."""

    reactor: Any
    seed: int
    methods: dict[str, FakeMethod]
    clock: Callable[[], float]
    grace: float = 0.5
    queue_most: int = 200
    fails: dict[tuple[int, str], float] = field(default_factory=dict)
    slow: dict[int, float] = field(default_factory=dict)
    nodes: dict[str, Node] = field(default_factory=dict)
    by_address: dict[str, Node] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    sent_after_drain: list[tuple[str, str, float]] = field(default_factory=list)
    votes: list[tuple[float, int, int, str]] = field(default_factory=list)
    rollout: RolloutStatus = field(default_factory=RolloutStatus)
    rollout_changes: list[tuple[float, int, float, str]] = field(default_factory=list)
    silent: bool = False
    index: int = 1
    streams: dict[bytes, set[Web]] = field(default_factory=lambda: {b"list": set(), b"feed": set()})
    ports: list[Any] = field(default_factory=list)
    discovery: str = ""
    platform: str = ""

    def listen(self, names: list[tuple[str, int]], cores: int) -> None:
        """Nodes by name and build, the discovery and the platform, each on a port that the system gives."""
        for name, build in names:
            self.add(name, build, cores)
        for path, attribute in ((b"list", "discovery"), (b"feed", "platform")):
            factory = Factory()
            factory.noisy = False
            factory.buildProtocol = lambda addr, path=path: Web(self, path)
            port = self.reactor.listenTCP(0, factory, interface=LOOPBACK)
            self.ports.append(port)
            setattr(self, attribute, f"{LOOPBACK}:{port.getHost().port}")

    def add(self, name: str, build: int, cores: int) -> Node:
        node = self.nodes[name] = Node(self, name, build, cores)
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: NodeLine(node)
        node.port = self.reactor.listenTCP(0, factory, interface=LOOPBACK)
        self.ports.append(node.port)
        self.by_address[node.address] = node
        if self.index > 1 or self.discovery:
            self.changed(node)
        return node

    def close(self) -> None:
        for port in self.ports:
            port.stopListening()
        for streams in self.streams.values():
            for web in list(streams):
                web.transport.abortConnection()
        for node in self.nodes.values():
            for line in list(node.lines):
                line.transport.abortConnection()

    # ---- discovery and platform ------------------------------------------------------------------

    def listing(self, whole: bool, nodes: list[Node] | None = None) -> dict:
        rows = [
            {"name": node.name, "address": node.address, "status": node.state, "release": node.build,
             "zone": "a", "since_ms": 0}
            for node in (nodes if nodes is not None else self.nodes.values())
        ]  # fmt: skip
        return {"index": self.index, "snapshot": whole, "endpoints": rows}

    def changed(self, node: Node) -> None:
        self.index += 1
        if node.state != UP and node.draining_since is None:
            node.draining_since = self.clock()
        line = json.dumps(self.listing(False, [node])).encode()
        for web in list(self.streams[b"list"]):
            web.line(line)

    def drain(self, name: str) -> None:
        self.nodes[name].state = DRAINING
        self.changed(self.nodes[name])

    def rollout_line(self) -> dict:
        return {"type": "stage", "object": self.state()}

    def state(self) -> dict:
        rollout = self.rollout
        return {"version": rollout.version, "step": rollout.step, "status": rollout.status,
                "maxWeight": rollout.cap,
                "observedAgoMs": 0}  # fmt: skip

    def set_rollout(self, rollout: RolloutStatus) -> None:
        self.rollout = rollout
        self.rollout_changes.append((self.clock(), rollout.version, rollout.cap, rollout.status))
        line = json.dumps(self.rollout_line()).encode()
        for web in list(self.streams[b"feed"]):
            web.line(line)

    def vote(self, cast: dict) -> dict:
        self.votes.append((self.clock(), cast["version"], cast["step"], cast["vote"]))
        return self.state()
