"""One client's connection: commands in, responses out in the same order.

Owns the connection's state, the responses pending on it, and the bytes of an incomplete command. What its
commands mean and when it closes for want of room is its owner's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import IntEnum
from typing import Any, Protocol

from twisted.internet import protocol

from linenbridge.interface import Outcome
from linenbridge.logging.event_log import Log
from linenbridge.net import resp
from linenbridge.net.commands import InvalidCommandError
from linenbridge.net.decision_loop import REJECTED, ActiveRequest, watch_for_close, write_immediately

Buffers = Sequence[bytes | memoryview]
MICROSECONDS_PER_MILLISECOND = 1_000


class ConnectionState(IntEnum):
    """A connection's states, which follow each other one way only."""

    OPEN = 0  # commands are read
    DRAINING = 1  # pending responses go out; nothing more is read
    LINGERING = 2  # our sending has ended; the client's end is awaited


class PendingResponse:
    """The place of one command in the order of responses."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.data: Buffers | None = None
        self.request: ActiveRequest | None = None

    def respond(self, outcome: str, retry_after: int, value: Buffers) -> None:
        """Send a request's final response, in PROTOCOL's form; `retry_after` is in microseconds."""
        if outcome == Outcome.OK:
            self.send(value)
        elif outcome == REJECTED:
            wait_ms = -(-retry_after // MICROSECONDS_PER_MILLISECOND)
            self.send((b"-BUSY %d\r\n" % wait_ms if wait_ms else b"-BUSY\r\n",))
        else:
            self.send((b"-ERR aborted\r\n",))

    def send_error(self, error: str) -> None:
        """Send an error line."""
        self.send((f"-ERR {error}\r\n".encode(),))

    def send(self, data: Buffers) -> None:
        """Send the response, once all before it have been sent."""
        self.data = data
        self.request = None
        self.client.flush()


class ClientOwner(Protocol):
    """Takes what a client's connection reports."""

    log: Log
    closing: bool

    def on_command(self, response: PendingResponse, arguments: Buffers) -> None:
        """Take in a command; InvalidCommandError where it is no request."""

    def on_waiting(self, client: Client) -> None:
        """Take in that nothing is pending on a connection."""

    def set_buffered(self, client: Client, size: int) -> None:
        """Take in how many bytes of an incomplete command a connection has."""

    def on_client_disconnected(self, request: ActiveRequest) -> None:
        """Take in that the client of an open request has disconnected."""

    def on_closed(self, client: Client) -> None:
        """Take in that a connection has closed."""


class Client(protocol.Protocol):
    """One client's connection. `since`: when nothing has been pending on it any more, in microseconds."""

    transport: Any  # ITCPTransport, whose methods mypy can't read

    def __init__(self, owner: ClientOwner) -> None:
        self.owner = owner
        self.reader = resp.Reader(commands=True)
        self.pending: deque[PendingResponse] = deque()
        self.state = ConnectionState.OPEN
        self.has_sent_command = False
        self.is_reading = False
        self.buffered = 0
        self.waiting_since = 0

    def connectionMade(self) -> None:
        """Register with the owner. A client that does not read its responses is not read from either."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self.transport, True)
        self.owner.on_waiting(self)

    def dataReceived(self, data: bytes) -> None:
        """Take in all commands that are complete; one that is malformed closes the connection."""
        if self.state != ConnectionState.OPEN:
            return
        self.is_reading = True  # The connection must not close while commands are left in what was read.
        try:
            for arguments in self.reader.feed(data):
                self._on_command(arguments)
        except resp.MalformedError as error:
            self.owner.log.event_sampled("malformed", "client", error=str(error))
            self.is_reading = False
            self.reject(str(error))
        self.is_reading = False
        if self.state == ConnectionState.OPEN:
            self.owner.set_buffered(self, self.reader.size)
        if self.state == ConnectionState.OPEN and not self.pending:
            self.owner.on_waiting(self)
        if self.owner.closing and not self.reader.size:
            self.leave()

    def _on_command(self, arguments: Any) -> None:
        response = PendingResponse(self)
        self.pending.append(response)
        try:
            self.owner.on_command(response, arguments)
            self.has_sent_command = True
        except InvalidCommandError as error:
            self.owner.log.count("invalid")
            response.send_error(str(error))

    def reject(self, error: str) -> None:
        """Send one error line after all pending responses, and close.

        What still arrives is not read: it can't be, or is too late.
        """
        if self.state == ConnectionState.OPEN:
            self._drain()
            response = PendingResponse(self)
            self.pending.append(response)
            response.send_error(error)

    def leave(self) -> None:
        """Close as soon as no response is pending."""
        if self.state == ConnectionState.OPEN:
            self._drain()
            self.flush()

    def _drain(self) -> None:
        """Stop reading: what arrives was not accepted, and its client sends it elsewhere."""
        self.state = ConnectionState.DRAINING
        self.reader = resp.Reader(commands=True)
        self.owner.set_buffered(self, 0)
        watch_for_close(self.transport)

    def flush(self) -> None:
        """Send the responses that are due, in the order of the commands."""
        while self.pending and self.pending[0].data is not None:
            write_immediately(self.transport, b"".join(self.pending.popleft().data or ()))
        if self.pending or self.is_reading or self.state == ConnectionState.LINGERING:
            return
        if self.state == ConnectionState.DRAINING:
            # Only our sending ends. A close with something unread would be a reset, and that destroys what
            # the client has not read yet: the responses just written.
            self.state = ConnectionState.LINGERING
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
        self.owner.on_waiting(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002  # Twisted's signature
        """Give back all that was pending, in the one place for that."""
        for response in self.pending:
            if response.request is not None:
                request = response.request
                response.request = None
                self.owner.on_client_disconnected(request)
        self.pending.clear()
        self.owner.on_closed(self)
