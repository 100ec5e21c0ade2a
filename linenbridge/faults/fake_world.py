"""A fake deployment: nodes that serve, fail, drain and crash, a discovery and a platform.

The servers are written from the published protocol and simulated; they are no measurements of real ones. A
node's service time and failures are drawn from the seed and the request's id, so that the same request gets
the same service time and outcome at the same build, over any transport. The servers listen on loopback only,
accept any client and hold no knowledge of a gateway.
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
ACTIVE, DRAINING, DEAD = "active", "leaving", "left"


@dataclass(frozen=True, slots=True)
class FakeMethod:
    """A method of the nodes: its mean service time, its deadlines in seconds, and its utility."""

    name: str
    mean_seconds: float
    idempotent: bool
    soft_deadline: float
    deadline: float
    utility: float


@dataclass
class Execution:
    """One execution of a request at a node; `began` is in seconds."""

    request: str
    method: str
    node: str
    build: int
    began: float


class Node:
    """One fake instance with cores, a queue and a build; the world sets its failure rate and slowdown."""

    def __init__(self, world: World, name: str, build: int, cores: int) -> None:
        self.world, self.name, self.build, self.cores = world, name, build, cores
        self.state, self.busy, self.started = ACTIVE, 0, world.clock()
        self.queue: deque[tuple] = deque()
        self.draining_since: float | None = None
        self.port: Any = None
        self.connections: set[NodeConnection] = set()

    @property
    def address(self) -> str:
        """The node's host and port."""
        return f"{LOOPBACK}:{self.port.getHost().port}"

    def serve(self, request: str, method: str, done: Callable[[str], None]) -> None:
        """Queue a request, and call `done` with `ok`, `error`, `full` or `unreached`.

        `full` and `unreached` mean that the request was not executed. If the node crashes, `done` is not
        called for the requests that it held.
        """
        world = self.world
        if self.state == DEAD:
            world.reactor.callLater(0.001, done, "unreached")
            return
        if self.draining_since is not None and world.clock() > self.draining_since + world.grace:
            world.sent_after_drain.append((request, self.name, world.clock() - self.draining_since))
        if len(self.queue) >= world.max_queue:
            world.reactor.callLater(0.0005, done, "full")
            return
        self.queue.append((request, method, done))
        self._next()

    def _next(self) -> None:
        while self.queue and self.busy < self.cores and self.state != DEAD:
            request, method, done = self.queue.popleft()
            world = self.world
            generator = Random(f"{world.seed}/{request}/{self.build}")
            world.executions.append(Execution(request, method, self.name, self.build, world.clock()))
            service_time = generator.gammavariate(
                4.0, world.methods[method].mean_seconds / 4.0
            ) * world.slow.get(self.build, 1.0)
            fails = generator.random() < world.fails.get((self.build, method), 0.0)
            self.busy += 1
            world.reactor.callLater(service_time, self._ended, done, "error" if fails else "ok", self.started)

    def _ended(self, done: Callable[[str], None], outcome: str, incarnation: float) -> None:
        if incarnation != self.started or self.state == DEAD:
            return  # the node has crashed since; a dead node sends no response
        self.busy -= 1
        done(outcome)
        self._next()

    def crash(self) -> None:
        """Drop the queue and the connections, and publish the node as gone."""
        self.state, self.busy, self.started = DEAD, 0, self.world.clock()
        self.queue.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self.world.publish_endpoint(self)


class NodeConnection(Protocol):
    """The RESP2 server of a node, to which a gateway connects."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.reader = resp.Reader(commands=True)

    def connectionMade(self) -> None:
        """Register the connection, or abort it if the node is dead."""
        self.node.connections.add(self)
        self.transport.setTcpNoDelay(True)
        if self.node.state == DEAD:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: ARG002  # Twisted's signature
        """Remove the connection from the node."""
        self.node.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Serve each command."""
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
    """A minimal HTTP/1.1 server: a chunked stream of lines that stays open, or one response to a vote."""

    def __init__(self, world: World, path: bytes) -> None:
        self.world, self.stream_name, self.buffer, self.heartbeats = world, path, b"", None

    def dataReceived(self, data: bytes) -> None:
        """Answer a POST as a vote, and any other request with the stream."""
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
        streams = self.world.streams[self.stream_name]
        streams.add(self)
        first = (
            self.world.endpoint_list(True) if self.stream_name == b"list" else self.world.rollout_message()
        )
        self.send_line(json.dumps(first).encode())
        heartbeat, interval = (b"", 2.0) if self.stream_name == b"list" else (b"{}", 1.0)
        self.heartbeats = LoopingCall(self.send_line, heartbeat)
        self.heartbeats.clock = self.world.reactor
        self.heartbeats.start(interval, now=False)

    def send_line(self, text: bytes) -> None:
        """Send one chunk with a line, unless the world is silent."""
        if not self.world.silent:
            self.transport.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))

    def connectionLost(self, reason: Any) -> None:  # noqa: ARG002  # Twisted's signature
        """Stop the heartbeats and leave the stream."""
        self.world.streams[self.stream_name].discard(self)
        if self.heartbeats is not None and self.heartbeats.running:
            self.heartbeats.stop()


@dataclass
class RolloutStatus:
    """The state of the newest build's rollout."""

    version: int = 1
    step: int = 0
    status: str = "live"
    cap: float = 1.0


@dataclass
class World:
    """One fake deployment; its lists record what happened. Times are in seconds."""

    reactor: Any
    seed: int
    methods: dict[str, FakeMethod]
    clock: Callable[[], float]
    grace: float = 0.5
    max_queue: int = 200
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
        """Start nodes by name and build, the discovery and the platform, each on a free port."""
        for name, build in names:
            self.add_node(name, build, cores)
        for path, attribute in ((b"list", "discovery"), (b"feed", "platform")):
            factory = Factory()
            factory.noisy = False
            factory.buildProtocol = lambda _addr, path=path: Web(self, path)
            port = self.reactor.listenTCP(0, factory, interface=LOOPBACK)
            self.ports.append(port)
            setattr(self, attribute, f"{LOOPBACK}:{port.getHost().port}")

    def add_node(self, name: str, build: int, cores: int) -> Node:
        """Start a node, and publish it if the discovery is running."""
        node = self.nodes[name] = Node(self, name, build, cores)
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _addr: NodeConnection(node)
        node.port = self.reactor.listenTCP(0, factory, interface=LOOPBACK)
        self.ports.append(node.port)
        self.by_address[node.address] = node
        if self.index > 1 or self.discovery:
            self.publish_endpoint(node)
        return node

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for port in self.ports:
            port.stopListening()
        for streams in self.streams.values():
            for web in list(streams):
                web.transport.abortConnection()
        for node in self.nodes.values():
            for connection in list(node.connections):
                connection.transport.abortConnection()

    # ---- discovery and platform ------------------------------------------------------------------

    def endpoint_list(self, snapshot: bool, nodes: list[Node] | None = None) -> dict:
        """Return the message of the discovery for some nodes, by default for all."""
        rows = [
            {
                "name": node.name,
                "address": node.address,
                "status": node.state,
                "release": node.build,
                "zone": "a",
                "since_ms": 0,
            }
            for node in (nodes if nodes is not None else self.nodes.values())
        ]
        return {"index": self.index, "snapshot": snapshot, "endpoints": rows}

    def publish_endpoint(self, node: Node) -> None:
        """Send the state of a node to all clients of the discovery."""
        self.index += 1
        if node.state != ACTIVE and node.draining_since is None:
            node.draining_since = self.clock()
        line = json.dumps(self.endpoint_list(False, [node])).encode()
        for web in list(self.streams[b"list"]):
            web.send_line(line)

    def drain(self, name: str) -> None:
        """Start draining a node."""
        self.nodes[name].state = DRAINING
        self.publish_endpoint(self.nodes[name])

    def rollout_message(self) -> dict:
        """Return the message of the platform's feed."""
        return {"type": "stage", "object": self.rollout_state()}

    def rollout_state(self) -> dict:
        """Return the rollout's state as the platform writes it."""
        rollout = self.rollout
        return {
            "version": rollout.version,
            "step": rollout.step,
            "status": rollout.status,
            "maxWeight": rollout.cap,
            "observedAgoMs": 0,
        }

    def set_rollout(self, rollout: RolloutStatus) -> None:
        """Set the rollout's state and send it to all clients of the feed."""
        self.rollout = rollout
        self.rollout_changes.append((self.clock(), rollout.version, rollout.cap, rollout.status))
        line = json.dumps(self.rollout_message()).encode()
        for web in list(self.streams[b"feed"]):
            web.send_line(line)

    def vote(self, cast: dict) -> dict:
        """Record a vote and return the rollout's state."""
        self.votes.append((self.clock(), cast["version"], cast["step"], cast["vote"]))
        return self.rollout_state()
