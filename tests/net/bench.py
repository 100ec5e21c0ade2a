"""The gateway's network layer with in-memory transports and Twisted's simulated clock, driven step by step.

Provides the in-memory transport and a harness of the gateway's parts. What is asserted is up to each test.
"""

from __future__ import annotations

import io
import json
from functools import partial

from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from linenbridge.policy import DecisionModule
from linenbridge.policy.command_admission import CommandAdmission
from linenbridge.policy.connection_admission import ConnectionAdmission, stop_time
from linenbridge.net import resp
from linenbridge.net.downstream import Clients
from linenbridge.net.discovery import Discovery
from linenbridge.net.watch_stream import WatchStream
from linenbridge.net.descriptors import Descriptors
from linenbridge.net.start_times import StartTimes
from linenbridge.net.upstream import Instances
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.net.platform import Platform
from tests.helpers import startup

MAX_TTL = 900_000  # microseconds
METHODS = {method.name: method for method in startup().methods}

STAGE = {"version": 2, "step": 0, "status": "testing", "maxWeight": 0.2, "observedAgoMs": 5}

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(message: dict) -> bytes:
    data = json.dumps(message).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(data), data)


class MemoryTransport(StringTransport):
    """An in-memory transport that can be written to directly, aborted and lost.

    `unread` holds data that has arrived and has not been read yet, `undelivered_bytes` how much the peer's
    system has not received; `sending_ended` is True once the gateway has ended its sending.
    """

    dataBuffer, _tempDataBuffer, unread, sending_ended = b"", (), b"", False  # noqa: N815
    undelivered_bytes = 0
    keeps_open = False

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        self.write(data)
        return len(data)

    @property
    def socket(self) -> MemoryTransport:
        return self

    def recv(self, size: int, _flags: int) -> bytes:
        if self.connected and not self.unread:
            raise BlockingIOError
        return self.unread[:size]

    def shutdown(self, _how: int) -> None:
        self.sending_ended = True

    def doRead(self) -> None:  # noqa: N802
        unread, self.unread = self.unread, b""
        if unread:
            self.protocol.dataReceived(unread)

    def has_unread(self) -> bool:
        return bool(self.unread) or not self.connected

    def undelivered(self) -> int:
        return self.undelivered_bytes

    def hold_reading(self) -> None:
        self.pauseProducing()

    def release_reading(self) -> None:
        self.resumeProducing()

    def send_last(self, data: bytes) -> None:
        """Send the last data; the peer closes at once when it receives the end, unless `keeps_open`."""
        self.write(data)
        self.sending_ended = True
        if not self.keeps_open:
            self.lose()

    def has_peer_closed(self) -> bool:
        return not self.connected

    def close(self) -> None:
        self.lose()

    def setTcpNoDelay(self, enabled: bool) -> None: ...  # noqa: N802

    def abortConnection(self) -> None:  # noqa: N802
        self.lose()

    def loseConnection(self) -> None:  # noqa: N802
        self.lose()

    def stopReading(self) -> None:  # noqa: N802
        self.pauseProducing()

    def lose(self, reason: Exception | None = None) -> None:
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(reason or ConnectionDone()))

    def take_output(self) -> bytes:
        data = self.value()
        self.clear()
        return data


class FakeListener:
    """The listener of a harness; `calls` are the times when accepting was paused or resumed."""

    def __init__(self) -> None:
        self.connected = True
        self.calls: list[str] = []

    def accept_queued(self) -> bool:
        return True

    def resume(self) -> None:
        self.calls.append("resume")

    def close(self) -> None:
        self.connected = False


class ScriptedModule:
    """A fake decision module that records its inputs and returns the decisions that the test has queued."""

    def __init__(self) -> None:
        self.inputs: list[tuple] = []
        self.queued_decisions: list[tuple] = []

    def __getattr__(self, name: str):
        return lambda now, *args, **kwargs: self.inputs.append((name, *args, *kwargs.values()))

    def next_decision(self, _now: int) -> tuple | None:
        return self.queued_decisions.pop(0) if self.queued_decisions else None

    def wake_at(self) -> None:
        return None


class GatewayHarness:
    """The parts of one gateway around a decision module, by default a scripted one."""

    def __init__(self, descriptors: int = 50, module: DecisionModule | None = None, pool: int = 99) -> None:
        self.reactor, self.module = MemoryReactorClock(), module or ScriptedModule()
        self.log_output = io.BytesIO()
        self.log = Log(self.log_output)
        self.now = lambda: int(self.reactor.seconds() * 1e6)
        self.loop = DecisionLoop(self.module, self.reactor, self.now, self.log)
        self.instances = Instances(self.loop, self.reactor, descriptors, 200_000, 8_000_000, self.log)
        self.clients = Clients(
            self.loop,
            self.reactor,
            self.instances,
            METHODS,
            MAX_TTL,
            stop_time(MAX_TTL),
            100_000,
            Descriptors(descriptors),
            ConnectionAdmission(descriptors, pool),
            CommandAdmission(),
            self.log,
        )
        address = ("10.0.0.9", 80)
        open_watch = partial(WatchStream, reactor=self.reactor, address=address, log=self.log)
        self.discovery = Discovery(
            self.loop, (self.instances,), self.start_times(), True, open_watch, 200_000, 9999
        )
        self.platform = Platform(
            self.loop, self.reactor, address, METHODS, 200_000, 1_000_000, 9999, self.log, open_watch
        )
        self.loop.platform, self.loop.discovery = self.platform, self.discovery
        self.listener = self.clients.port = FakeListener()
        self.dial_count = 0

    def start_times(self) -> StartTimes:
        """Return a converter whose wall clock is 1 ms behind its other clock, and has long been running."""
        return StartTimes(lambda: self.now() + 10**9, lambda: self.now() + 10**9 - 1_000)

    def advance(self, seconds: float = 0.0) -> None:
        self.reactor.advance(seconds)
        self.reactor.advance(0)
        self.reactor.advance(0)

    def connect_client(self) -> MemoryTransport:
        """Connect a client, for which there has to be room."""
        assert self.clients.has_room()
        protocol = self.clients.buildProtocol(None)
        transport = MemoryTransport()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        return transport

    def send_request(
        self,
        client: MemoryTransport,
        rpc_id: str,
        method: str = "look",
        fields: str = "t=a,r=1",
        command_name: bytes = b"SVC.QUERY",
    ):
        client.protocol.dataReceived(
            resp.command([command_name, b"key", rpc_id.encode(), f"c={method},{fields},d=900".encode()])
        )
        self.advance()

    def update_endpoints(self, *rows: tuple, is_full_list: bool = True) -> None:
        entries = [
            dict(name=name, address=f"10.0.0.{n}:6379", status=status, release=1, since_ms=since, zone="a")
            for name, n, status, since in rows
        ]
        self.discovery.on_message(
            memoryview(json.dumps(dict(index=7, snapshot=is_full_list, endpoints=entries)).encode())
        )
        self.advance()

    def decide(self, *decisions: tuple) -> None:
        self.module.queued_decisions += decisions
        self.loop.turn()

    def next_connection_factory(self) -> tuple:
        """Return the factory of the next connection that the gateway has requested."""
        _host, _port, factory, _, _ = self.reactor.tcpClients[self.dial_count]
        self.dial_count += 1
        return factory

    def connect_next(self) -> MemoryTransport:
        """Establish the next connection that the gateway has requested, and return its transport."""
        transport = MemoryTransport()
        transport.protocol = self.next_connection_factory().buildProtocol(None)
        transport.protocol.makeConnection(transport)
        self.advance()
        return transport

    def outcomes(self) -> list[tuple]:
        return [call[1:4] for call in self.module.inputs if call[0] == "on_attempt_finished"]


MALFORMED_REPLIES = [
    b"\x9d\x03k\r\n",
    b"*3\r\n$1\r\nv\r\n$-1\r\n+x\r\n",
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    b"*2\r\n$1\r\nv\r\n$-1\r\n",
    b"*3\r\n$3000000000\r\nvv",
    b"*3\r\n$2\r\nv\r\n$-1\r\n$-1\r\n",
    b"-BUSYBODY\r\n",
    b"-ERR\xfffailed\r\n",
    b"-" + b"x" * 70_000,
]
