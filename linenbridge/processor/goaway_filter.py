"""GOAWAY taken out of a connection's bytes before `h2` reads them.

By the published protocol a GOAWAY says that its sender opens or takes no more streams, and those that are
open run on. `h2` ends the whole connection at one and drops what was to be written; so it never sees it. It
also keeps a frame of any length until its end has come: here its head tells. Owns the few bytes of a head
that have not wholly come, or of a GOAWAY. It must never change any other byte.
"""

from __future__ import annotations

HEAD, GOAWAY, LENGTH_MOST = 9, 7, 16_384
PREFACE = 24  # bytes that a client sends before its first frame


class GoAways:
    """Feeds on what was read; `last` holds the last stream that each GOAWAY named, `oversized` that a frame
    is longer than was allowed."""

    __slots__ = ("last", "left", "oversized", "rest")

    def __init__(self, preface: int = 0) -> None:
        self.rest, self.left = b"", preface
        self.last: list[int] = []
        self.oversized = False

    def feed(self, data: bytes) -> bytes:
        """The bytes for `h2`; what it cannot be given yet waits for the next read."""
        buffer, self.rest = self.rest + data if self.rest else data, b""
        at, kept, start = 0, [], 0
        while at < len(buffer):
            if self.left:
                step = min(self.left, len(buffer) - at)
                at, self.left = at + step, self.left - step
                continue
            if len(buffer) - at < HEAD:
                self.rest = buffer[at:]
                break
            length = int.from_bytes(buffer[at : at + 3], "big")
            self.oversized = self.oversized or length > LENGTH_MOST
            if buffer[at + 3] != GOAWAY or not 8 <= length <= LENGTH_MOST:
                self.left = HEAD + length
                continue
            if len(buffer) - at < HEAD + length:
                self.rest = buffer[at:]
                break
            self.last.append(int.from_bytes(buffer[at + HEAD : at + HEAD + 4], "big") & 0x7FFF_FFFF)
            kept.append(buffer[start:at])
            at = start = at + HEAD + length
        end = len(buffer) - len(self.rest)
        return buffer if not kept and end == len(buffer) else b"".join([*kept, buffer[start:end]])
