"""Flow control of one follower: a token bucket in bytes a second, and a window of unacknowledged bytes.

Keeps state without I/O. Both bound the sender: a follower that reads slowly or not at all costs its relay no
more than a window.
"""

from __future__ import annotations

from collections import deque

from linenbridge.distribution.dissemination.settings import SECOND

MESSAGE_OVERHEAD = 96  # bytes of a message beside its changes: its fields, the link's framing, the headers
BUCKET_PARTS = 4  # a bucket holds a quarter of a second's bytes, a page at most as many
MAX_PAGE_BYTES = 48_000  # bytes of changes in one message, unless a single one is larger


class TokenBucket:
    """A bound of `rate` bytes a second; 0 is no bound.

    The bucket goes into debt for one message: over any time T at most `rate * T`, a quarter of a second's
    bytes and one message pass.
    """

    def __init__(self, rate: int, now: int) -> None:
        self.rate = rate
        self._depth = max(1, rate // BUCKET_PARTS) * SECOND
        self._tokens = self._depth  # in bytes times microseconds
        self._at = now

    def ready(self, now: int) -> bool:
        """Whether a message may be sent now."""
        if not self.rate:
            return True
        self._tokens = min(self._depth, self._tokens + (now - self._at) * self.rate)
        self._at = now
        return self._tokens > 0

    def take(self, size: int) -> None:
        """Account for a message of `size` bytes."""
        if self.rate:
            self._tokens -= size * SECOND

    @property
    def max_page_bytes(self) -> int:
        """The bytes of changes that one message may have."""
        return min(MAX_PAGE_BYTES, max(1, self.rate // BUCKET_PARTS)) if self.rate else MAX_PAGE_BYTES


class Window:
    """Messages that are sent and not acknowledged: at most `max_bytes` and one message."""

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
        """Whether heartbeats may be sent: also to a follower that is slow to apply what it received."""
        return self.outstanding < 2 * self._max_bytes

    def sent(self, size: int) -> None:
        """Account for a message of `size` bytes."""
        self._sizes.append(size)
        self.outstanding += size

    def acknowledge(self, received: int) -> None:
        """The follower has processed `received` messages since the session began."""
        while self.acknowledged < received and self._sizes:
            self.outstanding -= self._sizes.popleft()
            self.acknowledged += 1
