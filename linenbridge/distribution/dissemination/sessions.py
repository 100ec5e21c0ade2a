"""A relay's state of one follower: its position in each region, its flow control and its last progress.

The module performs no I/O. The memory for a follower is a cursor for each region, a window of unacknowledged
bytes and, during a transfer, one range.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from linenbridge.distribution.changes import START, Version
from linenbridge.distribution.dissemination.flow_control import MESSAGE_OVERHEAD, TokenBucket, Window
from linenbridge.distribution.dissemination.progress import FollowerProgress
from linenbridge.distribution.dissemination.range_transfer import RangeTransfer
from linenbridge.distribution.messages import EncodedBatch, EncodedRangeSnapshot, Follow


@dataclass(slots=True)
class Cursor:
    """The position up to which a follower has been sent the changes of one region.

    `reported_head` is the head of the log when the follower was last sent the digest or the horizon.
    """

    region: str
    version: Version = START
    transfer: RangeTransfer | None = None
    reported_head: Version | None = None


class Session:
    """The session of one follower, from its `Follow` until its loss. Times are in microseconds."""

    def __init__(self, follow: Follow, regions: list[str], window: int, now: int) -> None:
        self.follower = follow.follower
        self.number = follow.session
        known = {position.region: position.version for position in follow.positions}
        wanted = [region for region in regions if not follow.regions or region in follow.regions]
        self.cursors = {region: Cursor(region, known.get(region, START)) for region in wanted}
        self.bucket = TokenBucket(max(0, follow.rate), now)
        self.window = Window(max(window, 2 * self.bucket.max_page_bytes))
        self.progress = FollowerProgress(follow.follower)
        self.progress.positions = {region: cursor.version.sequence for region, cursor in self.cursors.items()}
        self.received_at = now
        self.sent_at = now
        self.messages = 0  # sent in this session
        self._order = deque(wanted)

    def may_send(self, now: int) -> bool:
        """Return whether the window and the rate allow a message now."""
        return self.window.open and self.bucket.ready(now)

    def on_sent(self, message: EncodedBatch | EncodedRangeSnapshot, now: int) -> None:
        """Account for a sent message in the window, the token bucket and the counts."""
        size = len(bytes(message.changes)) + MESSAGE_OVERHEAD
        self.messages += 1
        self.window.sent(size)
        self.bucket.take(size)
        self.sent_at = now

    def next_heartbeat_cursor(self) -> Cursor:
        """Return the cursor of the region that the next heartbeat is for. Regions are used in rotation."""
        self._order.rotate(-1)
        return self.cursors[self._order[-1]]
