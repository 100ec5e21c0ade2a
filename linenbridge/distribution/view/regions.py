"""How far a view is in each region's log, and the digests of what it holds of each.

Keeps state without I/O. It must never know a key's value.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import RANGES, START, Position, Version
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.view.results import PageKind, StoredPage

CHUNK = 64  # ranges whose digests share a stored page
REGIONS_MOST = 255  # their index is one byte in packed pages
MASK = (1 << 64) - 1


class RegionRecord(Struct, array_like=True, frozen=True):
    """A region as it is stored. `floors` are the ranges that were replaced at a version beyond the
    position."""

    index: int
    position: Version
    floors: dict[int, Version]


class Region:
    """One region's position and digests. `index` stands for its name in packed pages."""

    def __init__(self, name: str, index: int) -> None:
        self.name, self.index = name, index
        self.position = START
        self.floors: dict[int, Version] = {}
        self.digests = array("Q", bytes(8 * RANGES))
        self.total = 0
        self.changed = True
        self.changed_chunks: set[int] = set()

    def known(self, number: int, version: Version) -> bool:
        """Whether a change of a range at that version has been seen, or replaced by newer content."""
        return version <= max(self.position, self.floors.get(number, START))

    def add(self, number: int, difference: int) -> None:
        """One key's digest less that of its earlier version, for its range and the whole."""
        self.digests[number] = (self.digests[number] + difference) & MASK
        self.total = (self.total + difference) & MASK
        self.changed_chunks.add(number // CHUNK)

    def move(self, upto: Version) -> None:
        self.position = upto
        self.floors = {number: floor for number, floor in self.floors.items() if floor > upto}
        self.changed = True

    def raise_floor(self, number: int, upto: Version) -> None:
        """The range is complete at `upto`, even where that is beyond the position."""
        if upto > self.position:
            self.floors[number] = upto
            self.changed = True

    def digest(self) -> int | None:
        """That of the whole table at the position; None while it stands at no single version."""
        return None if self.floors else self.total

    def stored_position(self) -> Position:
        return Position(self.name, self.position.epoch, self.position.sequence)

    def dirty(self) -> Iterator[StoredPage]:
        """What has changed since the last call, to be stored."""
        if self.changed:
            record = RegionRecord(self.index, self.position, self.floors)
            yield StoredPage(PageKind.REGION, self.name, 0, msgspec.msgpack.encode(record))
        for chunk in sorted(self.changed_chunks):
            part = self.digests[chunk * CHUNK : (chunk + 1) * CHUNK]
            yield StoredPage(PageKind.DIGESTS, self.name, chunk, part.tobytes())
        self.changed = False
        self.changed_chunks = set()


class Regions:
    """All regions, by name and by index."""

    def __init__(self) -> None:
        self.by_name: dict[str, Region] = {}
        self.by_index: list[Region] = []

    def get(self, name: str) -> Region:
        """The region of that name; a new one takes the next index."""
        region = self.by_name.get(name)
        if region is None:
            region = self._add(name, len(self.by_index))
        return region

    def _add(self, name: str, index: int) -> Region:
        if index >= REGIONS_MOST:
            raise ChangeRejected(f"more than {REGIONS_MOST} regions", name)
        region = self.by_name[name] = Region(name, index)
        self.by_index.append(region)
        return region

    def load(self, pages: list[StoredPage]) -> None:
        """Regions and their digests as stored."""
        records = [
            (page.name, msgspec.msgpack.decode(page.body or b"", type=RegionRecord))
            for page in pages
            if page.kind == PageKind.REGION
        ]
        for name, record in sorted(records, key=lambda pair: pair[1].index):
            region = self._add(name, len(self.by_index))
            if record.index != region.index:
                raise ValueError(f"region {name} has index {record.index} instead of {region.index}")
            region.position, region.floors = record.position, record.floors
            region.changed = False
        for page in pages:
            if page.kind == PageKind.DIGESTS:
                self._load_digests(self.by_name[page.name], page)
        for region in self.by_index:
            region.total = sum(region.digests) & MASK

    @staticmethod
    def _load_digests(region: Region, page: StoredPage) -> None:
        part = array("Q", page.body or b"")
        if len(part) != CHUNK:
            raise ValueError(f"{len(part)} digests in a page of {CHUNK}")
        region.digests[page.number * CHUNK : (page.number + 1) * CHUNK] = part
