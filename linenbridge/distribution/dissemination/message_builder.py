"""Selection and building of the next message to a follower: a batch, a part of a range, or an empty batch.

The flow control of the session decides whether a message may be sent now.
"""

from __future__ import annotations

from msgspec import Raw

from linenbridge.distribution.dissemination.compacted_log import CompactedLog
from linenbridge.distribution.dissemination.counters import FeedCounters
from linenbridge.distribution.dissemination.encoded_lists import EMPTY_LIST
from linenbridge.distribution.dissemination.page_cache import PageCache
from linenbridge.distribution.dissemination.range_transfer import RangeTransfer
from linenbridge.distribution.dissemination.sessions import Cursor, Session
from linenbridge.distribution.messages import (
    EncodedBatch,
    EncodedRangeSnapshot,
    batch_checksum,
    range_checksum,
)

_NO_CHANGES = Raw(EMPTY_LIST)


class MessageBuilder:
    """Builds messages from the logs of all regions, and moves the cursor of the follower with each one."""

    def __init__(self, logs: dict[str, CompactedLog], pages: PageCache, counters: FeedCounters) -> None:
        self._logs = logs
        self._pages = pages
        self._counters = counters

    def has_more(self, cursor: Cursor) -> bool:
        """Return whether a message for this cursor is waiting."""
        log = self._logs[cursor.region]
        if log.replacing:
            return False
        if cursor.transfer is not None:
            return True
        if cursor.version == log.head or cursor.version.sequence < self._horizon(cursor):
            return log.consistent and cursor.reported_head != log.head
        return cursor.version < log.head

    def next_message(self, session: Session, cursor: Cursor) -> EncodedBatch | EncodedRangeSnapshot:
        """Return the waiting message. Requires that `has_more` is true for the cursor."""
        if cursor.transfer is not None:
            return self._range_part(session, cursor, cursor.transfer)
        if cursor.version == self._logs[cursor.region].head:
            return self.empty_batch(session, cursor)
        if cursor.version.sequence < self._horizon(cursor):
            return self.empty_batch(session, cursor)  # the follower requests ranges
        return self._batch(session, cursor)

    def empty_batch(self, session: Session, cursor: Cursor) -> EncodedBatch:
        """Return a batch without changes at the cursor, with the digest if the cursor is at the head.

        If the log is not consistent or a transfer is running, the batch has neither digest nor horizon, so
        that the follower does not request ranges.
        """
        log = self._logs[cursor.region]
        version = cursor.version
        digest = None
        horizon = 0
        if log.consistent and cursor.transfer is None:
            cursor.reported_head = log.head
            digest = log.digest if version == log.head else None
            horizon = self._horizon(cursor)
        return EncodedBatch(
            session=session.number,
            region=cursor.region,
            after=version.sequence,
            upto=version,
            changes=_NO_CHANGES,
            digest=digest,
            horizon=horizon,
            checksum=batch_checksum(cursor.region, version.sequence, version, EMPTY_LIST),
            number=session.messages + 1,
        )

    def _horizon(self, cursor: Cursor) -> int:
        """Return the sequence before which this follower needs ranges.

        A follower also needs ranges if its position is not part of the history of the log, because the region
        has lost all its disks and started again.
        """
        log = self._logs[cursor.region]
        diverged = cursor.version.epoch < log.head.epoch and cursor.version.sequence >= log.head.sequence
        return cursor.version.sequence + 1 if diverged else log.horizon

    def _batch(self, session: Session, cursor: Cursor) -> EncodedBatch:
        after = cursor.version.sequence
        page = self._pages.page(cursor.region, after, session.bucket.max_page_bytes)
        cursor.version = page.upto
        if page.digest is not None:
            cursor.reported_head = page.upto
        self._counters.batches += 1
        return EncodedBatch(
            session=session.number,
            region=cursor.region,
            after=after,
            upto=page.upto,
            changes=page.changes,
            digest=page.digest,
            horizon=self._logs[cursor.region].horizon,
            checksum=page.checksum,
            number=session.messages + 1,
        )

    def _range_part(self, session: Session, cursor: Cursor, transfer: RangeTransfer) -> EncodedRangeSnapshot:
        log = self._logs[cursor.region]
        part = transfer.next_part(log, session.bucket.max_page_bytes)
        if part.final:
            cursor.version = transfer.upto
            cursor.transfer = None
        self._counters.ranges += part.last
        upto = transfer.upto
        return EncodedRangeSnapshot(
            session=session.number,
            region=cursor.region,
            upto=upto,
            range_index=part.index,
            part=part.part,
            last=part.last,
            final=part.final,
            changes=Raw(part.changes),
            horizon=log.horizon,
            checksum=range_checksum(cursor.region, upto, part.index, part.part, part.last, part.changes),
            number=session.messages + 1,
        )
