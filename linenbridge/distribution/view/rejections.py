"""Keys whose newest version was rejected.

The rejected version counts in the digests, while the last good version stays in force. The table owns the
key, version and reason of each rejection, but not the rejected value.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import Change, Version, digest_of, range_of
from linenbridge.distribution.view.regions import Region
from linenbridge.distribution.view.results import PageKind, RejectedChange, StoredPage

Key = tuple[str, int, str]  # region, kind, name; JSON-encoded, the name of a stored page


class RejectionRecord(Struct, array_like=True, frozen=True):
    """The version, digest and rejection reason of a change; its value is not stored."""

    epoch: int
    sequence: int
    digest: int
    reason: str


class RejectionTable:
    """Rejections by key; each is kept until the key changes again."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.records: dict[Key, RejectionRecord] = {}
        self.by_range: dict[tuple[str, int], set[Key]] = {}
        self.changed: set[Key] = set()

    def digest(self, region: Region, kind: int, name: str) -> int | None:
        """Return the digest of the key's newest version if it was rejected; None if it was not."""
        record = self.records.get((region.name, kind, name))
        return None if record is None else record.digest

    def put(self, region: Region, change: Change, reason: str) -> None:
        """Record that the change was rejected."""
        key = (region.name, change.kind, change.name)
        self._add(key, RejectionRecord(change.epoch, change.sequence, digest_of(change), reason))
        self.changed.add(key)

    def _add(self, key: Key, record: RejectionRecord) -> None:
        self.records[key] = record
        self.by_range.setdefault(_range(key), set()).add(key)

    def remove(self, region: Region, kind: int, name: str) -> None:
        """Remove the rejection of a key, if there is one."""
        key = (region.name, kind, name)
        if self.records.pop(key, None) is None:
            return
        self.changed.add(key)
        keys_of_range = self.by_range[_range(key)]
        keys_of_range.remove(key)
        if not keys_of_range:
            del self.by_range[_range(key)]

    def retain(self, region: Region, number: int, keys: Collection[tuple[int, str]]) -> None:
        """Remove the region's rejections of all other keys (kind, name) of the range `number`."""
        for _, kind, name in list(self.by_range.get((region.name, number), ())):
            if (kind, name) not in keys:
                self.remove(region, kind, name)

    def all(self) -> Iterator[RejectedChange]:
        """Yield every key whose newest version is not the one in force, sorted by region, kind and name."""
        for (region, kind, name), record in sorted(self.records.items()):
            version = Version(record.epoch, record.sequence)
            yield RejectedChange(region, version, kind, name, record.reason)

    def take_changed_pages(self) -> Iterator[StoredPage]:
        """Yield one page for each rejection that changed since the last call."""
        changed = self.changed
        self.changed = set()
        for key in sorted(changed):
            record = self.records.get(key)
            body = None if record is None else msgspec.msgpack.encode(record)
            yield StoredPage(PageKind.REJECTION, msgspec.json.encode(key).decode(), 0, body)

    def load(self, page: StoredPage) -> None:
        """Add one stored rejection; raise a msgspec error if the page cannot be decoded."""
        key = msgspec.json.decode(page.name, type=Key)
        self._add(key, msgspec.msgpack.decode(page.body or b"", type=RejectionRecord))


def _range(key: Key) -> tuple[str, int]:
    region, kind, name = key
    return region, range_of(kind, name)
