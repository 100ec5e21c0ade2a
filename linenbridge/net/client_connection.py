"""One client's connection: reads commands and sends their responses in the same order.

This module owns the state of the connection, the responses pending on it, and the bytes of an incomplete
command. The owner of the connection interprets the commands and decides when to close connections to free
descriptors.
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
    """State of a client's connection; it only ever advances to a higher value."""

    OPEN = 0  # reads commands
    DRAINING = 1  # sends the pending responses, and reads nothing more
    LINGERING = 2  # has shut down its sending side, and waits for the client to close


class PendingResponse:
    """The response to one command, at its place in the order of the commands."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.data: Buffers | None = None
        self.request: ActiveRequest | None = None

    def respond(self, outcome: str, retry_after: int, value: Buffers) -> None:
        """Send a request's final response as PROTOCOL defines it; `retry_after` is in microseconds."""
        if outcome == Outcome.OK:
            self.send(value)
        elif outcome == REJECTED:
            wait_ms = -(-retry_after // MICROSECONDS_PER_MILLISECOND)
            self.send((b"-BUSY %d\r\n" % wait_ms if wait_ms else b"-BUSY\r\n",))
        else:
            self.send((b"-ERR aborted\r\n",))

    def send_error(self, error: str) -> None:
        """Send `error` as a RESP error."""
        self.send((f"-ERR {error}\r\n".encode(),))

    def send(self, data: Buffers) -> None:
        """Send the response once all earlier responses have been sent."""
        self.data = data
        self.request = None
        self.client.flush()


class ClientOwner(Protocol):
    """Receives the events of clients' connections."""

    log: Log
    closing: bool

    def on_command(self, response: PendingResponse, arguments: Buffers) -> None:
        """Handle a complete command; raises InvalidCommandError if it is not a valid request."""

    def on_waiting(self, client: Client) -> None:
        """Note that no response is pending on a connection."""

    def set_buffered(self, client: Client, size: int) -> None:
        """Note how many bytes of an incomplete command a connection holds."""

    def on_client_disconnected(self, request: ActiveRequest) -> None:
        """Handle the disconnection of an open request's client."""

    def on_closed(self, client: Client) -> None:
        """Handle the close of a connection."""


class Client(protocol.Protocol):
    """One client's connection; nothing has been pending on it since `waiting_since`, in microseconds."""

    transport: Any  # an ITCPTransport; mypy can't read its methods

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
        """Register with the owner.

        The transport is registered as its own producer, so that it stops reading from a client that does not
        read its responses.
        """
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self.transport, True)
        self.owner.on_waiting(self)

    def dataReceived(self, data: bytes) -> None:
        """Handle all complete commands; a malformed one gets an error response and closes the connection."""
        if self.state != ConnectionState.OPEN:
            return
        self.is_reading = True  # Keeps the connection from closing before all commands in `data` are handled.
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
        """Send one error after all pending responses, and close the connection.

        Bytes that arrive later are not read: they can't be parsed, or they arrive too late.
        """
        if self.state == ConnectionState.OPEN:
            self._drain()
            response = PendingResponse(self)
            self.pending.append(response)
            response.send_error(error)

    def leave(self) -> None:
        """Close the connection as soon as no response is pending."""
        if self.state == ConnectionState.OPEN:
            self._drain()
            self.flush()

    def _drain(self) -> None:
        """Stop reading. Commands that arrive later are not accepted, and the client sends them elsewhere."""
        self.state = ConnectionState.DRAINING
        self.reader = resp.Reader(commands=True)
        self.owner.set_buffered(self, 0)
        watch_for_close(self.transport)

    def flush(self) -> None:
        """Send all responses whose predecessors have been sent, in the order of the commands."""
        while self.pending and self.pending[0].data is not None:
            write_immediately(self.transport, b"".join(self.pending.popleft().data or ()))
        if self.pending or self.is_reading or self.state == ConnectionState.LINGERING:
            return
        if self.state == ConnectionState.DRAINING:
            # Only the sending side is shut down. Closing a socket with unread bytes resets it, and a reset
            # discards the responses that the client has not read yet.
            self.state = ConnectionState.LINGERING
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
        self.owner.on_waiting(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002  # Twisted's signature
        """Report the pending requests and the close to the owner; only this method releases them."""
        for response in self.pending:
            if response.request is not None:
                request = response.request
                response.request = None
                self.owner.on_client_disconnected(request)
        self.pending.clear()
        self.owner.on_closed(self)
