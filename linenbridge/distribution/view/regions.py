"""The position of a view in each region's log, and the digests of its content of each region.

The module owns positions, floors (versions of ranges that are ahead of the position) and digests; it holds no
values.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import RANGES, START, Position, Version
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.view.results import PageKind, StoredPage

DIGESTS_PER_PAGE = 64  # one for each range
DIGEST_BYTES = 8
MAX_REGIONS = 255  # the index of a region is one byte in packed pages
DIGEST_MASK = (1 << 64) - 1


class RegionRecord(Struct, array_like=True, frozen=True):
    """A region as stored; `floors` has the version of each range that is ahead of the position."""

    index: int
    position: Version
    floors: dict[int, Version]


class Region:
    """The position and the digests of one region. `index` represents its name in packed pages."""

    def __init__(self, name: str, index: int) -> None:
        """Create a region at the start of its log."""
        self.name = name
        self.index = index
        self.position = START
        self.floors: dict[int, Version] = {}
        self.digests = array("Q", bytes(DIGEST_BYTES * RANGES))
        self.total_digest = 0
        self.changed = True
        self.changed_pages: set[int] = set()

    def has_seen(self, number: int, version: Version) -> bool:
        """Return whether the content of the range `number` includes changes up to that version."""
        return version <= max(self.position, self.floors.get(number, START))

    def is_ahead_of(self, number: int, version: Version) -> bool:
        """Return whether the range `number` is complete at a version newer than `version`."""
        return version < max(self.position, self.floors.get(number, self.position))

    def add(self, number: int, difference: int) -> None:
        """Add the new digest of a key less its earlier one to the digests of its range and of the region."""
        self.digests[number] = (self.digests[number] + difference) & DIGEST_MASK
        self.total_digest = (self.total_digest + difference) & DIGEST_MASK
        self.changed_pages.add(number // DIGESTS_PER_PAGE)

    def advance_to(self, upto: Version) -> None:
        """Set the position to `upto` and drop the floors at or before it."""
        self.position = upto
        self.floors = {number: floor for number, floor in self.floors.items() if floor > upto}
        self.changed = True

    def raise_floor(self, number: int, upto: Version) -> None:
        """Record that the range `number` is complete at `upto`, if that is after the position."""
        if upto > self.position:
            self.floors[number] = upto
            self.changed = True

    def digest(self) -> int | None:
        """Return the digest of the whole region at the position; None while a range is ahead of it."""
        return None if self.floors else self.total_digest

    def stored_position(self) -> Position:
        """Return the position with the region's name."""
        return Position(self.name, self.position.epoch, self.position.sequence)

    def take_changed_pages(self) -> Iterator[StoredPage]:
        """Yield the region's page and pages of digests that changed since the last call."""
        if self.changed:
            record = RegionRecord(self.index, self.position, self.floors)
            yield StoredPage(PageKind.REGION, self.name, 0, msgspec.msgpack.encode(record))
        for number in sorted(self.changed_pages):
            part = self.digests[number * DIGESTS_PER_PAGE : (number + 1) * DIGESTS_PER_PAGE]
            yield StoredPage(PageKind.DIGESTS, self.name, number, part.tobytes())
        self.changed = False
        self.changed_pages = set()

    def load_digests(self, page: StoredPage) -> None:
        """Set the digests of one stored page; raise ValueError if the page has another size."""
        part = array("Q", page.body or b"")
        if len(part) != DIGESTS_PER_PAGE:
            raise ValueError(f"{len(part)} digests in a page that has to hold {DIGESTS_PER_PAGE}")
        self.digests[page.number * DIGESTS_PER_PAGE : (page.number + 1) * DIGESTS_PER_PAGE] = part


class Regions:
    """All regions of a view, by name and by index."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self.by_name: dict[str, Region] = {}
        self.by_index: list[Region] = []

    def get(self, name: str) -> Region:
        """Return the region of that name; add it if it is new.

        Raises ChangeRejected if it is new and there are MAX_REGIONS already.
        """
        region = self.by_name.get(name)
        if region is None:
            region = self._add(name)
        return region

    def _add(self, name: str) -> Region:
        index = len(self.by_index)
        if index >= MAX_REGIONS:
            raise ChangeRejected(f"more than {MAX_REGIONS} regions", name)
        region = Region(name, index)
        self.by_name[name] = region
        self.by_index.append(region)
        return region

    def load(self, pages: list[StoredPage]) -> None:
        """Restore all regions from their stored pages.

        Raises ValueError or a msgspec error if the pages do not fit together.
        """
        records = [
            (page.name, msgspec.msgpack.decode(page.body or b"", type=RegionRecord))
            for page in pages
            if page.kind == PageKind.REGION
        ]
        for name, record in sorted(records, key=lambda pair: pair[1].index):
            region = self._add(name)
            if record.index != region.index:
                raise ValueError(f"region {name} has index {record.index} instead of {region.index}")
            region.position = record.position
            region.floors = record.floors
            region.changed = False
        for page in pages:
            if page.kind == PageKind.DIGESTS:
                self.by_name[page.name].load_digests(page)
        for region in self.by_index:
            region.total_digest = sum(region.digests) & DIGEST_MASK
