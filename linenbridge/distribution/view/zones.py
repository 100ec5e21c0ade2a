"""Zones that a region declares lost: one change removes all instances of a zone from service.

The table owns the records of the zones. They are not packed, because there are few.
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
    """One region's record of a zone."""

    region: int
    epoch: int
    sequence: int
    digest: int
    lost: bool


class ZoneTable:
    """Records of zones, by name and region index; a `tables.RecordTable`."""

    def __init__(self, regions: Regions) -> None:
        """Create an empty table; `regions` gives the region of an index."""
        self.regions = regions
        self.records: dict[str, dict[int, ZoneRecord]] = {}
        self.changed: set[str] = set()

    def lost(self, name: str) -> bool:
        """Return whether a zone is lost; none of its instances is ready then."""
        record = first_by_region(self.records.get(name, {}), self.regions.by_index)
        return record is not None and record.lost

    def digest(self, region: Region, name: str) -> int:
        """Return the digest of the region's record of a zone; 0 if there is none."""
        record = self.records.get(name, {}).get(region.index)
        return 0 if record is None else record.digest

    def put(self, region: Region, change: Change, value: ZoneValue) -> None:
        """Set the region's record of a zone."""
        record = ZoneRecord(region.index, change.epoch, change.sequence, digest_of(change), value.lost)
        self.records.setdefault(change.name, {})[region.index] = record
        self.changed.add(change.name)

    def remove(self, region: Region, name: str) -> None:
        """Remove the region's record of a zone, if there is one."""
        records = self.records.get(name, {})
        if records.pop(region.index, None) is None:
            return
        self.changed.add(name)
        if not records:
            del self.records[name]

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        """Remove the region's records of all other zones of the range `number`."""
        for name in [name for name in self.records if range_of(Kind.ZONE, name) == number]:
            if name not in retained:
                self.remove(region, name)

    def commit(self) -> None:
        """Do nothing: records are not packed."""

    def take_changed_pages(self) -> Iterator[StoredPage]:
        """Yield one page for each zone that changed since the last call."""
        changed = self.changed
        self.changed = set()
        for name in sorted(changed):
            records = list(self.records.get(name, {}).values())
            yield StoredPage(PageKind.ZONE, name, 0, msgspec.msgpack.encode(records) if records else None)

    def load(self, page: StoredPage) -> None:
        """Add the records of one zone; raise a msgspec error if the page cannot be decoded."""
        records = msgspec.msgpack.decode(page.body or b"", type=list[ZoneRecord])
        self.records[page.name] = {record.region: record for record in records}

    def finish_loading(self) -> None:
        """Do nothing: each page is complete."""
