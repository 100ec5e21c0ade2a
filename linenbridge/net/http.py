"""HTTP/1.1 client protocol: parses responses, splits their bodies into messages, and encodes requests.

This module owns the bytes of an incomplete head, chunk size or line. Parts of bodies are slices of the buffer
that they were read into. The module must not use a socket or a clock, nor interpret a body.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from linenbridge.net.resp import CRLF, MalformedError

MAX_HEAD_BYTES = 64 * 1024  # limit of a status line with its header fields, as for a value in RESP
HEX_DIGITS = b"0123456789abcdefABCDEF"
NEWLINE = re.compile(rb"\n")
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class BodyPart(NamedTuple):
    """A part of a response's body; `last` is true if the response ends with it."""

    status: int
    body: memoryview
    last: bool


class ResponseParser:
    """Parses the bytes of one connection into responses with a Content-Length or in chunks."""

    def __init__(self) -> None:
        self.unparsed = b""
        self.status, self.bytes_left = 0, 0
        self.parse_next = self._parse_head

    def feed(self, data: bytes) -> Iterator[BodyPart]:
        """Yield the parts of bodies in `data`; raises MalformedError if a response can't be parsed."""
        buffer = self.unparsed + data if self.unparsed else data
        view, start = memoryview(buffer), 0
        while True:
            part, after = self.parse_next(buffer, view, start)
            if part is not None:
                yield part
            elif after == start:
                break
            start = after
        self.unparsed = buffer[start:]

    def _find_terminator(self, buffer: bytes, start: int, terminator: bytes) -> int:
        end = buffer.find(terminator, start, start + MAX_HEAD_BYTES)
        if end < 0 and len(buffer) - start >= MAX_HEAD_BYTES:
            raise MalformedError(f"a response head or a line has more than {MAX_HEAD_BYTES} bytes")
        return end

    def _parse_head(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = self._find_terminator(buffer, start, CRLF + CRLF)
        if end < 0:
            return None, start
        status_line, *fields = buffer[start:end].split(CRLF)
        version, _, remainder = status_line.partition(b" ")
        if not version.startswith(b"HTTP/1.") or not remainder[:3].isdigit():
            raise MalformedError(f"expected a status line of HTTP/1.x, received {status_line[:40]!r}")
        self.status = int(remainder[:3])
        headers = {}
        for field in fields:
            name, _, value = field.partition(b":")
            headers[name.strip().lower()] = value.strip()
        after = end + 4
        if self.status < 200:
            return None, after
        if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            self.parse_next = self._parse_chunk_size
            return None, after
        length = b"0" if self.status in (204, 304) else headers.get(b"content-length", b"")
        if not length.isdigit() or len(length) > 9:
            raise MalformedError(
                f"expected chunks or a Content-Length of 1 to 9 digits, received {length[:40]!r}"
            )
        self.bytes_left = int(length)
        if not self.bytes_left:
            return BodyPart(self.status, view[after:after], True), after
        self.parse_next = self._parse_body
        return None, after

    def _parse_body(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = min(len(buffer), start + self.bytes_left)
        if end == start:
            return None, start
        self.bytes_left -= end - start
        if not self.bytes_left:
            self.parse_next = self._parse_head
        return BodyPart(self.status, view[start:end], not self.bytes_left), end

    def _parse_chunk_size(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = self._find_terminator(buffer, start, CRLF)
        if end < 0:
            return None, start
        digits = buffer[start:end].partition(b";")[0].strip()
        if not digits or len(digits) > 8 or digits.strip(HEX_DIGITS):
            raise MalformedError(
                f"expected a chunk size of 1 to 8 hexadecimal digits, received {digits[:40]!r}"
            )
        self.bytes_left = int(digits, 16)
        self.parse_next = self._parse_chunk_data if self.bytes_left else self._parse_trailer
        return None, end + 2

    def _parse_chunk_data(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = min(len(buffer), start + self.bytes_left)
        if end == start:
            return None, start
        self.bytes_left -= end - start
        if not self.bytes_left:
            self.parse_next = self._parse_chunk_end
        return BodyPart(self.status, view[start:end], False), end

    def _parse_chunk_end(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        if len(buffer) < start + 2:
            return None, start
        if buffer[start : start + 2] != CRLF:
            raise MalformedError(f"expected CRLF after a chunk, received {buffer[start : start + 2]!r}")
        self.parse_next = self._parse_chunk_size
        return None, start + 2

    def _parse_trailer(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = self._find_terminator(buffer, start, CRLF)
        if end < 0:
            return None, start
        if end > start:
            return None, end + 2
        self.parse_next = self._parse_head
        return BodyPart(self.status, view[start:start], True), end + 2


class Splitter(Protocol):
    """Splits an endless body into messages."""

    def feed(self, part: memoryview) -> Iterator[memoryview]:
        """Yield the messages that a further part of the body completes."""
        ...


class LineSplitter:
    """Splits a body into lines.

    At most `max_length` bytes of an incomplete line are kept. A line within one part is a slice of that part;
    other lines are copied.
    """

    def __init__(self, max_length: int) -> None:
        self.max_length, self.partial = max_length, bytearray()

    def feed(self, part: memoryview) -> Iterator[memoryview]:
        """Yield the lines that a further part completes; raises MalformedError for one that is too long."""
        start = 0
        for newline in NEWLINE.finditer(part):
            line, start = part[start : newline.start()], newline.end()
            if self.partial:
                line = memoryview(bytes(self.partial) + line)
                self.partial.clear()
            yield line
        self.partial += part[start:]
        if len(self.partial) > self.max_length:
            raise MalformedError(f"a line has more than {self.max_length} bytes")


class ObjectSplitter:
    """Splits a body into JSON objects of at most `max_length` bytes, on one line each or on several.

    An object ends where its brackets close, with or without a line end. An empty line between objects is
    passed on as a message; within an object it is white space. After an object that breaks off, all that
    follows counts as a part of it, up to `max_length`, so that no further message is delivered.
    """

    def __init__(self, max_length: int) -> None:
        self.lines, self.max_length = LineSplitter(max_length), max_length
        self.parts: list[bytes] = []
        self.size = self.open_brackets = 0

    def feed(self, part: memoryview) -> Iterator[memoryview]:
        """Yield the objects that a further part completes; raises MalformedError for a malformed one."""
        for line in self.lines.feed(part):
            if (complete := self._add_line(bytes(line) + b"\n")) is not None:
                yield complete
        if self.lines.partial[-1:] == b"}":
            remainder = bytes(self.lines.partial)
            if (opened := _count_open_brackets(remainder)) is not None and self.open_brackets + opened == 0:
                self.lines.partial.clear()
                if (complete := self._add_line(remainder)) is not None:
                    yield complete

    def _add_line(self, line: bytes) -> memoryview | None:
        opened = _count_open_brackets(line)
        if opened is None:
            raise MalformedError(f"a JSON string does not end on its line: {line[:40]!r}")
        self.parts.append(line)
        self.size, self.open_brackets = self.size + len(line), self.open_brackets + opened
        if self.size > self.max_length:
            raise MalformedError(f"a JSON object has {self.size} bytes, of at most {self.max_length}")
        if self.open_brackets > 0:
            return None
        complete, self.parts, self.size, self.open_brackets = b"".join(self.parts), [], 0, 0
        return memoryview(complete)


def _count_open_brackets(text: bytes | bytearray) -> int | None:
    """Return how many more brackets a text opens than it closes; None if it ends within a string."""
    without_strings = JSON_STRING.sub(b"", text)
    if b'"' in without_strings:
        return None
    return (
        without_strings.count(b"{")
        + without_strings.count(b"[")
        - without_strings.count(b"}")
        - without_strings.count(b"]")
    )


def request(method: str, path: str, host: str, body: bytes = b"") -> bytes:
    """Return an encoded request; a body is sent as JSON."""
    fields = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n" if body else ""
    return f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{fields}\r\n".encode() + body
