"""All tenants' shares, in sorted packed pages: one page for each range of keys, 28 bytes a tenant.

Keeps state without I/O. Names are kept as hashes only: 80 bits, and the range tells 10 more, so that 350,000
names are all different but for one chance in 10**16. A change moves the bytes of one page (10 KB where there
are 350,000 tenants). It must never count what a tenant asks for.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from hashlib import blake2b
from struct import Struct as Layout

import msgspec

from linenbridge.distribution.changes import RANGES, Change, Kind, TenantValue, digest_of, range_of
from linenbridge.distribution.view.regions import Region, Regions
from linenbridge.distribution.view.results import PageKind, StoredPage
from linenbridge.distribution.view.tables import first_by_region

HASH_BYTES = 10
MAX_EPOCH = 1 << 32
SEQUENCE_BYTES = 5
MAX_SEQUENCE = 1 << (8 * SEQUENCE_BYTES)
ROW = Layout(f">{HASH_BYTES}sdI{SEQUENCE_BYTES}sB")  # hash, share, epoch, sequence, region
ROW_BYTES = ROW.size

Page = bytes | bytearray


def hash_of(name: str) -> bytes:
    """What stands for a tenant's name."""
    return blake2b(name.encode(), digest_size=HASH_BYTES).digest()


class TenantTable:
    """Shares by name. A page that is being changed is held as a bytearray until `commit`."""

    def __init__(self, regions: Regions) -> None:
        self.regions = regions
        self.pages: list[Page] = [b""] * RANGES
        self.unpacked: set[int] = set()
        self.changed: set[int] = set()

    def __len__(self) -> int:
        return sum(map(len, self.pages)) // ROW_BYTES

    # ---- look-ups --------------------------------------------------------------------------------

    def quota(self, name: str) -> float | None:
        """The share of the load that a tenant may take; None where nothing is said of it."""
        page = self.pages[range_of(Kind.TENANT, name)]
        shares: dict[int, float] = {}
        for offset in _row_offsets(page, hash_of(name)):
            _, share, _, _, region = ROW.unpack_from(page, offset)
            shares[region] = share
        return first_by_region(shares, self.regions.by_index)

    # ---- changes ---------------------------------------------------------------------------------

    def digest(self, region: Region, name: str) -> int:
        page = self.pages[range_of(Kind.TENANT, name)]
        offset = _row_offset(page, hash_of(name), region.index)
        if offset is None:
            return 0
        _, share, epoch, sequence, _ = ROW.unpack_from(page, offset)
        value = msgspec.msgpack.encode(TenantValue(share))
        version = epoch, int.from_bytes(sequence, "big")
        return digest_of(Change(region.name, *version, Kind.TENANT, name, value))

    def put(self, region: Region, change: Change, value: TenantValue) -> None:
        number, hashed = range_of(Kind.TENANT, change.name), hash_of(change.name)
        page = self._opened(number)
        offset = _row_offset(page, hashed, region.index)
        if offset is None:
            offset = _insertion_offset(page, hashed)
            page[offset:offset] = bytes(ROW_BYTES)
        sequence = change.sequence.to_bytes(SEQUENCE_BYTES, "big")
        ROW.pack_into(page, offset, hashed, value.share, change.epoch, sequence, region.index)

    def remove(self, region: Region, name: str) -> None:
        number = range_of(Kind.TENANT, name)
        offset = _row_offset(self.pages[number], hash_of(name), region.index)
        if offset is not None:
            del self._opened(number)[offset : offset + ROW_BYTES]

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        page, hashes = self.pages[number], {hash_of(name) for name in retained}
        left = bytearray()
        for offset in range(0, len(page), ROW_BYTES):
            row = page[offset : offset + ROW_BYTES]
            if row[-1] != region.index or bytes(row[:HASH_BYTES]) in hashes:
                left += row
        if len(left) < len(page):
            self._opened(number)[:] = left

    def _opened(self, number: int) -> bytearray:
        page = self.pages[number]
        if not isinstance(page, bytearray):
            page = self.pages[number] = bytearray(page)
            self.unpacked.add(number)
            self.changed.add(number)
        return page

    def commit(self) -> None:
        for number in self.unpacked:
            self.pages[number] = bytes(self.pages[number])
        self.unpacked.clear()

    # ---- on disk ---------------------------------------------------------------------------------

    def take_changed_pages(self) -> Iterator[StoredPage]:
        changed, self.changed = self.changed, set()
        for number in sorted(changed):
            yield StoredPage(PageKind.TENANT, "", number, bytes(self.pages[number]) or None)

    def load(self, page: StoredPage) -> None:
        body = page.body or b""
        if len(body) % ROW_BYTES:
            raise ValueError(f"{len(body)} bytes in a page of tenants, {ROW_BYTES} each")
        self.pages[page.number] = body

    def finish_loading(self) -> None: ...


def _insertion_offset(page: Page, hashed: bytes) -> int:
    """Where the first row of that hash is, or would be."""
    low, high = 0, len(page) // ROW_BYTES
    while low < high:
        middle = (low + high) // 2
        offset = middle * ROW_BYTES
        if page[offset : offset + HASH_BYTES] < hashed:
            low = middle + 1
        else:
            high = middle
    return low * ROW_BYTES


def _row_offsets(page: Page, hashed: bytes) -> Iterator[int]:
    """Where the rows of that hash are: one for each region that has the tenant."""
    offset = _insertion_offset(page, hashed)
    while page[offset : offset + HASH_BYTES] == hashed:
        yield offset
        offset += ROW_BYTES


def _row_offset(page: Page, hashed: bytes, region: int) -> int | None:
    return next(
        (offset for offset in _row_offsets(page, hashed) if page[offset + ROW_BYTES - 1] == region), None
    )
