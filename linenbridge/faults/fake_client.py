"""A stand-in client by RESP2: sends each request of the day once and keeps its one answer."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.faults.fake_proxy import Ask, Told
from linenbridge.faults.fake_world import LOOPBACK, Kind, World
from linenbridge.net import resp


class Line(Protocol):
    """One connection, one request at a time."""

    def __init__(self, client: Client) -> None:
        self.client, self.reader, self.told = client, resp.Reader(commands=False), None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.client.free(self)

    def ask(self, told: Told, kind: Kind) -> None:
        self.told = told
        name = b"SVC.QUERY" if kind.idempotent else b"SVC.SUBMIT"
        fields = b"c=%b,t=t1,d=%d" % (kind.name.encode(), int(kind.deadline * 1000))
        request = told.ask.id.encode()
        self.transport.write(resp.command([name, request, request, fields]))

    def dataReceived(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            told, self.told = self.told, None
            if told is None:
                continue
            served = isinstance(message, memoryview)
            text = "" if served else getattr(message, "text", b"").decode()
            outcome = "ok" if served else "pushed back" if text.startswith("BUSY") else "aborted"
            if served and bytes(message).decode() != told.ask.id:
                outcome = "another's value"
            told.finals.append((self.client.world.clock(), outcome))
            self.client.free(self)

    def connectionLost(self, reason: Any) -> None:
        self.client.lost(self)


class Client:
    """As many connections as there are requests open."""

    def __init__(self, world: World, port: int) -> None:
        self.world, self.port = world, port
        self.idle: deque[Line] = deque()
        self.lines: set[Line] = set()
        self.waiting: deque[Told] = deque()
        self.told: list[Told] = []
        self.closed = False

    def ask(self, ask: Ask, intended: float) -> Told:
        told = Told(ask)
        self.told.append(told)
        self.waiting.append(told)
        if self.idle:
            self.free(self.idle.popleft())
        else:
            made = ClientCreator(self.world.reactor, Line, self).connectTCP(LOOPBACK, self.port, timeout=1.0)
            made.addErrback(lambda failure: None)
        return told

    def free(self, line: Line) -> None:
        self.lines.add(line)
        if self.waiting:
            told = self.waiting.popleft()
            line.ask(told, self.world.kinds[told.ask.method])
        else:
            self.idle.append(line)

    def lost(self, line: Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        if line.told is not None:
            line.told.finals.append((self.world.clock(), "lost"))

    def close(self) -> None:
        self.closed = True
        for line in list(self.lines):
            line.transport.abortConnection()
