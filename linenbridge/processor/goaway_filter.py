"""Removes GOAWAY frames from a connection's bytes before `h2` reads them.

By RFC 9113 (section 6.8) the sender of a GOAWAY opens or takes no more streams, and open ones run on. `h2`
ends the whole connection at a GOAWAY and drops what was to be written, so it is never given one. It also
buffers a frame of any length until its end has come; here its head shows that it is too long. The filter
holds the bytes of an incomplete head or GOAWAY, and changes no other byte.
"""

from __future__ import annotations

FRAME_HEADER_LENGTH = 9  # bytes of a frame's head
GOAWAY = 7  # type of the frame
MIN_GOAWAY_LENGTH = 8  # bytes: the last stream and an error code
MAX_FRAME_LENGTH = 16_384  # bytes: the protocol's default, which is not raised here
PREFACE = 24  # bytes that a client sends before its first frame
STREAM_MASK = 0x7FFF_FFFF  # the highest bit of a stream's number is reserved


class GoAwayFilter:
    """Takes bytes as they are read. `last_streams` holds the last stream that each GOAWAY named; `oversized`
    is set by a frame that is longer than allowed. `preface` bytes are passed before the first frame."""

    __slots__ = ("incomplete", "last_streams", "oversized", "passing")

    def __init__(self, preface: int = 0) -> None:
        self.incomplete = b""
        self.passing = preface  # bytes to come that belong to a frame which is passed on
        self.last_streams: list[int] = []
        self.oversized = False

    def feed(self, data: bytes) -> bytes:
        """The bytes for `h2`; bytes of an incomplete head or GOAWAY wait for the next read."""
        buffer = self.incomplete + data if self.incomplete else data
        self.incomplete = b""
        passed: list[bytes] = []  # pieces before GOAWAY frames
        start = 0  # of the piece that is being passed
        offset = 0
        while offset < len(buffer):
            if self.passing:
                step = min(self.passing, len(buffer) - offset)
                offset += step
                self.passing -= step
                continue
            if len(buffer) - offset < FRAME_HEADER_LENGTH:
                self.incomplete = buffer[offset:]
                break
            length = int.from_bytes(buffer[offset : offset + 3], "big")
            self.oversized = self.oversized or length > MAX_FRAME_LENGTH
            if buffer[offset + 3] != GOAWAY or not MIN_GOAWAY_LENGTH <= length <= MAX_FRAME_LENGTH:
                self.passing = FRAME_HEADER_LENGTH + length
                continue
            if len(buffer) - offset < FRAME_HEADER_LENGTH + length:
                self.incomplete = buffer[offset:]
                break
            last_stream = int.from_bytes(
                buffer[offset + FRAME_HEADER_LENGTH : offset + FRAME_HEADER_LENGTH + 4], "big"
            )
            self.last_streams.append(last_stream & STREAM_MASK)
            passed.append(buffer[start:offset])
            offset += FRAME_HEADER_LENGTH + length
            start = offset
        end = len(buffer) - len(self.incomplete)
        if not passed and end == len(buffer):
            return buffer
        return b"".join([*passed, buffer[start:end]])
