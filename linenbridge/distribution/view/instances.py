"""All instances, packed: some pages for each service, each page unpacked only while it is changed or read.

Keeps state without I/O. A service with many instances has many pages, found by a hash of the instance and
split one at a time (linear hashing), so that a change costs one page whatever the service's size. Services in
use are kept unpacked. It must never know what an instance is chosen for.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection, Iterable, Iterator

import msgspec
from msgspec import Raw, Struct

from linenbridge.distribution.changes import (
    RANGES, Change, InstanceValue, Kind, digest_of, range_of,
)  # fmt: skip
from linenbridge.distribution.view.packing import names, packed_entry, value_of, with_value
from linenbridge.distribution.view.regions import Region, Regions
from linenbridge.distribution.view.results import PageKind, StoredPage
from linenbridge.distribution.view.tables import first_by_region

MAX_PAGE_INSTANCES = 48  # instances in a page from which on the service gets one page more
COMPRESSION_LEVEL = 6  # of compression: the smallest that is still as small as the largest level makes them


class InstanceRecord(Struct, array_like=True, frozen=True):
    """One region's entry of an instance, its value as it was published."""

    name: str
    region: int
    epoch: int
    sequence: int
    value: Raw


class DecodedInstanceRecord(Struct, array_like=True, frozen=True):
    """An InstanceRecord with its value read."""

    name: str
    region: int
    epoch: int
    sequence: int
    value: InstanceValue


PageRecords = dict[tuple[str, int], InstanceRecord]  # by instance and region
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[InstanceRecord]).decode
_decode_pages = msgspec.msgpack.Decoder(tuple[bytes, ...]).decode
_read = msgspec.msgpack.Decoder(list[DecodedInstanceRecord]).decode


class UnpackedService:
    """One service's pages while they are changed."""

    def __init__(self, pages: tuple[bytes, ...]) -> None:
        self.packed = list(pages) or [b""]
        self.unpacked: dict[int, PageRecords] = {}
        self.written: set[int] = set()

    def page(self, number: int) -> PageRecords:
        """A page, unpacked."""
        if number not in self.unpacked:
            packed = self.packed[number]
            records = _decode(zlib.decompress(packed)) if packed else []
            self.unpacked[number] = {(record.name, record.region): record for record in records}
        return self.unpacked[number]

    def get(self, instance: str, region: int) -> InstanceRecord | None:
        return self.page(page_number(instance, len(self.packed))).get((instance, region))

    def put(self, record: InstanceRecord) -> None:
        number = page_number(record.name, len(self.packed))
        page = self.page(number)
        page[record.name, record.region] = record
        self.written.add(number)
        if len(page) > MAX_PAGE_INSTANCES:
            self._split()

    def remove(self, instance: str, region: int) -> InstanceRecord | None:
        number = page_number(instance, len(self.packed))
        record = self.page(number).pop((instance, region), None)
        if record is not None:
            self.written.add(number)
        return record

    def _split(self) -> None:
        """One page more: it takes its part of the one page that its instances were in."""
        count = len(self.packed) + 1
        source, target = count - 1 - _level(count - 1), count - 1
        self.packed.append(b"")
        old, new = self.page(source), self.page(target)
        for key in [key for key in old if page_number(key[0], count) == target]:
            new[key] = old.pop(key)
        self.written |= {source, target}

    def commit(self) -> tuple[tuple[bytes, ...], set[int]]:
        """The pages, packed, and the numbers of those written to. No pages where nothing is left."""
        for number in self.written:
            records = list(self.unpacked[number].values())
            self.packed[number] = zlib.compress(_encode(records), COMPRESSION_LEVEL) if records else b""
        pages = tuple(self.packed) if any(self.packed) else ()
        return pages, self.written


def _level(count: int) -> int:
    """The largest power of two that is not above the count."""
    return 1 << count.bit_length() - 1


def page_number(instance: str, count: int) -> int:
    """Which of a service's pages an instance is in."""
    hashed, level = zlib.crc32(instance.encode()), _level(count)
    number = hashed % (2 * level)
    return number if number < count else hashed % level


class InstanceTable:
    """All services' instances; those of services in use are unpacked."""

    def __init__(self, regions: Regions) -> None:
        self.regions = regions
        self.buckets = [b""] * RANGES  # of the range's services: see packing.py
        self.loading: tuple[str, list[bytes]] = ("", [])  # a service, and its pages while they come
        self.unpacked: dict[str, UnpackedService] = {}
        self.changed: set[tuple[str, int]] = set()
        self.in_use: dict[str, dict[str, InstanceValue]] = {}
        self.changed_values: dict[str, dict[str, InstanceValue]] = {}

    def services(self) -> Iterator[str]:
        for bucket in self.buckets:
            yield from names(bucket)

    def _pages(self, service: str) -> tuple[bytes, ...]:
        """The packed pages of a service; none where it has no instance."""
        pages = value_of(self.buckets[_range(service)], service)
        return () if pages is None else _decode_pages(pages)

    # ---- look-ups --------------------------------------------------------------------------------

    def find(self, service: str) -> dict[str, InstanceValue]:
        """The instances in force of a service, by name."""
        found = self.in_use.get(service)
        return self.read(service) if found is None else found

    def read(self, service: str) -> dict[str, InstanceValue]:
        """The instances in force of a service, unpacked."""
        found: dict[str, InstanceValue] = {}
        for page in self._pages(service):
            if page:
                found.update(self._in_force(_read(zlib.decompress(page))))
        return found

    def _in_force(self, records: Iterable[DecodedInstanceRecord]) -> dict[str, InstanceValue]:
        by_name: dict[str, dict[int, InstanceValue]] = {}
        for record in records:
            by_name.setdefault(record.name, {})[record.region] = record.value
        regions = self.regions.by_index
        return {name: first_by_region(found, regions) for name, found in by_name.items()}  # type: ignore[misc]

    def use(self, service: str) -> None:
        """Keep the service unpacked from now on."""
        self.in_use.setdefault(service, self.read(service))

    def release(self, service: str) -> None:
        self.in_use.pop(service, None)

    # ---- changes ---------------------------------------------------------------------------------

    def digest(self, region: Region, name: str) -> int:
        service, instance = _split_name(name)
        record = self._opened(service).get(instance, region.index)
        if record is None:
            return 0
        value = bytes(record.value)
        return digest_of(Change(region.name, record.epoch, record.sequence, Kind.INSTANCE, name, value))

    def put(self, region: Region, change: Change, value: InstanceValue) -> None:
        service, instance = _split_name(change.name)
        record = InstanceRecord(instance, region.index, change.epoch, change.sequence, Raw(change.value))
        self._opened(service).put(record)
        self._note_change(service, instance, value)

    def remove(self, region: Region, name: str) -> None:
        service, instance = _split_name(name)
        record = self._opened(service).remove(instance, region.index)
        if record is not None and service in self.in_use:
            self._note_change(service, instance, msgspec.msgpack.decode(record.value, type=InstanceValue))

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        for service in list(names(self.buckets[number])):
            opened = self._opened(service)
            for page in range(len(opened.packed)):
                for instance, index in list(opened.page(page)):
                    name = f"{service}/{instance}"
                    if index == region.index and name not in retained:
                        self.remove(region, name)

    def _opened(self, service: str) -> UnpackedService:
        opened = self.unpacked.get(service)
        if opened is None:
            opened = self.unpacked[service] = UnpackedService(self._pages(service))
        return opened

    def _note_change(self, service: str, instance: str, value: InstanceValue) -> None:
        if service in self.in_use:
            self.changed_values.setdefault(service, {})[instance] = value

    def commit(self) -> None:
        opened, self.unpacked = self.unpacked, {}
        for service, one in opened.items():
            self._pack(service, one)

    def _pack(self, service: str, opened: UnpackedService) -> None:
        after, written = opened.commit()
        if not written:
            return
        before, number = self._pages(service), _range(service)
        value = _encode(after) if after else None
        self.buckets[number] = with_value(self.buckets[number], service, value)
        for number in written | set(range(len(after), len(before))):
            self.changed.add((service, number))

    def changed_in_use(self, render: Callable[[str, InstanceValue, bool], object]) -> dict[str, list]:
        """What changed of the services in use since the last call: `render(instance, value, gone)` of
        each."""
        changed_values, self.changed_values = self.changed_values, {}
        updates: dict[str, list] = {}
        for service, values in changed_values.items():
            now = self.in_use[service]
            self._refresh(service, now, values)
            updates[service] = [
                render(name, now.get(name, last), name not in now) for name, last in values.items()
            ]
        return updates

    def _refresh(self, service: str, now: dict[str, InstanceValue], names: Collection[str]) -> None:
        """The named instances of a service in use, as its pages have them."""
        pages = self._pages(service)
        numbers = {page_number(name, len(pages)) for name in names} if pages else set()
        fresh: dict[str, InstanceValue] = {}
        for number in numbers:
            if pages[number]:
                fresh.update(self._in_force(_read(zlib.decompress(pages[number]))))
        for name in names:
            if name in fresh:
                now[name] = fresh[name]
            else:
                now.pop(name, None)

    # ---- on disk ---------------------------------------------------------------------------------

    def take_changed_pages(self) -> Iterator[StoredPage]:
        changed, self.changed = self.changed, set()
        for service, number in sorted(changed):
            pages = self._pages(service)
            body = pages[number] if number < len(pages) else None
            yield StoredPage(PageKind.INSTANCE, service, number, body)

    def load(self, page: StoredPage) -> None:
        """Pages of a service come together, in the order of their numbers."""
        if page.name != self.loading[0]:
            self.finish_loading()
            self.loading = (page.name, [])
        pages = self.loading[1]
        if page.number != len(pages):
            raise ValueError(f"page {page.number} of {page.name} follows on {len(pages)} pages")
        pages.append(page.body or b"")

    def finish_loading(self) -> None:
        service, pages = self.loading
        if pages:
            self.buckets[_range(service)] += packed_entry(service, _encode(pages))
        self.loading = ("", [])


def _range(service: str) -> int:
    return range_of(Kind.INSTANCE, service)


def _split_name(name: str) -> tuple[str, str]:
    service, _, instance = name.partition("/")
    return service, instance
