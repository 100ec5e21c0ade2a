"""One gRPC stream: splits HTTP/2 data into messages, and holds the stream's state and its service.

A stream owns its partially received message and its unsent messages. It never decodes a message.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Protocol

from linenbridge.processor.http2.status import RESOURCE_EXHAUSTED, UNIMPLEMENTED

PREFIX_BYTES = 5  # before each message: one byte for compression, four for the length


class MessageError(Exception):
    """A message is compressed or too long; the stream ends with `status` and `text`."""

    advice = "the proxy sends uncompressed messages within the settings' `bounds message`"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(status, text)
        self.status, self.text = status, text


def framed(data: bytes) -> bytes:
    """Return a message with its length prefix, ready to be sent."""
    return b"\0" + len(data).to_bytes(PREFIX_BYTES - 1, "big") + data


class Receiver(Protocol):
    """A service's handler of the events of one stream."""

    def on_message(self, data: memoryview) -> None:
        """Handle a complete message."""

    def on_half_closed(self) -> None:
        """Handle the end of the peer's messages; the stream can still send."""

    def on_closed(self) -> None:
        """Handle a stream that the peer has reset or whose connection is lost."""


class Peer:
    """The peer of a connection: its address, and the names in its certificate (None before the handshake)."""

    __slots__ = ("address", "names")

    def __init__(self, address: str, names: tuple[str, ...] | None = None) -> None:
        self.address, self.names = address, names


class Sender(Protocol):
    """The part of a connection that a stream uses."""

    peer: Peer

    def send(self, call: Call, data: bytes) -> None:
        """Send a message on the stream `call`."""

    def finish(self, call: Call, status: int, text: str) -> None:
        """End the stream `call` with a gRPC status and a status message."""


class Call:
    """One gRPC stream, opened by the peer and ended once by either side.

    `opened` is in microseconds. `half_closed` is set once the peer sends no more.
    """

    __slots__ = (
        "connection",
        "ended",
        "half_closed",
        "headers_sent",
        "id",
        "opened",
        "partial_message",
        "received_message",
        "receiver",
        "unsent",
        "unsent_bytes",
    )

    def __init__(self, connection: Sender, stream: int, opened: int) -> None:
        self.connection, self.id, self.opened = connection, stream, opened
        self.receiver: Receiver | None = None
        self.partial_message = b""  # the received part of an incomplete message
        self.unsent: deque[bytes] = deque()
        self.unsent_bytes = 0
        self.headers_sent = self.ended = self.half_closed = self.received_message = False

    @property
    def peer(self) -> Peer:
        """The peer of the stream's connection."""
        return self.connection.peer

    def send(self, data: bytes) -> None:
        """Send one message to the peer; do nothing if the stream has ended."""
        if not self.ended:
            self.connection.send(self, data)

    def finish(self, status: int, text: str = "") -> None:
        """End the stream with a status, after all messages sent before; do nothing if it has ended.

        If the peer's flow-control window holds messages back, the stream is reset and they are dropped.
        """
        if not self.ended:
            self.connection.finish(self, status, text)

    def read(self, data: bytes, max_bytes: int) -> Iterator[memoryview]:
        """Yield each message that `data` completes.

        Raises MessageError for a message that is compressed or longer than `max_bytes`.
        """
        buffer = self.partial_message + data if self.partial_message else data
        view, start = memoryview(buffer), 0
        while len(buffer) - start >= PREFIX_BYTES:
            length = int.from_bytes(view[start + 1 : start + PREFIX_BYTES], "big")
            if buffer[start]:
                raise MessageError(UNIMPLEMENTED, "messages are taken as they are, not compressed")
            if length > max_bytes:
                raise MessageError(RESOURCE_EXHAUSTED, f"a message is longer than {max_bytes}")
            if len(buffer) - start < PREFIX_BYTES + length:
                break
            yield view[start + PREFIX_BYTES : start + PREFIX_BYTES + length]
            start += PREFIX_BYTES + length
        self.partial_message = buffer[start:]
