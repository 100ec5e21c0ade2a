"""Routes of all services: a packed rule set for each authority, and a bounded cache of compiled sets.

A set is changed, cached and dropped as a whole. The table holds only sets that passed their checks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterator
from functools import partial

import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import RANGES, Change, Kind, digest_of, range_of
from linenbridge.distribution.view.packing import names, packed_entry, value_of, with_value
from linenbridge.distribution.view.regions import Region, Regions
from linenbridge.distribution.view.results import PageKind, StoredPage
from linenbridge.distribution.view.rules import RULE_BYTES, PackedRuleList, PackedTable
from linenbridge.distribution.view.tables import first_by_region
from linenbridge.interface import Method


class RouteRecord(Struct, array_like=True, frozen=True):
    """One region's rule set of an authority, packed by `rules.pack_rules`."""

    region: int
    epoch: int
    sequence: int
    digest: int
    packed: bytes


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[RouteRecord]).decode


class RouteTable:
    """Rule sets by authority; a `tables.RecordTable`.

    `cost` is the estimated memory of the compiled sets, in bytes.
    """

    def __init__(
        self, regions: Regions, methods: dict[str, Method], max_deadline: int, max_compiled_bytes: int
    ) -> None:
        """Create an empty table; `max_deadline` is the longest deadline of a route, in microseconds."""
        self.regions = regions
        self.methods = methods
        self.max_deadline = max_deadline
        self.max_compiled_bytes = max_compiled_bytes
        self.buckets = [b""] * RANGES  # by range, of its authorities: see packing.py
        self.compiled: OrderedDict[str, PackedTable] = OrderedDict()  # least recently used first
        self.cost = 0
        self.changed: set[str] = set()
        self._loading_range = 0
        self._loading_entries: list[bytes] = []

    # ---- look-ups --------------------------------------------------------------------------------

    def find(self, authority: str) -> PackedTable | None:
        """Return the rule set in force; None if there is none. Later changes do not alter a returned set."""
        found = self.compiled.get(authority)
        if found is not None:
            self.compiled.move_to_end(authority)
            return found
        record = first_by_region(self._records(authority), self.regions.by_index)
        if record is None:
            return None
        on_rule_compiled = partial(self._on_rule_compiled, authority)
        found = PackedTable(record.packed, self.methods, self.max_deadline, on_rule_compiled)
        self.compiled[authority] = found
        self.cost += found.cost
        while self.cost > self.max_compiled_bytes and len(self.compiled) > 1:
            self._drop(next(iter(self.compiled)))
        return found

    def authorities(self) -> Iterator[str]:
        """Yield every authority that has a rule set."""
        for bucket in self.buckets:
            yield from names(bucket)

    def clear(self) -> None:
        """Drop all compiled sets; the packed sets stay."""
        for authority in list(self.compiled):
            self._drop(authority)

    def _on_rule_compiled(self, authority: str, rules: PackedRuleList) -> None:
        """Count the memory of a rule that a look-up compiled.

        The limit `max_compiled_bytes` is enforced when the next set is compiled.
        """
        table = self.compiled.get(authority)
        if table is not None and table.rules is rules:
            self.cost += RULE_BYTES

    def _drop(self, authority: str) -> None:
        table = self.compiled.pop(authority, None)
        if table is not None:
            self.cost -= table.cost

    def _records(self, authority: str) -> dict[int, RouteRecord]:
        page = value_of(self.buckets[range_of(Kind.ROUTES, authority)], authority)
        return {} if page is None else {record.region: record for record in _decode(page)}

    # ---- changes ---------------------------------------------------------------------------------

    def digest(self, region: Region, name: str) -> int:
        """Return the digest of the region's record of an authority; 0 if there is none."""
        record = self._records(name).get(region.index)
        return 0 if record is None else record.digest

    def put(self, region: Region, change: Change, value: bytes) -> None:
        """Set the region's packed rule set of an authority."""
        records = self._records(change.name)
        records[region.index] = RouteRecord(
            region.index, change.epoch, change.sequence, digest_of(change), value
        )
        self._store(change.name, records)

    def remove(self, region: Region, name: str) -> None:
        """Remove the region's rule set of an authority, if there is one."""
        records = self._records(name)
        if records.pop(region.index, None) is not None:
            self._store(name, records)

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        """Remove the region's rule sets of all other authorities of the range `number`."""
        for name in [name for name in names(self.buckets[number]) if name not in retained]:
            self.remove(region, name)

    def _store(self, authority: str, records: dict[int, RouteRecord]) -> None:
        number = range_of(Kind.ROUTES, authority)
        page = _encode(list(records.values())) if records else None
        self.buckets[number] = with_value(self.buckets[number], authority, page)
        self._drop(authority)
        self.changed.add(authority)

    def commit(self) -> None:
        """Do nothing: a rule set is packed at each change."""

    # ---- storage ---------------------------------------------------------------------------------

    def take_changed_pages(self) -> Iterator[StoredPage]:
        """Yield one page for each authority that changed since the last call."""
        changed = self.changed
        self.changed = set()
        for name in sorted(changed):
            body = value_of(self.buckets[range_of(Kind.ROUTES, name)], name)
            yield StoredPage(PageKind.ROUTES, name, 0, body)

    def load(self, page: StoredPage) -> None:
        """Add one stored page. Pages are loaded range by range, so that a bucket is joined once."""
        number = range_of(Kind.ROUTES, page.name)
        if number != self._loading_range:
            self.finish_loading()
            self._loading_range = number
        self._loading_entries.append(packed_entry(page.name, page.body or b""))

    def finish_loading(self) -> None:
        """Join the entries of the range that was loaded last into its bucket."""
        self.buckets[self._loading_range] += b"".join(self._loading_entries)
        self._loading_entries = []
