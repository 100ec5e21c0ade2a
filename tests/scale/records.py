"""What processes of a scale test write down, as typed arrays, a JSON line each; the checker reads nothing
else.

Owns the form and the files. Times are microseconds of the machine's monotonic clock, which all processes
of one test share. It must never know a core of the distribution.
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
    """A change client requests a change; the value's digest stands for the value."""

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
    """A gateway's view, read right after a change was applied: which version of a key it answers by. An
    empty value: the key is gone."""

    at: int
    gateway: str
    region: str
    epoch: int
    sequence: int
    kind: int
    name: str
    value: str


class Answered(Struct, array_like=True, frozen=True, tag="answered"):
    """One request at a gateway: the marks that the parts of its answer carry. All of one change carry the
    same."""

    at: int
    gateway: str
    name: str
    marks: list[str]


class Started(Struct, array_like=True, frozen=True, tag="started"):
    """A gateway begins an incarnation; `store_retained`: whether its store was."""

    at: int
    gateway: str
    store_retained: bool


class Serving(Struct, array_like=True, frozen=True, tag="serving"):
    """A gateway answers by its view from here on, at these sequences by region."""

    at: int
    gateway: str
    positions: dict[str, int]


class Final(Struct, array_like=True, frozen=True, tag="final"):
    """A gateway's table of one region at the end: where it is, and its digest."""

    at: int
    gateway: str
    region: str
    epoch: int
    sequence: int
    digest: str


class Fault(Struct, array_like=True, frozen=True, tag="fault"):
    """What the test did to a process."""

    at: int
    what: str
    who: str


class Usage(Struct, array_like=True, frozen=True, tag="usage"):
    """What one process used between two readings: for so many gateways, in seconds of processor time and
    bytes read from its links; `memory` is resident bytes at the end."""

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
    """Microseconds of the machine's monotonic clock."""
    return time.monotonic_ns() // 1000


class Recorder:
    """One process's file, appended to; buffered lines are written at `flush`."""

    def __init__(self, path: Path) -> None:
        self.file: BinaryIO = open(path, "ab", buffering=0)  # noqa: SIM115  (closed by `close`)
        self.buffered = bytearray()

    def write(self, record: Record) -> None:
        self.buffered += _encode(record)
        self.buffered += b"\n"
        if len(self.buffered) >= FLUSH_AT:
            self.flush()

    def flush(self) -> None:
        self.file.write(self.buffered)
        self.buffered.clear()

    def close(self) -> None:
        self.flush()
        self.file.close()


def read(folder: Path) -> Iterator[Record]:
    """All records of a test, file by file. The last line of a process that was killed may be cut."""
    for path in sorted(folder.glob("*.records")):
        with open(path, "rb") as lines:
            for line in lines:
                if line.endswith(b"\n"):
                    yield _decode(line)
