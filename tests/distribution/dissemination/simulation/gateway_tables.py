"""What the simulated gateways have in force, and the record of how it came about."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from linenbridge.distribution.changes import (
    Change,
    Version,
    added,
    digest_of,
    range_of,
    removed,
)


@dataclass(frozen=True)
class InForce:
    """One line of the record: at a gateway, a key is now at a version (None: it is removed). Without a
    region: the gateway was started with an emptied store."""

    at: int
    gateway: str
    region: str
    kind: int
    name: str
    version: Version | None
    value: bytes


class Tables:
    """What one gateway has in force: plain dicts by region, written by the rules of the interface's text."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[tuple[int, str], Change]] = defaultdict(dict)
        self.sums: dict[str, int] = defaultdict(int)
        self.at: dict[str, Version] = {}

    def put(self, change: Change) -> bool:
        rows = self.rows[change.region]
        old = rows.get(change.key)
        if old is not None and old.version >= change.version:
            return False
        if old is not None:
            self.sums[change.region] = removed(self.sums[change.region], old)
        rows[change.key] = change
        self.sums[change.region] = added(self.sums[change.region], change)
        return True

    def drop(self, region: str, key: tuple[int, str]) -> None:
        self.sums[region] = removed(self.sums[region], self.rows[region].pop(key))

    def range_digests(self, region: str) -> bytes:
        sums = [0] * 1024
        for change in self.rows[region].values():
            index = range_of(change.kind, change.name)
            sums[index] = (sums[index] + digest_of(change)) % (1 << 64)
        return b"".join(each.to_bytes(8, "big") for each in sums)
