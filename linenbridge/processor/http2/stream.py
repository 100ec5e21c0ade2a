"""One gRPC stream: its messages as they are cut from HTTP/2 data, its state, and the service behind it.

Owns what has come of a message so far and what waits to be sent. It must never look into a message.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Protocol

from linenbridge.processor.http2.status import RESOURCE_EXHAUSTED, UNIMPLEMENTED

PREFIX_BYTES = 5  # bytes before each message: whether it is compressed, and its length


class MessageError(Exception):
    """A message that is not taken; the stream ends with `status` and `text`."""

    advice = "the proxy sends uncompressed messages within the settings' `bounds message`"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(status, text)
        self.status, self.text = status, text


def framed(data: bytes) -> bytes:
    """A message with its prefix, as it goes out."""
    return b"\0" + len(data).to_bytes(PREFIX_BYTES - 1, "big") + data


class Receiver(Protocol):
    """What a service makes of one stream."""

    def on_message(self, data: memoryview) -> None:
        """Take in a message."""

    def on_half_closed(self) -> None:
        """Take in that the peer sends no more."""

    def on_closed(self) -> None:
        """Take in that the stream has closed."""


class Peer:
    """Who is at the other end: the address, and the names that its certificate gives it."""

    __slots__ = ("address", "names")

    def __init__(self, address: str, names: tuple[str, ...] | None = None) -> None:
        self.address, self.names = address, names


class Sender(Protocol):
    """What a stream needs of its connection."""

    peer: Peer

    def send(self, call: Call, data: bytes) -> None:
        """Send a message on a stream."""

    def finish(self, call: Call, status: int, text: str) -> None:
        """End a stream with a status."""


class Call:
    """One gRPC stream: opened by a peer, ended once, by either side."""

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
        self.partial_message = b""  # the beginning of a message whose end has not come
        self.unsent: deque[bytes] = deque()
        self.unsent_bytes = 0
        self.headers_sent = self.ended = self.half_closed = self.received_message = False

    @property
    def peer(self) -> Peer:
        """Who is at the other end."""
        return self.connection.peer

    def send(self, data: bytes) -> None:
        """One message to the peer; nothing after the stream's end."""
        if not self.ended:
            self.connection.send(self, data)

    def finish(self, status: int, text: str = "") -> None:
        """The stream's one status; what was sent goes out before it."""
        if not self.ended:
            self.connection.finish(self, status, text)

    def read(self, data: bytes, max_bytes: int) -> Iterator[memoryview]:
        """Each message that is whole by now, one at a time; MessageError for one that is not taken."""
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
