"""All instances, packed in compressed pages; services in use are kept unpacked as well.

A service with many instances has many pages. The hash of an instance's name determines its page, and pages
are split one at a time (linear hashing, W. Litwin, VLDB 1980), so that a change rewrites one page whatever
the size of the service. The table performs no I/O and does not select instances for requests.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

import msgspec
from msgspec import Raw, Struct

from linenbridge.distribution.changes import (
    RANGES,
    Change,
    InstanceValue,
    Kind,
    digest_of,
    range_of,
)
from linenbridge.distribution.view.packing import names, packed_entry, value_of, with_value
from linenbridge.distribution.view.regions import Region, Regions
from linenbridge.distribution.view.results import PageKind, StoredPage
from linenbridge.distribution.view.tables import record_in_force

MAX_PAGE_INSTANCES = 48  # records in a page; one more adds a page to the service
COMPRESSION_LEVEL = 6  # zlib's; the lowest level that compresses as well as the highest


class InstanceRecord(Struct, array_like=True, frozen=True):
    """One region's record of an instance, with its value as published."""

    name: str
    region: int
    epoch: int
    sequence: int
    value: Raw


class DecodedInstanceRecord(Struct, array_like=True, frozen=True):
    """An InstanceRecord with its value decoded."""

    name: str
    region: int
    epoch: int
    sequence: int
    value: InstanceValue


class InstanceKey(NamedTuple):
    """The two parts of the name of a change of kind INSTANCE."""

    service: str
    instance: str


class InstanceUpdate(NamedTuple):
    """One changed instance of a service in use, with its value in force; its last one if it is removed."""

    name: str
    value: InstanceValue
    removed: bool


class PackedPages(NamedTuple):
    """All packed pages of a service, and the numbers of the changed ones."""

    pages: tuple[bytes, ...]
    changed: set[int]


PageRecords = dict[tuple[str, int], InstanceRecord]  # by instance and region index
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[InstanceRecord]).decode
_decode_pages = msgspec.msgpack.Decoder(tuple[bytes, ...]).decode
_decode_with_values = msgspec.msgpack.Decoder(list[DecodedInstanceRecord]).decode


class UnpackedService:
    """The pages of one service while changes are applied to it; a page is unpacked at its first use."""

    def __init__(self, pages: tuple[bytes, ...]) -> None:
        """Start with the packed pages of the service, or with one empty page if there are none."""
        self.packed = list(pages) or [b""]
        self.unpacked: dict[int, PageRecords] = {}
        self.changed: set[int] = set()

    def page(self, number: int) -> PageRecords:
        """Return the records of a page."""
        if number not in self.unpacked:
            packed = self.packed[number]
            records = _decode(zlib.decompress(packed)) if packed else []
            self.unpacked[number] = {(record.name, record.region): record for record in records}
        return self.unpacked[number]

    def get(self, instance: str, region: int) -> InstanceRecord | None:
        """Return the region's record of an instance; None if there is none."""
        return self.page(page_number(instance, len(self.packed))).get((instance, region))

    def put(self, record: InstanceRecord) -> None:
        """Set a record; split a page of the service if the record's page is too large afterwards."""
        number = page_number(record.name, len(self.packed))
        page = self.page(number)
        page[record.name, record.region] = record
        self.changed.add(number)
        if len(page) > MAX_PAGE_INSTANCES:
            self._split()

    def remove(self, instance: str, region: int) -> InstanceRecord | None:
        """Remove and return the region's record of an instance; None if there is none."""
        number = page_number(instance, len(self.packed))
        record = self.page(number).pop((instance, region), None)
        if record is not None:
            self.changed.add(number)
        return record

    def _split(self) -> None:
        """Add a page and move the records that belong there out of the one page that has them."""
        target = len(self.packed)
        source = target - _level(target)
        count = target + 1
        self.packed.append(b"")
        old = self.page(source)
        new = self.page(target)
        for key in [key for key in old if page_number(key[0], count) == target]:
            new[key] = old.pop(key)
        self.changed |= {source, target}

    def pack(self) -> PackedPages:
        """Pack the changed pages and return all pages; a service without records has none."""
        for number in self.changed:
            records = list(self.unpacked[number].values())
            self.packed[number] = zlib.compress(_encode(records), COMPRESSION_LEVEL) if records else b""
        pages = tuple(self.packed) if any(self.packed) else ()
        return PackedPages(pages, self.changed)


def _level(count: int) -> int:
    """Return the largest power of two that is not above the count."""
    return 1 << count.bit_length() - 1


def page_number(instance: str, count: int) -> int:
    """Return the number of the page, of the `count` pages of a service, that an instance is in."""
    hashed = zlib.crc32(instance.encode())
    level = _level(count)
    number = hashed % (2 * level)
    return number if number < count else hashed % level


class InstanceTable:
    """Instances by service and name; a `tables.RecordTable`."""

    def __init__(self, regions: Regions) -> None:
        """Create an empty table; `regions` gives the region of an index."""
        self.regions = regions
        self.buckets = [b""] * RANGES  # by range, of its services: see packing.py
        self.unpacked: dict[str, UnpackedService] = {}
        self.changed: set[tuple[str, int]] = set()
        self.in_use: dict[str, dict[str, InstanceValue]] = {}
        self.last_values: dict[str, dict[str, InstanceValue]] = {}  # of instances to report as changed
        self._loading_service = ""
        self._loading_pages: list[bytes] = []

    def services(self) -> Iterator[str]:
        """Yield every service that has instances."""
        for bucket in self.buckets:
            yield from names(bucket)

    def _pages(self, service: str) -> tuple[bytes, ...]:
        """Return the packed pages of a service; an empty tuple if it has no instance."""
        pages = value_of(self.buckets[_range(service)], service)
        return () if pages is None else _decode_pages(pages)

    # ---- look-ups --------------------------------------------------------------------------------

    def find(self, service: str) -> dict[str, InstanceValue]:
        """Return the instances in force of a service, by name."""
        found = self.in_use.get(service)
        return self.read(service) if found is None else found

    def read(self, service: str) -> dict[str, InstanceValue]:
        """Return the instances in force of a service from its packed pages, by name."""
        found: dict[str, InstanceValue] = {}
        for page in self._pages(service):
            if page:
                found.update(self._in_force(_decode_with_values(zlib.decompress(page))))
        return found

    def _in_force(self, records: Iterable[DecodedInstanceRecord]) -> dict[str, InstanceValue]:
        """Return the value in force of each instance in the records, by name."""
        by_name: dict[str, dict[int, InstanceValue]] = {}
        for record in records:
            by_name.setdefault(record.name, {})[record.region] = record.value
        regions = self.regions.by_index
        return {name: record_in_force(found, regions) for name, found in by_name.items()}

    def use(self, service: str) -> None:
        """Keep the service unpacked and include its changes in `take_updates` until `release`."""
        self.in_use.setdefault(service, self.read(service))

    def release(self, service: str) -> None:
        """Stop keeping the service unpacked and including it in `take_updates`."""
        self.in_use.pop(service, None)

    # ---- changes ---------------------------------------------------------------------------------

    def digest(self, region: Region, name: str) -> int:
        """Return the digest of the region's record of an instance; 0 if there is none."""
        key = _key(name)
        record = self._service_to_change(key.service).get(key.instance, region.index)
        if record is None:
            return 0
        value = bytes(record.value)
        return digest_of(Change(region.name, record.epoch, record.sequence, Kind.INSTANCE, name, value))

    def put(self, region: Region, change: Change, value: InstanceValue) -> None:
        """Set the region's record of an instance."""
        key = _key(change.name)
        record = InstanceRecord(key.instance, region.index, change.epoch, change.sequence, Raw(change.value))
        self._service_to_change(key.service).put(record)
        self._note_change(key, value)

    def remove(self, region: Region, name: str) -> None:
        """Remove the region's record of an instance, if there is one."""
        key = _key(name)
        record = self._service_to_change(key.service).remove(key.instance, region.index)
        if record is not None and key.service in self.in_use:
            self._note_change(key, msgspec.msgpack.decode(record.value, type=InstanceValue))

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        """Remove the region's records of all other instances of the range `number`."""
        for service in list(names(self.buckets[number])):
            unpacked = self._service_to_change(service)
            for page in range(len(unpacked.packed)):
                for instance, index in list(unpacked.page(page)):
                    name = f"{service}/{instance}"
                    if index == region.index and name not in retained:
                        self.remove(region, name)

    def _service_to_change(self, service: str) -> UnpackedService:
        unpacked = self.unpacked.get(service)
        if unpacked is None:
            unpacked = UnpackedService(self._pages(service))
            self.unpacked[service] = unpacked
        return unpacked

    def _note_change(self, key: InstanceKey, value: InstanceValue) -> None:
        if key.service in self.in_use:
            self.last_values.setdefault(key.service, {})[key.instance] = value

    def commit(self) -> None:
        """Pack the services that changed since the last call."""
        unpacked = self.unpacked
        self.unpacked = {}
        for service, content in unpacked.items():
            self._pack(service, content)

    def _pack(self, service: str, content: UnpackedService) -> None:
        packed = content.pack()
        if not packed.changed:
            return
        before = self._pages(service)
        number = _range(service)
        value = _encode(packed.pages) if packed.pages else None
        self.buckets[number] = with_value(self.buckets[number], service, value)
        for page in packed.changed | set(range(len(packed.pages), len(before))):
            self.changed.add((service, page))

    def take_updates(self) -> dict[str, list[InstanceUpdate]]:
        """Return the instances that changed since the last call, by service in use."""
        changed = self.last_values
        self.last_values = {}
        updates: dict[str, list[InstanceUpdate]] = {}
        for service, last_values in changed.items():
            values = self.in_use[service]
            self._refresh(service, values, last_values)
            updates[service] = [
                InstanceUpdate(name, values.get(name, last), name not in values)
                for name, last in last_values.items()
            ]
        return updates

    def _refresh(self, service: str, values: dict[str, InstanceValue], changed: Collection[str]) -> None:
        """Update the unpacked `values` of the changed instances from the packed pages of the service."""
        pages = self._pages(service)
        numbers = {page_number(name, len(pages)) for name in changed} if pages else set()
        fresh: dict[str, InstanceValue] = {}
        for number in numbers:
            if pages[number]:
                fresh.update(self._in_force(_decode_with_values(zlib.decompress(pages[number]))))
        for name in changed:
            if name in fresh:
                values[name] = fresh[name]
            else:
                values.pop(name, None)

    # ---- storage ---------------------------------------------------------------------------------

    def take_changed_pages(self) -> Iterator[StoredPage]:
        """Yield the pages that changed since the last call."""
        changed = self.changed
        self.changed = set()
        for service, number in sorted(changed):
            pages = self._pages(service)
            body = pages[number] if number < len(pages) else None
            yield StoredPage(PageKind.INSTANCE, service, number, body)

    def load(self, page: StoredPage) -> None:
        """Add one stored page; raise ValueError unless a service's pages are loaded together and in order."""
        if page.name != self._loading_service:
            self.finish_loading()
            self._loading_service = page.name
        pages = self._loading_pages
        if page.number != len(pages):
            raise ValueError(
                f"page {page.number} of service {page.name} is out of order after {len(pages)} pages"
            )
        pages.append(page.body or b"")

    def finish_loading(self) -> None:
        """Pack the pages of the service that was loaded last."""
        service = self._loading_service
        pages = self._loading_pages
        if pages:
            self.buckets[_range(service)] += packed_entry(service, _encode(pages))
        self._loading_service = ""
        self._loading_pages = []


def _range(service: str) -> int:
    return range_of(Kind.INSTANCE, service)


def _key(name: str) -> InstanceKey:
    service, _, instance = name.partition("/")
    return InstanceKey(service, instance)
