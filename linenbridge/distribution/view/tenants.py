"""All tenants' quotas in sorted packed pages: one page for each range of keys, 28 bytes for each tenant.

Names are stored as hashes of 80 bits, and the range adds 10 more: the probability that two of 350,000 names
collide is 1 in 10**16. A change moves the bytes of one page, 10 KB with 350,000 tenants. The table owns the
quotas, not their use.
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
SEQUENCE_BYTES = 5
MAX_EPOCH = 1 << 32  # the first epoch that a row cannot hold
MAX_SEQUENCE = 1 << (8 * SEQUENCE_BYTES)  # the first sequence that a row cannot hold
ROW = Layout(f">{HASH_BYTES}sdI{SEQUENCE_BYTES}sB")  # hash, share, epoch, sequence, region
ROW_BYTES = ROW.size

Page = bytes | bytearray


def hash_of(name: str) -> bytes:
    """Return the hash that is stored in place of a tenant's name."""
    return blake2b(name.encode(), digest_size=HASH_BYTES).digest()


class TenantTable:
    """Quotas by tenant; a `tables.RecordTable`.

    A page is a bytearray from its first change until the next `commit`.
    """

    def __init__(self, regions: Regions) -> None:
        """Create an empty table; `regions` gives the region of an index."""
        self.regions = regions
        self.pages: list[Page] = [b""] * RANGES
        self.unpacked: set[int] = set()
        self.changed: set[int] = set()

    def __len__(self) -> int:
        """Return the number of records, one for each tenant and region."""
        return sum(map(len, self.pages)) // ROW_BYTES

    # ---- look-ups --------------------------------------------------------------------------------

    def quota(self, name: str) -> float | None:
        """Return the share of the load that a tenant may use, 0 to 1; None if there is no quota."""
        page = self.pages[range_of(Kind.TENANT, name)]
        shares: dict[int, float] = {}
        for offset in _row_offsets(page, hash_of(name)):
            _, share, _, _, region = ROW.unpack_from(page, offset)
            shares[region] = share
        return first_by_region(shares, self.regions.by_index)

    # ---- changes ---------------------------------------------------------------------------------

    def digest(self, region: Region, name: str) -> int:
        """Return the digest of the region's record of a tenant; 0 if there is none."""
        page = self.pages[range_of(Kind.TENANT, name)]
        offset = _row_offset(page, hash_of(name), region.index)
        if offset is None:
            return 0
        _, share, epoch, sequence, _ = ROW.unpack_from(page, offset)
        value = msgspec.msgpack.encode(TenantValue(share))
        return digest_of(
            Change(region.name, epoch, int.from_bytes(sequence, "big"), Kind.TENANT, name, value)
        )

    def put(self, region: Region, change: Change, value: TenantValue) -> None:
        """Set the region's record of a tenant."""
        hashed = hash_of(change.name)
        page = self._page_to_change(range_of(Kind.TENANT, change.name))
        offset = _row_offset(page, hashed, region.index)
        if offset is None:
            offset = _insertion_offset(page, hashed)
            page[offset:offset] = bytes(ROW_BYTES)
        sequence = change.sequence.to_bytes(SEQUENCE_BYTES, "big")
        ROW.pack_into(page, offset, hashed, value.share, change.epoch, sequence, region.index)

    def remove(self, region: Region, name: str) -> None:
        """Remove the region's record of a tenant, if there is one."""
        number = range_of(Kind.TENANT, name)
        offset = _row_offset(self.pages[number], hash_of(name), region.index)
        if offset is not None:
            del self._page_to_change(number)[offset : offset + ROW_BYTES]

    def retain(self, region: Region, number: int, retained: Collection[str]) -> None:
        """Remove the region's records of all other tenants of the range `number`."""
        page = self.pages[number]
        hashes = {hash_of(name) for name in retained}
        left = bytearray()
        for offset in range(0, len(page), ROW_BYTES):
            row = page[offset : offset + ROW_BYTES]
            if row[-1] != region.index or bytes(row[:HASH_BYTES]) in hashes:
                left += row
        if len(left) < len(page):
            self._page_to_change(number)[:] = left

    def _page_to_change(self, number: int) -> bytearray:
        page = self.pages[number]
        if not isinstance(page, bytearray):
            page = bytearray(page)
            self.pages[number] = page
            self.unpacked.add(number)
            self.changed.add(number)
        return page

    def commit(self) -> None:
        """Make the changed pages immutable again."""
        for number in self.unpacked:
            self.pages[number] = bytes(self.pages[number])
        self.unpacked.clear()

    # ---- storage ---------------------------------------------------------------------------------

    def take_changed_pages(self) -> Iterator[StoredPage]:
        """Yield the pages that changed since the last call."""
        changed = self.changed
        self.changed = set()
        for number in sorted(changed):
            yield StoredPage(PageKind.TENANT, "", number, bytes(self.pages[number]) or None)

    def load(self, page: StoredPage) -> None:
        """Set one stored page; raise ValueError if its size is not a multiple of the size of a row."""
        body = page.body or b""
        if len(body) % ROW_BYTES:
            raise ValueError(f"{len(body)} bytes in a page of tenants, but rows of {ROW_BYTES} bytes each")
        self.pages[page.number] = body

    def finish_loading(self) -> None:
        """Do nothing: each page is complete."""


def _insertion_offset(page: Page, hashed: bytes) -> int:
    """Return the offset of the first row of that hash, or the offset at which to insert the row."""
    low = 0
    high = len(page) // ROW_BYTES
    while low < high:
        middle = (low + high) // 2
        offset = middle * ROW_BYTES
        if page[offset : offset + HASH_BYTES] < hashed:
            low = middle + 1
        else:
            high = middle
    return low * ROW_BYTES


def _row_offsets(page: Page, hashed: bytes) -> Iterator[int]:
    """Yield the offsets of the rows of that hash: one for each region that has the tenant."""
    offset = _insertion_offset(page, hashed)
    while page[offset : offset + HASH_BYTES] == hashed:
        yield offset
        offset += ROW_BYTES


def _row_offset(page: Page, hashed: bytes, region: int) -> int | None:
    return next((row for row in _row_offsets(page, hashed) if page[row + ROW_BYTES - 1] == region), None)
