"""What the tables of a view have in common: the protocol that `view.View` drives, and the rule of precedence.

A table owns the records of one kind of key. The form of its pages is its own.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Any, Protocol, TypeVar

from linenbridge.distribution.changes import Change
from linenbridge.distribution.view.regions import Region
from linenbridge.distribution.view.results import StoredPage

Found = TypeVar("Found")


class PageSource(Protocol):
    """Whatever has pages for the store."""

    def take_changed_pages(self) -> Iterable[StoredPage]:
        """Return the pages that changed since the last call, for the store."""


class RecordTable(PageSource, Protocol):
    """The records of one kind of key, one for each region that has the key.

    Look-ups use the record of the region whose name sorts first, so that two regions that both have a key
    give the same result at every gateway. Look-ups are valid between a `commit` and the next change.
    """

    def digest(self, region: Region, name: str) -> int:
        """Return the digest of the region's record of a key; 0 if there is none."""

    def put(self, region: Region, change: Change, value: Any) -> None:
        """Set the region's record of the change's key. `value` is what `values.ValueChecks` read for this
        kind.
        """

    def remove(self, region: Region, name: str) -> None:
        """Remove the region's record of a key, if there is one."""

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        """Remove the region's records of all other names of the range `number`."""

    def commit(self) -> None:
        """Pack the pages that changed since the last call; look-ups see the changes afterwards."""

    def load(self, page: StoredPage) -> None:
        """Add one stored page to an empty table; ValueError or a msgspec error if it does not fit."""

    def finish_loading(self) -> None:
        """Complete a load, after the last page."""


def record_in_force(records: Mapping[int, Found], regions: list[Region]) -> Found:
    """Return the record in force of at least one, keyed by region index."""
    if len(records) == 1:
        return next(iter(records.values()))
    return records[min(records, key=lambda index: regions[index].name)]


def first_by_region(records: Mapping[int, Found], regions: list[Region]) -> Found | None:
    """Return the record in force, keyed by region index; None if there is none."""
    return record_in_force(records, regions) if records else None
