"""Removes GOAWAY frames from a connection's bytes before `h2` reads them.

After a GOAWAY no new streams are opened, but open streams continue (RFC 9113, section 6.8). `h2` closes the
whole connection at a GOAWAY and drops unsent data, so GOAWAY frames are withheld from it. `h2` also buffers a
frame of any length until it is complete; the filter detects an oversized frame from its header. The filter
buffers the bytes of an incomplete frame header or GOAWAY frame, and passes all other bytes unchanged.
"""

from __future__ import annotations

FRAME_HEADER_LENGTH = 9  # bytes
GOAWAY = 7  # frame type
MIN_GOAWAY_LENGTH = 8  # bytes: the last stream id and the error code
MAX_FRAME_LENGTH = 16_384  # bytes: the default of SETTINGS_MAX_FRAME_SIZE, which this server keeps
PREFACE = 24  # bytes of the client connection preface
STREAM_MASK = 0x7FFF_FFFF  # the highest bit of a stream id is reserved


class GoAwayFilter:
    """A filter for the bytes that a connection receives.

    `last_streams` holds the last stream id of each GOAWAY. `oversized` is set once a frame exceeds
    MAX_FRAME_LENGTH. The first `preface` bytes are passed unchanged.
    """

    __slots__ = ("incomplete", "last_streams", "oversized", "passing")

    def __init__(self, preface: int = 0) -> None:
        self.incomplete = b""
        self.passing = preface  # remaining bytes of the preface or of a frame that is passed
        self.last_streams: list[int] = []
        self.oversized = False

    def feed(self, data: bytes) -> bytes:
        """Return the bytes for `h2`; an incomplete frame header or GOAWAY is kept for the next read."""
        buffer = self.incomplete + data if self.incomplete else data
        self.incomplete = b""
        passed: list[bytes] = []  # pieces before GOAWAY frames
        start = 0  # of the piece that is passed next
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
