"""A fake RESP2 client: sends each request of the day once and records its one response."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.faults.fake_proxy import PlannedRequest, RequestRecord
from linenbridge.faults.fake_world import LOOPBACK, FakeMethod, World
from linenbridge.net import resp


class ClientConnection(Protocol):
    """One connection to a gateway, with one request at a time."""

    def __init__(self, client: Client) -> None:
        self.client, self.reader, self.record = client, resp.Reader(commands=False), None

    def connectionMade(self) -> None:
        """Offer the new connection to the client."""
        self.transport.setTcpNoDelay(True)
        self.client.on_idle(self)

    def start_request(self, record: RequestRecord, method: FakeMethod) -> None:
        """Send the request of a record."""
        self.record = record
        name = b"SVC.QUERY" if method.idempotent else b"SVC.SUBMIT"
        fields = b"c=%b,t=t1,d=%d" % (method.name.encode(), int(method.deadline * 1000))
        request = record.planned.id.encode()
        self.transport.write(resp.command([name, request, request, fields]))

    def dataReceived(self, data: bytes) -> None:
        """Record the response of the open request."""
        for message in self.reader.feed(data):
            record, self.record = self.record, None
            if record is None:
                continue
            served = isinstance(message, memoryview)
            text = "" if served else getattr(message, "text", b"").decode()
            outcome = "ok" if served else "pushed back" if text.startswith("BUSY") else "aborted"
            if served and bytes(message).decode() != record.planned.id:
                outcome = "another's value"
            record.final_responses.append((self.client.world.clock(), outcome))
            self.client.on_idle(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: ARG002  # Twisted's signature
        """Report the loss to the client."""
        self.client.on_lost(self)


class Client:
    """A fake client with as many connections as it has open requests."""

    def __init__(self, world: World, port: int) -> None:
        self.world, self.port = world, port
        self.idle: deque[ClientConnection] = deque()
        self.connections: set[ClientConnection] = set()
        self.waiting: deque[RequestRecord] = deque()
        self.records: list[RequestRecord] = []
        self.closed = False

    def start_request(self, request: PlannedRequest, _intended: float) -> RequestRecord:
        """Send a request over an idle connection or a new one, and return its record."""
        record = RequestRecord(request)
        self.records.append(record)
        self.waiting.append(record)
        if self.idle:
            self.on_idle(self.idle.popleft())
        else:
            attempt_to_connect = ClientCreator(self.world.reactor, ClientConnection, self).connectTCP(
                LOOPBACK, self.port, timeout=1.0
            )
            attempt_to_connect.addErrback(lambda _failure: None)
        return record

    def on_idle(self, connection: ClientConnection) -> None:
        """Send the next waiting request over a connection, or keep the connection as idle."""
        self.connections.add(connection)
        if self.waiting:
            record = self.waiting.popleft()
            connection.start_request(record, self.world.methods[record.planned.method])
        else:
            self.idle.append(connection)

    def on_lost(self, connection: ClientConnection) -> None:
        """Remove a connection; its open request ends as lost."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if connection.record is not None:
            connection.record.final_responses.append((self.world.clock(), "lost"))

    def close(self) -> None:
        """Abort all connections."""
        self.closed = True
        for connection in list(self.connections):
            connection.transport.abortConnection()
