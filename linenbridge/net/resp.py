"""RESP2: parses received bytes into messages, and encodes messages to be sent.

This module owns the format of commands and responses, and the bytes of an incomplete message. Values are
slices of the buffer that they were read into. The module must not use a socket or a clock, nor interpret a
message.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

MAX_VALUE_BYTES = 64 * 1024  # PROTOCOL, first paragraph: a value has at most 64 KiB
# PROTOCOL: the longest command, a submit with a body, has 5 elements; a response has three.
MAX_ARRAY_LENGTH = 5
MAX_DIGITS = 9
CRLF = b"\r\n"
ARRAY_MARK, BULK_MARK = b"*$"


class MalformedError(ValueError):
    """The received bytes violate the protocol; the rest of the connection can't be parsed."""


class Line(NamedTuple):
    """A message of one line; `mark` is `+` for a simple string, `-` for an error, `:` for an integer."""

    mark: bytes
    text: bytes


Value = memoryview | Line | list | None


class _IncompleteError(Exception):
    """A message is incomplete: at least `min_size` bytes of buffer are needed to parse it."""

    def __init__(self, min_size: int) -> None:
        self.min_size = min_size


class Reader:
    """Parses one connection's bytes into messages; `commands` allows only arrays of bulk strings."""

    def __init__(self, commands: bool) -> None:
        self.commands = commands
        self.chunks: list[bytes] = []
        self.size, self.min_size = 0, 1

    def feed(self, data: bytes) -> Iterator[Value]:
        """Yield the messages that `data` completes, in order; raises MalformedError for malformed bytes."""
        self.chunks.append(data)
        self.size += len(data)
        if self.size < self.min_size:
            return
        buffer = data if len(self.chunks) == 1 else b"".join(self.chunks)
        view, offset = memoryview(buffer), 0
        self.chunks, self.size, self.min_size = [], 0, 1
        while offset < len(buffer):
            try:
                value, next_offset = self._parse_message(buffer, view, offset)
            except _IncompleteError as incomplete:
                self.chunks, self.size, self.min_size = (
                    [buffer[offset:]],
                    len(buffer) - offset,
                    incomplete.min_size - offset,
                )
                return
            offset = next_offset
            yield value

    def _parse_message(self, buffer: bytes, view: memoryview, offset: int) -> tuple[Value, int]:
        if buffer[offset] != ARRAY_MARK:
            if self.commands:
                raise MalformedError("a command is an array of bulk strings")
            return self._parse_element(buffer, view, offset)
        count, offset = self._parse_length(buffer, offset, MAX_ARRAY_LENGTH, "an array")
        if count < 0:
            return None, offset
        arguments: list[Value] = []
        for _ in range(count):
            # Fast path for a complete bulk string: all elements of a command and most of a response.
            line_end = buffer.find(CRLF, offset, offset + MAX_DIGITS + 3)
            if line_end > offset and buffer[offset] == BULK_MARK and buffer[offset + 1 : line_end].isdigit():
                start, length = line_end + 2, int(buffer[offset + 1 : line_end])
                end = start + length
                if length <= MAX_VALUE_BYTES and buffer[end : end + 2] == CRLF:
                    arguments.append(view[start:end])
                    offset = end + 2
                    continue
            if self.commands and buffer[offset : offset + 1] not in (b"", b"$"):
                raise MalformedError("a command is an array of bulk strings")
            argument, offset = self._parse_element(buffer, view, offset)
            if self.commands and argument is None:
                raise MalformedError("a argument of a command is null")
            arguments.append(argument)
        return arguments, offset

    def _parse_element(self, buffer: bytes, view: memoryview, offset: int) -> tuple[Value, int]:
        mark = buffer[offset : offset + 1]
        if mark == b"$":
            length, start = self._parse_length(buffer, offset, MAX_VALUE_BYTES, "a value")
            if length < 0:
                return None, start
            end = start + length
            if len(buffer) < end + 2:
                raise _IncompleteError(end + 2)
            if buffer[end : end + 2] != CRLF:
                raise MalformedError("a value does not end where its length says")
            return view[start:end], end + 2
        if mark and mark not in b"+-:":
            raise MalformedError(f"no message begins with {mark!r}")
        end = self._find_line_end(buffer, offset, MAX_VALUE_BYTES)
        return Line(mark, buffer[offset + 1 : end]), end + 2

    def _parse_length(self, buffer: bytes, offset: int, maximum: int, subject: str) -> tuple[int, int]:
        end = self._find_line_end(buffer, offset, MAX_DIGITS)
        digits = buffer[offset + 1 : end]
        if digits == b"-1":
            return -1, end + 2
        if not digits.isdigit():
            raise MalformedError(f"the length of {subject} is no number")
        if (number := int(digits)) > maximum:
            raise MalformedError(f"{subject} of {number} is over {maximum}")
        return number, end + 2

    def _find_line_end(self, buffer: bytes, offset: int, maximum: int) -> int:
        end = buffer.find(CRLF, offset, offset + maximum + 3)
        if end < 0:
            if len(buffer) >= offset + maximum + 3:
                raise MalformedError("a line is too long")
            raise _IncompleteError(len(buffer) + 1)
        return end


def bulk(value: bytes | memoryview) -> tuple[bytes | memoryview, ...]:
    """Return a bulk string as buffers: its length, the value without a copy, and the line end."""
    return b"$%d\r\n" % len(value), value, CRLF


class ForwardedCommand:
    """A client's command to be forwarded: its arguments, and its fields without the time left."""

    __slots__ = ("arguments", "fields")

    def __init__(self, arguments: tuple[bytes, ...], fields: bytes) -> None:
        self.arguments, self.fields = arguments, fields

    def command(self, wait: int) -> bytes:
        """Return the encoded command; its time left is `wait`, in microseconds, converted to milliseconds."""
        fields = b"%bd=%d" % (self.fields, max(1, wait // 1000))
        return command((*self.arguments[:3], fields, *self.arguments[3:]))


def command(arguments: Sequence[bytes]) -> bytes:
    """Return the encoded command."""
    return b"".join(
        [
            b"*%d\r\n" % len(arguments),
            *(b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments),
        ]
    )
