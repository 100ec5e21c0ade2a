"""One client's connection: reads commands and sends their responses in the same order.

This module owns the state of the connection, the responses pending on it, and the bytes of an incomplete
command. The owner of the connection interprets the commands and decides when to close connections to free
descriptors.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from enum import IntEnum
from itertools import chain
from typing import Any, Protocol

from twisted.internet import protocol

from linenbridge.interface import Outcome
from linenbridge.logging.event_log import Log
from linenbridge.net import resp
from linenbridge.net.command_backlog import CommandBacklog
from linenbridge.net.commands import InvalidCommandError
from linenbridge.net.decision_loop import REJECTED, ActiveRequest
from linenbridge.net.sockets import watch_for_close, write_immediately

Buffers = Sequence[bytes | memoryview]
MICROSECONDS_PER_MILLISECOND = 1_000
NO_COMMAND = object()  # no further command is complete


class ConnectionState(IntEnum):
    """State of a client's connection; it only ever advances to a higher value."""

    OPEN = 0  # reads commands, and stays open after its responses
    ENDING = 1  # reads commands, and ends with the first response behind which nothing is pending or unread
    REJECTED = 2  # reads nothing more: what it has read can't be parsed, or its time is up
    LINGERING = 3  # has ended its sending side, and waits until the client has received everything


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
    backlog: CommandBacklog

    def may_handle(self, client: Client) -> bool:
        """Return whether a connection's next command may be handled."""

    def read_limit(self) -> int:
        """Return how many of the commands that have just been read on a connection may be handled now."""

    def on_command(self, response: PendingResponse, arguments: Buffers) -> None:
        """Handle a complete command; raises InvalidCommandError if it is not a valid request."""

    def on_waiting(self, client: Client) -> None:
        """Note that no response is pending on a connection."""

    def ends_with_response(self, client: Client) -> bool:
        """Return whether an open connection is to end with the response that it is about to send."""

    def set_buffered(self, client: Client, size: int) -> None:
        """Note how many bytes of an incomplete command a connection holds."""

    def on_client_disconnected(self, request: ActiveRequest) -> None:
        """Handle the disconnection of an open request's client."""

    def on_closed(self, client: Client) -> None:
        """Handle the close of a connection."""


class Client(protocol.Protocol):
    """One client's connection; nothing has been pending on it since `waiting_since`, in microseconds.

    A connection that `is_surplus` was accepted while descriptors were short; the owner decides whether they
    still are when its first request comes.
    """

    transport: Any  # a ClientTransport

    def __init__(self, owner: ClientOwner, is_surplus: bool = False) -> None:
        self.owner = owner
        self.is_surplus = is_surplus
        self.reader = resp.Reader(commands=True)
        self.pending: deque[PendingResponse] = deque()
        self._commands: Iterator[Any] | None = None  # read and not handled yet, malformed bytes included
        self.state = ConnectionState.OPEN
        self.has_sent_command = False
        self.request_count = 0
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
        """Handle the first complete command, and as many more as have their turn."""
        if self.state >= ConnectionState.REJECTED:
            return
        received = self.reader.feed(data)
        self._commands = received if self._commands is None else chain(self._commands, received)
        handled = self.handle_commands(self.owner.read_limit())
        self.owner.backlog.spend(handled - 1)

    def handle_commands(self, limit: int) -> int:
        """Handle up to `limit` commands that have been read, and return how many were handled.

        A malformed one gets an error response and closes the connection. While some are left, or too many
        have no response yet, nothing is read.
        """
        if self._commands is None:
            return 0
        handled = 0
        self.is_reading = True  # No response is sent before these commands are handled.
        try:
            while handled < limit and self.owner.may_handle(self):
                arguments = next(self._commands, NO_COMMAND)
                if arguments is NO_COMMAND:
                    self._commands = None
                    break
                handled += 1
                self._on_command(arguments)
        except resp.MalformedError as error:
            self.owner.log.event_sampled("malformed", "client", error=str(error))
            self.is_reading = False
            self.reject(str(error))
            return handled
        self.is_reading = False
        if self._commands is None:
            self.owner.set_buffered(self, self.reader.size)
        if self._commands is not None or not self.owner.may_handle(self):
            self.owner.backlog.hold(self)
        self._resume()
        self.flush()
        return handled

    def _resume(self) -> None:
        """Handle the next commands of a held connection, or read them, if enough have their response."""
        backlog = self.owner.backlog
        if self not in backlog.held or not self.owner.may_handle(self):
            return
        if self._commands is None:
            backlog.release(self)
        else:
            backlog.add(self)

    def _on_command(self, arguments: Any) -> None:
        response = PendingResponse(self)
        self.pending.append(response)
        try:
            self.owner.on_command(response, arguments)
            self.has_sent_command = True
        except InvalidCommandError as error:
            self.owner.log.count("invalid")
            response.send_error(str(error))

    # ---- the end of the connection -----------------------------------------------------------------

    def reject(self, error: str) -> None:
        """Send one error after all pending responses, and close the connection.

        Bytes that arrive later are not read: they can't be parsed, or they arrive too late.
        """
        if self.state >= ConnectionState.REJECTED:
            return
        self.state = ConnectionState.REJECTED
        self._commands = None
        self.owner.backlog.release(self)
        self.reader = resp.Reader(commands=True)
        self.owner.set_buffered(self, 0)
        watch_for_close(self.transport)
        response = PendingResponse(self)
        self.pending.append(response)
        response.send_error(error)

    def end_with_response(self) -> None:
        """Let the connection end with its next response."""
        self.state = max(self.state, ConnectionState.ENDING)

    def end(self) -> None:
        """Close the connection as soon as no response is pending and nothing is unread."""
        self.end_with_response()
        self._settle()

    def is_at_rest(self) -> bool:
        """Return whether the connection is between two requests: nothing pending, incomplete or unread."""
        is_handling = self.is_reading or self._commands is not None
        return not (self.pending or is_handling or self.reader.size or self.transport.has_unread())

    def flush(self) -> None:
        """Send all responses whose predecessors have been sent, in the order of the commands."""
        if self.is_reading:
            return
        buffers: list[bytes | memoryview] = []
        while self.pending and self.pending[0].data is not None:
            buffers.extend(self.pending.popleft().data or ())
        self._resume()
        if buffers:
            data = b"".join(buffers)
            if not self.pending and self._ends_with_response():
                self._send_last(data)
                return
            write_immediately(self.transport, data)
        self._settle()

    def _ends_with_response(self) -> bool:
        if self.state >= ConnectionState.REJECTED:
            return self.state == ConnectionState.REJECTED
        if self.reader.size or self._commands is not None:
            return False
        if self.state == ConnectionState.OPEN and not self.owner.ends_with_response(self):
            return False
        return not self.transport.has_unread()

    def _settle(self) -> None:
        """End an ending connection that is at rest; report any other without a pending response."""
        if self.pending or self._commands is not None or self.state >= ConnectionState.REJECTED:
            return
        if self.state == ConnectionState.ENDING and self.has_sent_command and self.is_at_rest():
            self._send_last(b"")
        else:
            self.owner.on_waiting(self)

    def _send_last(self, data: bytes) -> None:
        """Send the last response with the end of the stream, and wait for the client's close.

        The owner limits the wait. Nothing more is read: a command that crosses the end is sent once more by
        its client.
        """
        self.state = ConnectionState.LINGERING
        self.transport.unregisterProducer()
        self.transport.send_last(data)
        if self.transport.has_unread() and not self.transport.has_peer_closed():
            self.owner.log.event_sampled("client", "crossed", after_response=bool(data))
        watch_for_close(self.transport)
        self.owner.on_waiting(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002  # Twisted's signature
        """Report the pending requests and the close to the owner; only this method releases them."""
        for response in self.pending:
            if response.request is not None:
                request = response.request
                response.request = None
                self.owner.on_client_disconnected(request)
        self.pending.clear()
        self._commands = None
        self.owner.on_closed(self)
