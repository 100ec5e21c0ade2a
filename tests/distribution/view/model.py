"""A simple model of a view: dictionaries without packing, and without the code of the tables."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from hashlib import blake2b

import msgspec

from linenbridge.distribution.changes import (
    Change,
    InstanceValue,
    Kind,
    TenantValue,
    Version,
    ZoneValue,
    sealed,
)
from linenbridge.distribution.decisions import Apply, ReplaceRange

Key = tuple[str, int, str]  # region, kind, name
RANGES = 1024
DIGEST_MODULUS = 2**64


def pack(value: object) -> bytes:
    """Return a value as MessagePack."""
    return msgspec.msgpack.encode(value)


def route_text(method: str, path: str = "/a") -> bytes:
    """Return the text of one route that matches a path prefix."""
    return f'route one {{ when path starts "{path}" method "{method}" }}'.encode()


def instance_value(build: int = 1, zone: str = "z1", state: int = 1) -> bytes:
    """Return an encoded InstanceValue."""
    return pack(InstanceValue(build, zone, "c1", state, 1.0, 1_700_000_000_000, "127.0.0.1", 9000))


def tenant_value(share: float = 0.25) -> bytes:
    """Return an encoded TenantValue."""
    return pack(TenantValue(share))


def zone_value(*, lost: bool = True) -> bytes:
    """Return an encoded ZoneValue."""
    return pack(ZoneValue(lost))


def change(kind: int, name: str, value: bytes, sequence: int, region: str = "eu", epoch: int = 1) -> Change:
    """Return a change with its checksum."""
    return sealed(region, Version(epoch, sequence), kind, name, value)


def batch(*changes: Change, upto: int | None = None, region: str = "eu", epoch: int = 1) -> Apply:
    """Return a batch of the changes, up to the last of them unless `upto` is given."""
    last = max(one.sequence for one in changes) if upto is None else upto
    return Apply(region, Version(epoch, last), list(changes))


def range_number(kind: int, name: str) -> int:
    """Return the range of a key."""
    group = name.split("/")[0] if kind == Kind.INSTANCE else name
    return zlib.crc32(f"{kind}/{group}".encode()) % RANGES


def digest(one: Change) -> int:
    """Return the digest of a change; 0 for a deletion."""
    if not one.value:
        return 0
    head = pack([one.region, one.epoch, one.sequence, one.kind, one.name])
    return int.from_bytes(blake2b(head + one.value, digest_size=8).digest(), "big")


def range_of_changes(
    region: str, changes: list[Change], number: int, upto: Version, *, final: bool
) -> ReplaceRange:
    """Return one range as a relay that has these changes would send it."""
    content = [one for one in changes if one.value and range_number(one.kind, one.name) == number]
    return ReplaceRange(region, upto, number, content, final)


class Model:
    """The expected content of a view: the newest version and the newest good version of each key."""

    def __init__(self, is_good: Callable[[int, str, bytes], bool]) -> None:
        """Create an empty model; `is_good(kind, name, value)` returns whether a value passes its checks."""
        self.is_good = is_good
        self.seen: dict[Key, Change] = {}
        self.in_force: dict[Key, Change] = {}
        self.positions: dict[str, tuple[int, int]] = {}

    def apply(self, one: Apply) -> None:
        """Apply a batch as `View.apply` has to."""
        upto = (one.upto.epoch, one.upto.sequence)
        position = self.positions.get(one.region, (0, 0))
        if upto <= position:
            return
        for found in sorted(one.changes, key=lambda found: (found.epoch, found.sequence)):
            if position < (found.epoch, found.sequence) <= upto:
                self._put(found)
        self.positions[one.region] = upto

    def _put(self, one: Change) -> None:
        key = (one.region, one.kind, one.name)
        if not one.value:
            self.seen.pop(key, None)
            self.in_force.pop(key, None)
            return
        self.seen[key] = one
        if self.is_good(one.kind, one.name, one.value):
            self.in_force[key] = one

    def replace_content(self, region: str, changes: list[Change], upto: Version) -> None:
        """Replace the region's content by that at `upto`; the last good version of a rejected key stays."""
        keys = {(one.region, one.kind, one.name) for one in changes}
        for versions in (self.seen, self.in_force):
            for key in [key for key in versions if key[0] == region and key not in keys]:
                del versions[key]
        for one in changes:
            self._put(one)
        self.positions[region] = (upto.epoch, upto.sequence)

    def digest(self, region: str) -> int:
        """Return the digest of a region."""
        return sum(digest(one) for key, one in self.seen.items() if key[0] == region) % DIGEST_MODULUS

    def ranges(self, region: str) -> list[int]:
        """Return the digests of a region's ranges."""
        found = [0] * RANGES
        for key, one in self.seen.items():
            if key[0] == region:
                number = range_number(one.kind, one.name)
                found[number] = (found[number] + digest(one)) % DIGEST_MODULUS
        return found

    def value(self, kind: int, name: str) -> bytes | None:
        """Return the value in force: that of the first region by name of those that have the key."""
        found = sorted((key[0], one.value) for key, one in self.in_force.items() if key[1:] == (kind, name))
        return found[0][1] if found else None

    def value_in_force(self, kind: int, name: str) -> bytes:
        """Return the value in force of a key that has one."""
        value = self.value(kind, name)
        assert value is not None
        return value

    def names(self, kind: int) -> set[str]:
        """Return the names of a kind that have a value in force."""
        return {key[2] for key in self.in_force if key[1] == kind}

    def rejected(self) -> set[tuple[str, int, str, int]]:
        """Return region, kind, name and sequence of each key whose newest version is not in force."""
        return {
            (*key, one.sequence)
            for key, one in self.seen.items()
            if key not in self.in_force or self.in_force[key] != one
        }
