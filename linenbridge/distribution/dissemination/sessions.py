"""One follower at a relay: where it is in each region, what it may be sent, and when it was last heard.

Keeps state without I/O. A follower costs a cursor for each region, a window of unacknowledged bytes, and
while ranges are transferred one range.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from linenbridge.distribution.changes import START, Version
from linenbridge.distribution.messages import EncodedBatch, EncodedRangeSnapshot, Follow
from linenbridge.distribution.dissemination.flow_control import MESSAGE_OVERHEAD, TokenBucket, Window
from linenbridge.distribution.dissemination.progress import FollowerProgress


@dataclass(slots=True)
class Transfer:
    """Whole ranges on their way to a follower. `parts` are those left of `index`, each a list of encoded
    changes; `ranges` are those after it."""

    upto: Version
    ranges: deque[int]
    index: int = 0
    part: int = 0
    parts: deque[list[bytes]] = field(default_factory=deque)


@dataclass(slots=True)
class Cursor:
    """What a follower has been sent of one region. `told` is the head at which it was last told the digest,
    or that it is behind the horizon."""

    region: str
    version: Version = START
    transfer: Transfer | None = None
    told: Version | None = None


class Session:
    """One follower between its `Follow` and its loss."""

    def __init__(self, follow: Follow, regions: list[str], window: int, now: int) -> None:
        self.follower, self.number = follow.follower, follow.session
        known = {position.region: position.version for position in follow.positions}
        wanted = [region for region in regions if not follow.regions or region in follow.regions]
        self.cursors = {region: Cursor(region, known.get(region, START)) for region in wanted}
        self.bucket = TokenBucket(max(0, follow.rate), now)
        self.window = Window(max(window, 2 * self.bucket.page_most))
        self.progress = FollowerProgress(follow.follower)
        self.progress.positions = {region: cursor.version.sequence for region, cursor in self.cursors.items()}
        self.heard_at = now
        self.sent_at = now
        self.messages = 0  # sent in this session
        self._order = deque(wanted)

    def may_send(self, now: int) -> bool:
        return self.window.open and self.bucket.ready(now)

    def on_sent(self, message: EncodedBatch | EncodedRangeSnapshot, now: int) -> None:
        size = len(bytes(message.changes)) + MESSAGE_OVERHEAD
        self.messages += 1
        self.window.sent(size)
        self.bucket.take(size)
        self.sent_at = now

    def turn(self) -> Cursor:
        """The regions take turns with their heartbeats."""
        self._order.rotate(-1)
        return self.cursors[self._order[-1]]
