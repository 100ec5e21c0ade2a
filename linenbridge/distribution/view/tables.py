"""The protocol of a view's tables, and the precedence of regions that have the same key.

A table owns the records of one kind of key and defines the format of its pages.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Any, Protocol, TypeVar

from linenbridge.distribution.changes import Change
from linenbridge.distribution.view.regions import Region
from linenbridge.distribution.view.results import StoredPage

Found = TypeVar("Found")


class PageSource(Protocol):
    """An object whose content is stored in pages."""

    def take_changed_pages(self) -> Iterable[StoredPage]:
        """Return the pages that changed since the last call."""


class RecordTable(PageSource, Protocol):
    """The records of one kind of key, one for each region that has the key.

    Look-ups use the record of the region whose name sorts first, so that they give the same result at every
    gateway if several regions have a key. Look-ups are valid between a `commit` and the next change.
    """

    def digest(self, region: Region, name: str) -> int:
        """Return the digest of the region's record of a key; 0 if there is none."""

    def put(self, region: Region, change: Change, value: Any) -> None:
        """Set the region's record of the change's key; `value` is the result of `values.ValueChecks.read`."""

    def remove(self, region: Region, name: str) -> None:
        """Remove the region's record of a key, if there is one."""

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        """Remove the region's records of all other names of the range `number`."""

    def commit(self) -> None:
        """Pack the pages that changed since the last call, so that look-ups use the changes."""

    def load(self, page: StoredPage) -> None:
        """Add one stored page to a table that is being loaded.

        Raises ValueError or a msgspec error if the page is not valid after the earlier ones.
        """

    def finish_loading(self) -> None:
        """Complete the load after the last page."""


def record_in_force(records: Mapping[int, Found], regions: list[Region]) -> Found:
    """Return the record in force; `records` is keyed by region index and not empty."""
    if len(records) == 1:
        return next(iter(records.values()))
    return records[min(records, key=lambda index: regions[index].name)]


def first_by_region(records: Mapping[int, Found], regions: list[Region]) -> Found | None:
    """Return the record in force; `records` is keyed by region index. None if there is no record."""
    return record_in_force(records, regions) if records else None
