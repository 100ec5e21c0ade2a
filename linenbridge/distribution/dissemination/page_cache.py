"""A cache of encoded batches, shared by followers at the same position.

A batch is encoded once for all followers at a position that have the same maximum message size, and dropped
when the log changes.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Raw

from linenbridge.distribution.changes import Version
from linenbridge.distribution.dissemination.compacted_log import CompactedLog
from linenbridge.distribution.dissemination.counters import FeedCounters
from linenbridge.distribution.dissemination.encoded_lists import encode_list
from linenbridge.distribution.messages import batch_checksum

MAX_PAGES = 64  # cached batches of all regions


@dataclass(frozen=True, slots=True)
class SharedPage:
    """Encoded changes after a position up to `upto`, and their `batch_checksum`.

    `digest` is the digest of the log if `upto` is its head and the log is consistent, None otherwise.
    """

    upto: Version
    changes: Raw
    checksum: int
    digest: int | None


class PageCache:
    """The cached pages of all regions. The oldest is dropped if there are more than MAX_PAGES."""

    def __init__(self, logs: dict[str, CompactedLog], counters: FeedCounters) -> None:
        self._logs = logs
        self._counters = counters
        self._pages: dict[tuple[str, int, int], SharedPage] = {}  # keys: the arguments of `page`

    def page(self, region: str, after: int, max_bytes: int) -> SharedPage:
        """Return the page after a sequence: up to `max_bytes` bytes of changes, and at least one change."""
        key = region, after, max_bytes
        page = self._pages.get(key)
        if page is None:
            page = self._encode(region, after, max_bytes)
            if len(self._pages) >= MAX_PAGES:
                del self._pages[next(iter(self._pages))]
            self._pages[key] = page
        return page

    def drop(self, region: str) -> None:
        """Drop the pages of a region whose log has changed."""
        for key in [key for key in self._pages if key[0] == region]:
            del self._pages[key]

    def _encode(self, region: str, after: int, max_bytes: int) -> SharedPage:
        log = self._logs[region]
        page = log.page(after, max_bytes)
        encoded = encode_list(page.encoded)
        digest = log.digest if log.consistent and page.upto == log.head else None
        self._counters.encoded += 1
        checksum = batch_checksum(region, after, page.upto, encoded)
        return SharedPage(page.upto, Raw(encoded), checksum, digest)
