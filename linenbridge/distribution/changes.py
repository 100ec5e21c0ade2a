"""Versioned changes: what is published, which region owns it, and how its bytes are checked.

Pure functions and values. A change sets a new value for one key, which one region owns. The versions of a
region are ordered by (epoch, sequence): the epoch is the term of the publisher's lease, and the sequence is
the place in the region's log, without gaps from 1. Followers receive only changes that a majority of the
region's relays has on disk, so that no two changes with the same sequence leave the region's relays.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from zlib import crc32

import msgspec
from msgspec import Struct

RANGES = 1024  # parts into which a region's keys are divided for digests and for complete transfers
MAX_VALUE_BYTES = 48_000  # of one value: a change has to fit into one message of a link
MAX_NAME_CHARACTERS = 256  # of one key's name
DIGEST_BYTES = 8  # of a key, a range or a table
DIGEST_MASK = (1 << 64) - 1  # digests and checksums are added modulo 2**64


class Kind(IntEnum):
    """The type of a key, which determines the format of its value."""

    LOG = 0  # an entry about the log itself, always empty, for relays only (log/region_log.py)
    ROUTES = 1  # name: a service (authority); value: its rules in the routes' language, UTF-8
    TENANT = 2  # name: a tenant; value: TenantValue
    INSTANCE = 3  # name: service/instance; value: InstanceValue
    ZONE = 4  # name: a zone; value: ZoneValue


class TenantValue(Struct, array_like=True, frozen=True):
    """A tenant's quota: the share of the load that it may use, 0 to 1."""

    share: float


class InstanceValue(Struct, array_like=True, frozen=True):
    """An endpoint of a service, with its address.

    The values of `state` are defined in `interface.py`; `started` is Unix time in milliseconds. The names of
    the fields are those of the JSON object that the command `publish` reads."""

    build: int
    zone: str
    cell: str
    state: int
    size: float
    started: int
    host: str
    port: int


class ZoneValue(Struct, array_like=True, frozen=True):
    """Whether a zone is lost. No instance of a lost zone is ready, whatever the state in its own entry, so
    that one change takes the whole zone out."""

    lost: bool


class Version(Struct, array_like=True, frozen=True, order=True):
    """One place in a region's log."""

    epoch: int
    sequence: int


START = Version(0, 0)


class Position(Struct, array_like=True, frozen=True):
    """A follower's newest version of one region. All positions of a follower are its version vector."""

    region: str
    epoch: int
    sequence: int

    @property
    def version(self) -> Version:
        """Epoch and sequence of the position."""
        return Version(self.epoch, self.sequence)


class Change(Struct, array_like=True, frozen=True):
    """A new value for one key; an empty value deletes the key. `checksum` is computed by the publisher over
    all other fields."""

    region: str
    epoch: int
    sequence: int
    kind: int
    name: str
    value: bytes
    checksum: int = 0

    @property
    def version(self) -> Version:
        """Epoch and sequence of the change."""
        return Version(self.epoch, self.sequence)

    @property
    def key(self) -> tuple[int, str]:
        """Kind and name, which identify the key that the change sets."""
        return self.kind, self.name


def _checksum(change: Change) -> int:
    return crc32(msgspec.msgpack.encode(msgspec.structs.replace(change, checksum=0)))


def sealed(region: str, version: Version, kind: int, name: str, value: bytes) -> Change:
    """Return a change with its checksum."""
    change = Change(region, version.epoch, version.sequence, kind, name, value)
    return msgspec.structs.replace(change, checksum=_checksum(change))


def intact(change: Change) -> bool:
    """Return whether the change matches the checksum that its publisher computed."""
    return change.checksum == _checksum(change)


def group_of(kind: int, name: str) -> str:
    """Return the group of keys that are stored and transferred together: all instances of one service have
    one group, every other key has its own."""
    return name.partition("/")[0] if kind == Kind.INSTANCE else name


def range_of(kind: int, name: str) -> int:
    """Return the index of a key's range, from 0 to RANGES - 1."""
    return crc32(f"{kind}/{group_of(kind, name)}".encode()) % RANGES


def digest_of(change: Change) -> int:
    """Return the digest, 64 bits, of one key at one version and value; it is 0 for a deletion.

    A table's digest is the sum of its keys' digests modulo 2**64, and so does not depend on their order."""
    if not change.value:
        return 0
    key = (change.region, change.epoch, change.sequence, change.kind, change.name)
    encoded = msgspec.msgpack.encode(key) + change.value
    return int.from_bytes(blake2b(encoded, digest_size=DIGEST_BYTES).digest(), "big")


def added(digest: int, change: Change) -> int:
    """Return a table's digest after this change was added to the table."""
    return (digest + digest_of(change)) & DIGEST_MASK


def removed(digest: int, change: Change) -> int:
    """Return a table's digest after this change was removed from the table."""
    return (digest - digest_of(change)) & DIGEST_MASK
