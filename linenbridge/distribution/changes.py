"""Versioned changes: what is published, which region owns it, and how its bytes are checked.

Pure functions and values. A change names one key, owned by one region, and its new value. Versions of one
region are ordered by (epoch, sequence): the epoch is the term of the publisher's lease, the sequence the
place in the region's log, dense from 1. Only what a majority of the region's relays has on disk reaches a
follower, so two changes of a region never share a sequence outside its relays.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from zlib import crc32

import msgspec
from msgspec import Struct

RANGES = 1024  # number of parts of a region's keys, for digests and for complete transfers
MAX_VALUE_BYTES = 48_000  # of one value: a change has to fit into one message of a link
MAX_NAME_CHARACTERS = 256  # of one key's name
DIGEST_BYTES = 8  # of a key, a range or a table
DIGEST_MASK = (1 << 64) - 1  # digests and checksums are added modulo 2**64


class Kind(IntEnum):
    """What a key is about, and with it the form of its value."""

    LOG = 0  # an entry of the log about itself, always empty, for relays alone (log/region_log.py)
    ROUTES = 1  # name: a service (authority); value: its rules in the routes' language, UTF-8
    TENANT = 2  # name: a tenant; value: TenantValue
    INSTANCE = 3  # name: service/instance; value: InstanceValue
    ZONE = 4  # name: a zone; value: ZoneValue


class TenantValue(Struct, array_like=True, frozen=True):
    """A tenant's quota: the share of the load that it may use, 0 to 1."""

    share: float


class InstanceValue(Struct, array_like=True, frozen=True):
    """An endpoint of a service, with its address. `state` as in interface.py; `started` is Unix time in
    milliseconds. The names of the fields are those of the JSON object that `publish` reads."""

    build: int
    zone: str
    cell: str
    state: int
    size: float
    started: int
    host: str
    port: int


class ZoneValue(Struct, array_like=True, frozen=True):
    """Whether a zone is lost. No instance of a lost zone is ready, whatever its own entry says: one
    change."""

    lost: bool


class Version(Struct, array_like=True, frozen=True, order=True):
    """One place in a region's log."""

    epoch: int
    sequence: int


START = Version(0, 0)


class Position(Struct, array_like=True, frozen=True):
    """How far a follower is in one region's log. All positions of a follower are its version vector."""

    region: str
    epoch: int
    sequence: int

    @property
    def version(self) -> Version:
        """The place in the region's log."""
        return Version(self.epoch, self.sequence)


class Change(Struct, array_like=True, frozen=True):
    """One key's new value; an empty one deletes it. `checksum` is the publisher's, over all other fields."""

    region: str
    epoch: int
    sequence: int
    kind: int
    name: str
    value: bytes
    checksum: int = 0

    @property
    def version(self) -> Version:
        """The place in the region's log."""
        return Version(self.epoch, self.sequence)

    @property
    def key(self) -> tuple[int, str]:
        """What the change is about: kind and name."""
        return self.kind, self.name


def _checksum(change: Change) -> int:
    return crc32(msgspec.msgpack.encode(msgspec.structs.replace(change, checksum=0)))


def sealed(region: str, version: Version, kind: int, name: str, value: bytes) -> Change:
    """A change with its checksum."""
    change = Change(region, version.epoch, version.sequence, kind, name, value)
    return msgspec.structs.replace(change, checksum=_checksum(change))


def intact(change: Change) -> bool:
    """Whether the bytes are those that the publisher sealed."""
    return change.checksum == _checksum(change)


def group_of(kind: int, name: str) -> str:
    """What is stored and transferred together: the instances of one service, else each key by itself."""
    return name.partition("/")[0] if kind == Kind.INSTANCE else name


def range_of(kind: int, name: str) -> int:
    """Which of a region's RANGES a key belongs to."""
    return crc32(f"{kind}/{group_of(kind, name)}".encode()) % RANGES


def digest_of(change: Change) -> int:
    """64 bits that stand for one key at one version and value. A table's digest is their sum modulo 2**64, in
    any order; a deletion adds nothing."""
    if not change.value:
        return 0
    key = (change.region, change.epoch, change.sequence, change.kind, change.name)
    encoded = msgspec.msgpack.encode(key) + change.value
    return int.from_bytes(blake2b(encoded, digest_size=DIGEST_BYTES).digest(), "big")


def added(digest: int, change: Change) -> int:
    """A table's digest once it holds this change."""
    return (digest + digest_of(change)) & DIGEST_MASK


def removed(digest: int, change: Change) -> int:
    """A table's digest once it no longer holds this change."""
    return (digest - digest_of(change)) & DIGEST_MASK
