"""HTTP/1.1 as a client: parses responses, splits their bodies into messages, and writes requests.

Owns the bytes of a head, a chunk's length or a line that has not wholly come. Pieces of bodies are slices
of the buffer that they were read into. It must never touch a socket, a clock or the meaning of a body.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from linenbridge.net.resp import END, MalformedError

MAX_HEAD_BYTES = 64 * 1024  # of a status line with its fields: what RESP allows a value
HEX = b"0123456789abcdefABCDEF"
NEWLINE = re.compile(rb"\n")
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class BodyPart(NamedTuple):
    """Part of an answer's body; `last` where the answer ends with it."""

    status: int
    body: memoryview
    last: bool


class ResponseParser:
    """Cuts one connection's bytes into answers, each with a stated length or in chunks."""

    def __init__(self) -> None:
        self.rest = b""
        self.status, self.left = 0, 0
        self.at = self._head

    def feed(self, data: bytes) -> Iterator[BodyPart]:
        """What has come of the answers; MalformedError where the framing is lost."""
        buffer = self.rest + data if self.rest else data
        view, start = memoryview(buffer), 0
        while True:
            piece, after = self.at(buffer, view, start)
            if piece is not None:
                yield piece
            elif after == start:
                break
            start = after
        self.rest = buffer[start:]

    def _line(self, buffer: bytes, start: int, ending: bytes) -> int:
        end = buffer.find(ending, start, start + MAX_HEAD_BYTES)
        if end < 0 and len(buffer) - start >= MAX_HEAD_BYTES:
            raise MalformedError("a head or line is too long")
        return end

    def _head(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = self._line(buffer, start, END + END)
        if end < 0:
            return None, start
        first, *fields = buffer[start:end].split(END)
        version, _, rest = first.partition(b" ")
        if not version.startswith(b"HTTP/1.") or not rest[:3].isdigit():
            raise MalformedError(f"no status line: {first[:40]!r}")
        self.status = int(rest[:3])
        named = {}
        for field in fields:
            name, _, value = field.partition(b":")
            named[name.strip().lower()] = value.strip()
        after = end + 4
        if self.status < 200:
            return None, after
        if named.get(b"transfer-encoding", b"").lower() == b"chunked":
            self.at = self._size
            return None, after
        length = b"0" if self.status in (204, 304) else named.get(b"content-length", b"")
        if not length.isdigit() or len(length) > 9:
            raise MalformedError("an answer has neither a length nor chunks")
        self.left = int(length)
        if not self.left:
            return BodyPart(self.status, view[after:after], True), after
        self.at = self._body
        return None, after

    def _body(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = min(len(buffer), start + self.left)
        if end == start:
            return None, start
        self.left -= end - start
        if not self.left:
            self.at = self._head
        return BodyPart(self.status, view[start:end], not self.left), end

    def _size(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = self._line(buffer, start, END)
        if end < 0:
            return None, start
        digits = buffer[start:end].partition(b";")[0].strip()
        if not digits or len(digits) > 8 or digits.strip(HEX):
            raise MalformedError("a chunk's length is no number")
        self.left = int(digits, 16)
        self.at = self._chunk if self.left else self._trailer
        return None, end + 2

    def _chunk(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = min(len(buffer), start + self.left)
        if end == start:
            return None, start
        self.left -= end - start
        if not self.left:
            self.at = self._chunk_end
        return BodyPart(self.status, view[start:end], False), end

    def _chunk_end(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        if len(buffer) < start + 2:
            return None, start
        if buffer[start : start + 2] != END:
            raise MalformedError("a chunk does not end where its length says")
        self.at = self._size
        return None, start + 2

    def _trailer(self, buffer: bytes, view: memoryview, start: int) -> tuple[BodyPart | None, int]:
        end = self._line(buffer, start, END)
        if end < 0:
            return None, start
        if end > start:
            return None, end + 2
        self.at = self._head
        return BodyPart(self.status, view[start:start], True), end + 2


class Splitter(Protocol):
    """Splits a body that never ends into messages."""

    def feed(self, piece: memoryview) -> Iterator[memoryview]:
        """Return the messages that a further piece completes."""
        ...


class LineSplitter:
    """Splits into lines of at most `max_length` bytes; one within a piece is a slice, others are copied."""

    def __init__(self, max_length: int) -> None:
        self.max_length, self.partial = max_length, bytearray()

    def feed(self, piece: memoryview) -> Iterator[memoryview]:
        """Return the lines that a further piece completes; MalformedError for one that is too long."""
        start = 0
        for found in NEWLINE.finditer(piece):
            line, start = piece[start : found.start()], found.end()
            if self.partial:
                line = memoryview(bytes(self.partial) + line)
                self.partial.clear()
            yield line
        self.partial += piece[start:]
        if len(self.partial) > self.max_length:
            raise MalformedError("a line is too long")


class ObjectSplitter:
    """Cuts pieces into JSON objects, on one line each or indented over many: one ends where its brackets
    close, with the line or without. An empty line outside of any is passed on as it came; within one it is
    white space. One that breaks off holds what comes after it, up to `most`: nothing is heard from then."""

    def __init__(self, max_length: int) -> None:
        self.lines, self.max_length = LineSplitter(max_length), max_length
        self.parts: list[bytes] = []
        self.size = self.open = 0

    def feed(self, piece: memoryview) -> Iterator[memoryview]:
        """Return the objects that a further piece completes; MalformedError for one that can't be read."""
        for line in self.lines.feed(piece):
            if (complete := self._take(bytes(line) + b"\n")) is not None:
                yield complete
        if self.lines.partial[-1:] == b"}":
            rest = bytes(self.lines.partial)
            if (opened := _opened(rest)) is not None and self.open + opened == 0:
                self.lines.partial.clear()
                if (complete := self._take(rest)) is not None:
                    yield complete

    def _take(self, line: bytes) -> memoryview | None:
        opened = _opened(line)
        if opened is None:
            raise MalformedError("a string does not end on its line")
        self.parts.append(line)
        self.size, self.open = self.size + len(line), self.open + opened
        if self.size > self.max_length:
            raise MalformedError("an object is too long")
        if self.open > 0:
            return None
        complete, self.parts, self.size, self.open = b"".join(self.parts), [], 0, 0
        return memoryview(complete)


def _opened(text: bytes | bytearray) -> int | None:
    """How many brackets a text opens and does not close; None where a string has not ended."""
    bare = STRING.sub(b"", text)
    if b'"' in bare:
        return None
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


def request(method: str, path: str, host: str, body: bytes = b"") -> bytes:
    """A request as it goes out."""
    fields = f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n" if body else ""
    return f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{fields}\r\n".encode() + body
