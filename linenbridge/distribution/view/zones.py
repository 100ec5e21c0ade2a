"""Zones that are said to be lost, over all instances: one change, whatever their number.

Keeps state without I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import Change, Kind, ZoneValue, digest_of, range_of
from linenbridge.distribution.view.regions import Region, Regions
from linenbridge.distribution.view.results import PageKind, StoredPage
from linenbridge.distribution.view.tables import first_by_region


class ZoneRecord(Struct, array_like=True, frozen=True):
    """One region's word on a zone."""

    region: int
    epoch: int
    sequence: int
    digest: int
    lost: bool


class ZoneTable:
    """A few zones, unpacked."""

    def __init__(self, regions: Regions) -> None:
        self.regions = regions
        self.records: dict[str, dict[int, ZoneRecord]] = {}
        self.changed: set[str] = set()

    def lost(self, name: str) -> bool:
        """Whether a zone has no instance that is ready."""
        found = first_by_region(self.records.get(name, {}), self.regions.by_index)
        return found is not None and found.lost

    def digest(self, region: Region, name: str) -> int:
        record = self.records.get(name, {}).get(region.index)
        return 0 if record is None else record.digest

    def put(self, region: Region, change: Change, value: ZoneValue) -> None:
        record = ZoneRecord(region.index, change.epoch, change.sequence, digest_of(change), value.lost)
        self.records.setdefault(change.name, {})[region.index] = record
        self.changed.add(change.name)

    def remove(self, region: Region, name: str) -> None:
        records = self.records.get(name, {})
        if records.pop(region.index, None) is not None:
            self.changed.add(name)
            if not records:
                del self.records[name]

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        for name in [name for name in self.records if range_of(Kind.ZONE, name) == number]:
            if name not in retained:
                self.remove(region, name)

    def commit(self) -> None: ...

    def take_changed_pages(self) -> Iterator[StoredPage]:
        changed, self.changed = self.changed, set()
        for name in sorted(changed):
            records = list(self.records.get(name, {}).values())
            yield StoredPage(PageKind.ZONE, name, 0, msgspec.msgpack.encode(records) if records else None)

    def load(self, page: StoredPage) -> None:
        records = msgspec.msgpack.decode(page.body or b"", type=list[ZoneRecord])
        self.records[page.name] = {record.region: record for record in records}

    def finish_loading(self) -> None: ...
