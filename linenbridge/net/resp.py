"""RESP2: cuts what was read into messages, and arguments messages to be written.

Owns the form of commands and answers and the bytes of a message that has not wholly come. Messages are
slices of the buffer that they were read into. It must never touch a socket, a clock or the meaning of a
message.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

MAX_VALUE_BYTES = 64 * 1024  # PROTOCOL, first paragraph: a value holds 64 KiB at maximum
MAX_ARRAY_LENGTH = (
    5  # PROTOCOL: the arguments of its longest command, a submit with a body; an answer has three
)
MAX_DIGITS = 9
END = b"\r\n"
ARRAY, BULK = b"*$"


class MalformedError(ValueError):
    """What came is not the protocol; the connection cannot be read any further."""


class Line(NamedTuple):
    """A simple string `+`, an error `-` or a number `:`."""

    mark: bytes
    text: bytes


Value = memoryview | Line | list | None


class _ShortError(Exception):
    """The message goes on beyond the buffer, to this length at least."""

    def __init__(self, need: int) -> None:
        self.need = need


class Reader:
    """Cuts one connection's bytes into messages; `commands` asks for arrays of bulk strings alone."""

    def __init__(self, commands: bool) -> None:
        self.commands = commands
        self.chunks: list[bytes] = []
        self.size, self.need = 0, 1

    def feed(self, data: bytes) -> Iterator[Value]:
        """All messages whose last byte has come, in their order; MalformedError where the framing is lost."""
        self.chunks.append(data)
        self.size += len(data)
        if self.size < self.need:
            return
        buffer = data if len(self.chunks) == 1 else b"".join(self.chunks)
        view, at = memoryview(buffer), 0
        self.chunks, self.size, self.need = [], 0, 1
        while at < len(buffer):
            try:
                value, after = self._message(buffer, view, at)
            except _ShortError as short:
                self.chunks, self.size, self.need = [buffer[at:]], len(buffer) - at, short.need - at
                return
            at = after
            yield value

    def _message(self, buffer: bytes, view: memoryview, at: int) -> tuple[Value, int]:
        if buffer[at] != ARRAY:
            if self.commands:
                raise MalformedError("a command is an array of bulk strings")
            return self._single(buffer, view, at)
        count, at = self._number(buffer, at, MAX_ARRAY_LENGTH, "an array")
        if count < 0:
            return None, at
        arguments: list[Value] = []
        for _ in range(count):
            # The arguments of a command and maximum of an answer's: a value that has wholly come.
            line = buffer.find(END, at, at + MAX_DIGITS + 3)
            if line > at and buffer[at] == BULK and buffer[at + 1 : line].isdigit():
                start, length = line + 2, int(buffer[at + 1 : line])
                end = start + length
                if length <= MAX_VALUE_BYTES and buffer[end : end + 2] == END:
                    arguments.append(view[start:end])
                    at = end + 2
                    continue
            if self.commands and buffer[at : at + 1] not in (b"", b"$"):
                raise MalformedError("a command is an array of bulk strings")
            argument, at = self._single(buffer, view, at)
            if self.commands and argument is None:
                raise MalformedError("a argument of a command is null")
            arguments.append(argument)
        return arguments, at

    def _single(self, buffer: bytes, view: memoryview, at: int) -> tuple[Value, int]:
        mark = buffer[at : at + 1]
        if mark == b"$":
            length, start = self._number(buffer, at, MAX_VALUE_BYTES, "a value")
            if length < 0:
                return None, start
            end = start + length
            if len(buffer) < end + 2:
                raise _ShortError(end + 2)
            if buffer[end : end + 2] != END:
                raise MalformedError("a value does not end where its length says")
            return view[start:end], end + 2
        if mark and mark not in b"+-:":
            raise MalformedError(f"no message begins with {mark!r}")
        end = self._line(buffer, at, MAX_VALUE_BYTES)
        return Line(mark, buffer[at + 1 : end]), end + 2

    def _number(self, buffer: bytes, at: int, maximum: int, what: str) -> tuple[int, int]:
        end = self._line(buffer, at, MAX_DIGITS)
        digits = buffer[at + 1 : end]
        if digits == b"-1":
            return -1, end + 2
        if not digits.isdigit():
            raise MalformedError(f"the length of {what} is no number")
        if (number := int(digits)) > maximum:
            raise MalformedError(f"{what} of {number} is over {maximum}")
        return number, end + 2

    def _line(self, buffer: bytes, at: int, maximum: int) -> int:
        end = buffer.find(END, at, at + maximum + 3)
        if end < 0:
            if len(buffer) >= at + maximum + 3:
                raise MalformedError("a line is too long")
            raise _ShortError(len(buffer) + 1)
        return end


def bulk(value: bytes | memoryview) -> tuple[bytes | memoryview, ...]:
    """A value as it goes out: the slice itself between its length and its end."""
    return b"$%d\r\n" % len(value), value, END


class ForwardedCommand:
    """A client's command as it passes on to instances: its arguments, and its fields but for the time."""

    __slots__ = ("arguments", "fields")

    def __init__(self, arguments: tuple[bytes, ...], fields: bytes) -> None:
        self.arguments, self.fields = arguments, fields

    def command(self, wait: int) -> bytes:
        """As the client sent it, but for the time in milliseconds that this gateway will wait."""
        fields = b"%bd=%d" % (self.fields, max(1, wait // 1000))
        return command((*self.arguments[:3], fields, *self.arguments[3:]))


def command(arguments: Sequence[bytes]) -> bytes:
    """A command as it goes out."""
    return b"".join(
        [
            b"*%d\r\n" % len(arguments),
            *(b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments),
        ]
    )
