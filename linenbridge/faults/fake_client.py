"""A stand-in client by RESP2: sends each request of the day once and keeps its one answer."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.faults.fake_proxy import PlannedRequest, RequestRecord
from linenbridge.faults.fake_world import LOOPBACK, FakeMethod, World
from linenbridge.net import resp


class Line(Protocol):
    """One connection, one request at a time."""

    def __init__(self, client: Client) -> None:
        self.client, self.reader, self.record = client, resp.Reader(commands=False), None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.client.free(self)

    def start_request(self, record: RequestRecord, method: FakeMethod) -> None:
        self.record = record
        name = b"SVC.QUERY" if method.idempotent else b"SVC.SUBMIT"
        fields = b"c=%b,t=t1,d=%d" % (method.name.encode(), int(method.deadline * 1000))
        request = record.planned.id.encode()
        self.transport.write(resp.command([name, request, request, fields]))

    def dataReceived(self, data: bytes) -> None:
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
            self.client.free(self)

    def connectionLost(self, reason: Any) -> None:
        self.client.lost(self)


class Client:
    """As many connections as there are requests open."""

    def __init__(self, world: World, port: int) -> None:
        self.world, self.port = world, port
        self.idle: deque[Line] = deque()
        self.lines: set[Line] = set()
        self.waiting: deque[RequestRecord] = deque()
        self.records: list[RequestRecord] = []
        self.closed = False

    def start_request(self, request: PlannedRequest, intended: float) -> RequestRecord:
        record = RequestRecord(request)
        self.records.append(record)
        self.waiting.append(record)
        if self.idle:
            self.free(self.idle.popleft())
        else:
            made = ClientCreator(self.world.reactor, Line, self).connectTCP(LOOPBACK, self.port, timeout=1.0)
            made.addErrback(lambda failure: None)
        return record

    def free(self, line: Line) -> None:
        self.lines.add(line)
        if self.waiting:
            record = self.waiting.popleft()
            line.start_request(record, self.world.methods[record.planned.method])
        else:
            self.idle.append(line)

    def lost(self, line: Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        if line.record is not None:
            line.record.final_responses.append((self.world.clock(), "lost"))

    def close(self) -> None:
        self.closed = True
        for line in list(self.lines):
            line.transport.abortConnection()
