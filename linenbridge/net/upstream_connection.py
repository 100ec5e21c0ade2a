"""Upstream connections: one instance's pool, its connections, and the attempts that wait for one.

Owns the state of one connection. It decides nothing: a connection reports what it receives to its owner.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from twisted.internet import protocol

from linenbridge.interface import EndpointEntry
from linenbridge.net import resp
from linenbridge.net.decision_loop import ActiveRequest


class Attempt:
    """One attempt: waiting for a connection, in flight on one, or ended. Times are microseconds."""

    __slots__ = ("connection", "ended", "number", "pool", "request", "sent_at", "times_out_at")

    def __init__(
        self, request: ActiveRequest, number: int, pool: ConnectionPool, sent_at: int, times_out_at: int
    ) -> None:
        self.request = request
        self.number = number
        self.pool = pool
        self.sent_at = sent_at
        self.times_out_at = times_out_at
        self.connection: Connection | None = None
        self.ended = False


class ConnectionPool:
    """One listed instance: its address, its idle connections, and the attempts that wait for one."""

    def __init__(self, entry: EndpointEntry, address: tuple[str, int]) -> None:
        self.entry = entry
        self.address = address
        self.idle: deque[Connection] = deque()
        self.waiting: deque[Attempt] = deque()
        self.connecting = 0
        self.timer: Any = None  # when the first idle connection has rested, while an attempt waits for that

    def process_identity(self) -> tuple[tuple[str, int], int, int]:
        """Return what tells the instance's process from another one under its id."""
        return self.address, self.entry.started_at, self.entry.build


class ConnectionOwner(Protocol):
    """Takes what a connection reports."""

    def on_response(self, connection: Connection, attempt: Attempt, message: resp.Value) -> None:
        """End an attempt by its response; MalformedError where it is none."""

    def on_malformed(self, connection: Connection, error: resp.MalformedError) -> None:
        """Close a connection that can't be read any further."""

    def release(self, connection: Connection) -> None:
        """Take back a connection without an attempt in flight."""

    def on_lost(self, connection: Connection) -> None:
        """Take in that a connection has closed."""


class Connection(protocol.Protocol):
    """One connection to an instance; it has one attempt at a time, as responses come in order."""

    transport: Any  # ITCPTransport, whose methods mypy can't read

    def __init__(self, owner: ConnectionOwner, pool: ConnectionPool) -> None:
        self.owner = owner
        self.pool = pool
        self.reader = resp.Reader(commands=False)
        self.process_identity = pool.process_identity()
        self.attempt: Attempt | None = None
        self.idle_since = 0
        self.is_lost = False
        self.is_used = False

    def connectionMade(self) -> None:
        """Send without delay."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Take the response of the attempt in flight.

        More than the response costs the connection, not the response; the connection is released only once
        all that was read is known to be the response.
        """
        try:
            for message in self.reader.feed(data):
                if self.attempt is None:
                    raise resp.MalformedError("more than the response")
                self.owner.on_response(self, self.attempt, message)
            if self.attempt is None and self.reader.size:
                raise resp.MalformedError("more than the response")
        except resp.MalformedError as error:
            self.owner.on_malformed(self, error)
            return
        if self.attempt is None:
            self.owner.release(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002  # Twisted's signature
        """Report the end."""
        self.owner.on_lost(self)
