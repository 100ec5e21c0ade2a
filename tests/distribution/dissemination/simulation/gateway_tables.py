"""The tables that the simulated gateways have in force, and the lines of the record of their changes."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from functools import lru_cache

from linenbridge.distribution.changes import (
    RANGES,
    Change,
    Version,
    added,
    digest_of,
    range_of,
    removed,
)
from linenbridge.distribution.decisions import ReplaceRange

Key = tuple[int, str]
_range_of = lru_cache(maxsize=None)(range_of)


@dataclass(frozen=True)
class InForce:
    """One line of the record: a key is now in force at a version at a gateway.

    The version is None if the key was removed. A line with an empty region records that the gateway was
    started with an empty store.
    """

    at: int
    gateway: str
    region: str
    kind: int
    name: str
    version: Version | None
    value: bytes


class Tables:
    """The changes that one gateway has in force, as plain dicts by region."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[Key, Change]] = defaultdict(dict)
        self.region_digests: dict[str, int] = defaultdict(int)
        self.at: dict[str, Version] = {}

    def put(self, change: Change) -> bool:
        """Store a change. Return False if it is not newer than the stored one."""
        rows = self.rows[change.region]
        old = rows.get(change.key)
        if old is not None and old.version >= change.version:
            return False
        if old is not None:
            self.region_digests[change.region] = removed(self.region_digests[change.region], old)
        rows[change.key] = change
        self.region_digests[change.region] = added(self.region_digests[change.region], change)
        return True

    def drop(self, region: str, key: Key) -> None:
        """Remove a key."""
        self.region_digests[region] = removed(self.region_digests[region], self.rows[region].pop(key))

    def remove_absent(self, snapshot: ReplaceRange) -> list[Key]:
        """Remove the keys of the range that are not in the snapshot and not newer than it. Return them."""
        present = {change.key for change in snapshot.changes}
        absent = [
            key
            for key, change in self.rows[snapshot.region].items()
            if key not in present
            and _range_of(*key) == snapshot.range_index
            and change.version <= snapshot.upto
        ]
        for key in absent:
            self.drop(snapshot.region, key)
        return absent

    def range_digests(self, region: str) -> bytes:
        """Return the digests of all ranges, 8 bytes each."""
        region_digests = [0] * RANGES
        for change in self.rows[region].values():
            index = range_of(change.kind, change.name)
            region_digests[index] = (region_digests[index] + digest_of(change)) % (1 << 64)
        return b"".join(each.to_bytes(8, "big") for each in region_digests)
