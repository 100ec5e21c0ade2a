"""Routes of all services: one packed set for each authority, and a bounded cache of those in use.

Keeps state without I/O. A set is changed, kept and dropped as a whole. It must never hold a set that has
not been checked.
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
    """One region's set of an authority, as `rules.pack_rules` made it."""

    region: int
    epoch: int
    sequence: int
    digest: int
    packed: bytes


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[RouteRecord]).decode


class RouteTable:
    """All sets, and those that are compiled at present."""

    def __init__(
        self, regions: Regions, methods: dict[str, Method], max_deadline: int, max_compiled_bytes: int
    ) -> None:
        self.regions, self.methods, self.max_deadline = regions, methods, max_deadline
        self.max_compiled_bytes = max_compiled_bytes
        self.buckets = [b""] * RANGES  # of the range's authorities: see packing.py
        self.loading: tuple[int, list[bytes]] = (0, [])  # a range, and its entries while they come
        self.compiled: OrderedDict[str, PackedTable] = OrderedDict()
        self.cost = 0  # of all compiled ones
        self.changed: set[str] = set()

    # ---- look-ups --------------------------------------------------------------------------------

    def find(self, authority: str) -> PackedTable | None:
        """The set in force; None where there is none. A set that a request has found stays as it is."""
        found = self.compiled.get(authority)
        if found is not None:
            self.compiled.move_to_end(authority)
            return found
        record = first_by_region(self._records(authority), self.regions.by_index)
        if record is None:
            return None
        on_rule_compiled = partial(self._on_rule_compiled, authority)
        found = self.compiled[authority] = PackedTable(
            record.packed, self.methods, self.max_deadline, on_rule_compiled
        )
        self.cost += found.cost
        while self.cost > self.max_compiled_bytes and len(self.compiled) > 1:
            self._drop(next(iter(self.compiled)))
        return found

    def clear(self) -> None:
        """Let all compiled sets go."""
        for authority in list(self.compiled):
            self._drop(authority)

    def _on_rule_compiled(self, authority: str, rules: PackedRuleList) -> None:
        """A rule was compiled; the bound is held to when the next set is."""
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
        record = self._records(name).get(region.index)
        return 0 if record is None else record.digest

    def put(self, region: Region, change: Change, value: bytes) -> None:
        records = self._records(change.name)
        records[region.index] = RouteRecord(
            region.index, change.epoch, change.sequence, digest_of(change), value
        )
        self._store(change.name, records)

    def remove(self, region: Region, name: str) -> None:
        records = self._records(name)
        if records.pop(region.index, None) is not None:
            self._store(name, records)

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        for name in [name for name in names(self.buckets[number]) if name not in retained]:
            self.remove(region, name)

    def _store(self, authority: str, records: dict[int, RouteRecord]) -> None:
        number = range_of(Kind.ROUTES, authority)
        page = _encode(list(records.values())) if records else None
        self.buckets[number] = with_value(self.buckets[number], authority, page)
        self._drop(authority)
        self.changed.add(authority)

    def commit(self) -> None: ...

    # ---- on disk ---------------------------------------------------------------------------------

    def take_changed_pages(self) -> Iterator[StoredPage]:
        changed, self.changed = self.changed, set()
        for name in sorted(changed):
            body = value_of(self.buckets[range_of(Kind.ROUTES, name)], name)
            yield StoredPage(PageKind.ROUTES, name, 0, body)

    def load(self, page: StoredPage) -> None:
        """Pages come range by range."""
        number = range_of(Kind.ROUTES, page.name)
        if number != self.loading[0]:
            self.finish_loading()
            self.loading = (number, [])
        self.loading[1].append(packed_entry(page.name, page.body or b""))

    def finish_loading(self) -> None:
        number, entries = self.loading
        self.buckets[number] += b"".join(entries)
        self.loading = (number, [])
