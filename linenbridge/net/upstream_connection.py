"""Upstream connections: the connection pool of one instance, its connections, and its attempts.

This module owns the state of each connection. A connection reports what it receives to its owner, which
handles it.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from twisted.internet import protocol

from linenbridge.interface import EndpointEntry
from linenbridge.net import resp
from linenbridge.net.decision_loop import ActiveRequest


class Attempt:
    """One attempt, which waits for a connection, is in flight on one, or has ended.

    `sent_at` is when the attempt was passed to the transport; times are in microseconds.
    """

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
    """One listed instance: its address, its idle connections, and the attempts that wait for a connection."""

    def __init__(self, entry: EndpointEntry, address: tuple[str, int]) -> None:
        self.entry = entry
        self.address = address
        self.idle: deque[Connection] = deque()
        self.waiting: deque[Attempt] = deque()
        self.connecting = 0
        self.timer: Any = None  # for the first reusable connection, while attempts wait

    def process_identity(self) -> tuple[tuple[str, int], int, int]:
        """Return what distinguishes the instance's process from others with the same id."""
        return self.address, self.entry.started_at, self.entry.build


class ConnectionOwner(Protocol):
    """Receives the events of connections."""

    def on_connected(self, connection: Connection) -> None:
        """Use a connection that has been established."""

    def on_connect_failed(self, connection: Connection) -> None:
        """Handle that a connection could not be established."""

    def on_response(self, connection: Connection, attempt: Attempt, message: resp.Value) -> None:
        """End an attempt with its response; raises MalformedError if `message` is not a valid response."""

    def on_malformed(self, connection: Connection, error: resp.MalformedError) -> None:
        """Close a connection that received malformed bytes."""

    def release(self, connection: Connection) -> None:
        """Reuse or close a connection that has no attempt in flight."""

    def on_lost(self, connection: Connection) -> None:
        """Handle the close of a connection."""


class Connection(protocol.Protocol):
    """One connection to an instance, with at most one attempt in flight, as responses arrive in order."""

    transport: Any  # an ITCPTransport; mypy can't read its methods

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
        """Disable the delay of small writes, and report the connection to the owner."""
        self.transport.setTcpNoDelay(True)
        self.owner.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Handle the response to the attempt in flight.

        Bytes beyond the response close the connection, but the response stays valid. The connection is
        released only if all bytes read belong to the response.
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
        """Report the close to the owner."""
        self.owner.on_lost(self)


class ConnectionFactory(protocol.ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: ARG002  # Twisted's signature
        """Return the connection that has been established."""
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: ARG002  # Twisted's signature
        """Report the failure to the owner."""
        self.connection.owner.on_connect_failed(self.connection)
