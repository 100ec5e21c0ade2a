"""Records of a scale test: each process writes typed arrays, one JSON line each.

The checker has no other input. This module defines the format and the files and imports no core of the
distribution. Times are microseconds of the machine's monotonic clock, which all processes of one test share.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec
from msgspec import Struct

FLUSH_AT = 1 << 16  # bytes buffered before they are written


class Sent(Struct, array_like=True, frozen=True, tag="sent"):
    """A change client requests a change; `value` is the digest of the value."""

    at: int
    request: int
    region: str
    kind: int
    name: str
    value: str


class PublisherResponse(Struct, array_like=True, frozen=True, tag="response"):
    """A publisher's response: `accepted`, `in_force`, `refused` with a code, or `unconfirmed`."""

    at: int
    request: int
    region: str
    state: str
    epoch: int
    sequence: int
    code: str
    unreached: int


class Seen(Struct, array_like=True, frozen=True, tag="seen"):
    """The version of a key in a gateway's view, read right after a change was applied.

    An empty `value` means that the key was deleted.
    """

    at: int
    gateway: str
    region: str
    epoch: int
    sequence: int
    kind: int
    name: str
    value: str


class Answered(Struct, array_like=True, frozen=True, tag="answered"):
    """One request at a gateway, with the mark of each part of its answer.

    All parts that come from one change have the same mark.
    """

    at: int
    gateway: str
    name: str
    marks: list[str]


class Started(Struct, array_like=True, frozen=True, tag="started"):
    """A gateway starts an incarnation; `store_retained` is whether its store was kept."""

    at: int
    gateway: str
    store_retained: bool


class Serving(Struct, array_like=True, frozen=True, tag="serving"):
    """A gateway starts to serve from its view; `positions` are the view's sequences by region."""

    at: int
    gateway: str
    positions: dict[str, int]


class Final(Struct, array_like=True, frozen=True, tag="final"):
    """The version and the digest of a gateway's tables for one region at the end of the test."""

    at: int
    gateway: str
    region: str
    epoch: int
    sequence: int
    digest: str


class Fault(Struct, array_like=True, frozen=True, tag="fault"):
    """A fault that the test injected: `what` happened to the process `who`."""

    at: int
    what: str
    who: str


class Usage(Struct, array_like=True, frozen=True, tag="usage"):
    """The resources that one process used between two readings.

    `seconds` is the time between the readings and `processor` the seconds of processor time; `received` and
    `sent` are bytes on the links of the process; `memory` is resident bytes at the second reading.
    """

    at: int
    process: str
    role: str
    gateways: int
    seconds: float
    processor: float
    received: int
    sent: int
    memory: int


Record = Sent | PublisherResponse | Seen | Answered | Started | Serving | Final | Fault | Usage

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Record).decode


def now() -> int:
    """Return the time of the machine's monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


class Recorder:
    """The record file of one process, opened for appending; `flush` writes the buffered lines."""

    def __init__(self, path: Path) -> None:
        self.file: BinaryIO = open(path, "ab", buffering=0)  # noqa: SIM115  (closed by `close`)
        self.buffered = bytearray()

    def write(self, record: Record) -> None:
        """Append a record."""
        self.buffered += _encode(record)
        self.buffered += b"\n"
        if len(self.buffered) >= FLUSH_AT:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines."""
        self.file.write(self.buffered)
        self.buffered.clear()

    def close(self) -> None:
        """Flush and close the file."""
        self.flush()
        self.file.close()


def read(folder: Path) -> Iterator[Record]:
    """Yield all records of a test, file by file.

    A truncated last line, as a killed process may leave one, is skipped.
    """
    for path in sorted(folder.glob("*.records")):
        with open(path, "rb") as lines:
            for line in lines:
                if line.endswith(b"\n"):
                    yield _decode(line)
