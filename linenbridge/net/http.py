"""HTTP/1.1 as a client: parses responses, splits their bodies into messages, and writes requests.

Owns the bytes of a head, a chunk's length or a line that has not wholly come. Pieces of bodies are slices
of the buffer that they were read into. It must never touch a socket, a clock or the meaning of a body.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from linenbridge.net.resp import CRLF, MalformedError

MAX_HEAD_BYTES = 64 * 1024  # of a status line with its fields: what RESP allows a value
HEX_DIGITS = b"0123456789abcdefABCDEF"
NEWLINE = re.compile(rb"\n")
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class BodyPart(NamedTuple):
    """Part of an answer's body; `last` where the answer ends with it."""

    status: int
    body: memoryview
    last: bool


class ResponseParser:
    """Cuts one connection's bytes into answers, each with a stated length or in chunks."""

    def __init__(self) -> None:
        self.unparsed = b""
        self.status, self.bytes_left = 0, 0
        self.parse_next = self._parse_head

    def feed(self, data: bytes) -> Iterator[BodyPart]:
        """What has come of the answers; MalformedError where the framing is lost."""
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

    def _find_line_end(self, buffer: bytes, start: int, terminator: bytes) -> int:
        end = buffer.find(terminator, start, start + MAX_HEAD_BYTES)
        if end < 0 and len(buffer) - start >= MAX_HEAD_BYTES:
            raise MalformedError("a head or line is too long")
        return end

    def _parse_head(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = self._find_line_end(buffer, start, CRLF + CRLF)
        if end < 0:
            return None, start
        status_line, *fields = buffer[start:end].split(CRLF)
        version, _, remainder = status_line.partition(b" ")
        if not version.startswith(b"HTTP/1.") or not remainder[:3].isdigit():
            raise MalformedError(f"no status line: {status_line[:40]!r}")
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
            raise MalformedError("an answer has neither a length nor chunks")
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
        end = self._find_line_end(buffer, start, CRLF)
        if end < 0:
            return None, start
        digits = buffer[start:end].partition(b";")[0].strip()
        if not digits or len(digits) > 8 or digits.strip(HEX_DIGITS):
            raise MalformedError("a chunk's length is no number")
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
            raise MalformedError("a chunk does not end where its length says")
        self.parse_next = self._parse_chunk_size
        return None, start + 2

    def _parse_trailer(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = self._find_line_end(buffer, start, CRLF)
        if end < 0:
            return None, start
        if end > start:
            return None, end + 2
        self.parse_next = self._parse_head
        return BodyPart(self.status, view[start:start], True), end + 2


class Splitter(Protocol):
    """Splits a body that never ends into messages."""

    def feed(self, part: memoryview) -> Iterator[memoryview]:
        """Return the messages that a further piece completes."""
        ...


class LineSplitter:
    """Splits into lines of at most `max_length` bytes; one within a piece is a slice, others are copied."""

    def __init__(self, max_length: int) -> None:
        self.max_length, self.partial = max_length, bytearray()

    def feed(self, part: memoryview) -> Iterator[memoryview]:
        """Return the lines that a further piece completes; MalformedError for one that is too long."""
        start = 0
        for newline in NEWLINE.finditer(part):
            line, start = part[start : newline.start()], newline.end()
            if self.partial:
                line = memoryview(bytes(self.partial) + line)
                self.partial.clear()
            yield line
        self.partial += part[start:]
        if len(self.partial) > self.max_length:
            raise MalformedError("a line is too long")


class ObjectSplitter:
    """Cuts pieces into JSON objects, on one line each or indented over many: one ends where its brackets
    close, with the line or without. An empty line outside of any is passed on as it came; within one it is
    white space. One that breaks off holds what comes after it, up to `most`: nothing is heard from then."""

    def __init__(self, max_length: int) -> None:
        self.lines, self.max_length = LineSplitter(max_length), max_length
        self.parts: list[bytes] = []
        self.size = self.open_brackets = 0

    def feed(self, part: memoryview) -> Iterator[memoryview]:
        """Return the objects that a further piece completes; MalformedError for one that can't be read."""
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
            raise MalformedError("a string does not end on its line")
        self.parts.append(line)
        self.size, self.open_brackets = self.size + len(line), self.open_brackets + opened
        if self.size > self.max_length:
            raise MalformedError("an object is too long")
        if self.open_brackets > 0:
            return None
        complete, self.parts, self.size, self.open_brackets = b"".join(self.parts), [], 0, 0
        return memoryview(complete)


def _count_open_brackets(text: bytes | bytearray) -> int | None:
    """How many brackets a text opens and does not close; None where a string has not ended."""
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
    """A request as it goes out."""
    fields = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n" if body else ""
    return f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{fields}\r\n".encode() + body
