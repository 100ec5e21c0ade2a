"""What the tables of a view have in common.

Keeps state without I/O. It must never know the form of a table's pages.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any, Protocol, TypeVar

from linenbridge.distribution.changes import Change
from linenbridge.distribution.view.regions import Region
from linenbridge.distribution.view.results import StoredPage

Found = TypeVar("Found")


class RecordTable(Protocol):
    """One kind of key. Each region's record of a key is kept by itself; look-ups take the one of the region
    whose name is first, so that two regions that both hold a key have the same result everywhere. Look-ups
    come between a `commit` and the next change."""

    def digest(self, region: Region, name: str) -> int:
        """Of the region's record of a key; 0 where there is none."""

    def put(self, region: Region, change: Change, value: Any) -> None: ...

    def remove(self, region: Region, name: str) -> None: ...

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        """Of a range, keep the region's records of these names only."""

    def commit(self) -> None:
        """The changes since the last call are complete: pages are packed, look-ups see them."""

    def take_changed_pages(self) -> Iterable[StoredPage]:
        """Pages that have changed since the last call."""

    def load(self, page: StoredPage) -> None: ...

    def finish_loading(self) -> None:
        """All pages of the store have come."""


def first_by_region(found: dict[int, Found], regions: list[Region]) -> Found | None:
    """The record in force among those of several regions, by region index."""
    if not found:
        return None
    if len(found) == 1:
        return next(iter(found.values()))
    return found[min(found, key=lambda index: regions[index].name)]
