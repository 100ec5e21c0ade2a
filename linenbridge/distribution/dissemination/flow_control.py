"""Flow control of one follower: a token bucket in bytes per second, and a window of unacknowledged bytes.

Neither performs I/O. Both limit the sender: for a follower that reads slowly or not at all, the relay buffers
at most one window.
"""

from __future__ import annotations

from collections import deque

from linenbridge.distribution.dissemination.settings import SECOND

MESSAGE_OVERHEAD = 96  # bytes of a message without its changes: fields, framing of the link, headers
BUCKETS_PER_SECOND = 4  # a bucket and a page hold the bytes of a quarter of a second at most
MAX_PAGE_BYTES = 48_000  # bytes of changes in one message, unless a single change is larger


class TokenBucket:
    """A token bucket with a rate of `rate` bytes per second; 0 means no limit.

    A message may be sent whenever the bucket is not empty, and may overdraw it. Over any time T at most
    `rate * T` bytes, the bytes of a quarter of a second and one message are sent.
    """

    def __init__(self, rate: int, now: int) -> None:
        self.rate = rate
        self._depth = max(1, rate // BUCKETS_PER_SECOND) * SECOND
        self._tokens = self._depth  # in bytes times microseconds
        self._refilled_at = now

    def ready(self, now: int) -> bool:
        """Return whether a message may be sent now."""
        if not self.rate:
            return True
        self._tokens = min(self._depth, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
        return self._tokens > 0

    def take(self, size: int) -> None:
        """Remove the tokens of a message of `size` bytes."""
        if self.rate:
            self._tokens -= size * SECOND

    @property
    def max_page_bytes(self) -> int:
        """The maximum size of the changes in one message, in bytes."""
        return min(MAX_PAGE_BYTES, max(1, self.rate // BUCKETS_PER_SECOND)) if self.rate else MAX_PAGE_BYTES


class Window:
    """The messages that are sent and not acknowledged: at most `max_bytes` plus one message."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._sizes: deque[int] = deque()
        self.outstanding = 0  # bytes
        self.acknowledged = 0  # messages

    @property
    def open(self) -> bool:
        """Whether changes may be sent."""
        return self.outstanding < self._max_bytes

    @property
    def open_for_heartbeats(self) -> bool:
        """Whether heartbeats may be sent. The limit is twice that for changes, so that a follower that
        applies changes slowly still receives heartbeats."""
        return self.outstanding < 2 * self._max_bytes

    def sent(self, size: int) -> None:
        """Add a sent message of `size` bytes."""
        self._sizes.append(size)
        self.outstanding += size

    def acknowledge(self, received: int) -> None:
        """Remove acknowledged messages. `received` is the number of messages of this session that the
        follower has processed."""
        while self.acknowledged < received and self._sizes:
            self.outstanding -= self._sizes.popleft()
            self.acknowledged += 1
