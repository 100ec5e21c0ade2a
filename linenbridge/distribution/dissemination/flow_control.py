"""What one follower is sent: bytes a second by a token bucket, and a window of unacknowledged bytes.

Keeps state without I/O. Both are bounds on the side of the sender: a follower that reads slowly or not at all
costs its relay no more than a window.
"""

from __future__ import annotations

from collections import deque

SECOND = 1_000_000
MESSAGE_OVERHEAD = 96  # bytes of a message beside its changes: its fields, the link's framing, the headers
BUCKET_PARTS = 4  # a bucket holds a quarter of a second's bytes, a page of changes no more than that
MAX_PAGE_BYTES = 48_000  # bytes of changes in one message, unless a single one is larger


class TokenBucket:
    """Bytes a second, `rate`; 0 is no bound. It goes into debt for one message, so over any time T at most
    `rate * T` and a quarter of a second's bytes and one message pass."""

    def __init__(self, rate: int, now: int) -> None:
        self.rate = rate
        self._depth = max(1, rate // BUCKET_PARTS) * SECOND
        self._tokens = self._depth  # in bytes times microseconds
        self._at = now

    def ready(self, now: int) -> bool:
        """Whether a message may pass now."""
        if not self.rate:
            return True
        self._tokens = min(self._depth, self._tokens + (now - self._at) * self.rate)
        self._at = now
        return self._tokens > 0

    def take(self, size: int) -> None:
        if self.rate:
            self._tokens -= size * SECOND

    @property
    def max_page_bytes(self) -> int:
        """Bytes of changes that one message holds."""
        return min(MAX_PAGE_BYTES, max(1, self.rate // BUCKET_PARTS)) if self.rate else MAX_PAGE_BYTES


class Window:
    """Bytes sent and not acknowledged, at most `max_bytes` and one message."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._sizes: deque[int] = deque()
        self.outstanding = 0  # bytes
        self.acknowledged = 0  # messages

    @property
    def open(self) -> bool:
        return self.outstanding < self._max_bytes

    @property
    def open_for_heartbeats(self) -> bool:
        """A follower that is slow to apply is still to know that its relay lives."""
        return self.outstanding < 2 * self._max_bytes

    def sent(self, size: int) -> None:
        self._sizes.append(size)
        self.outstanding += size

    def acknowledge(self, received: int) -> None:
        """The follower is done with so many messages since the session began."""
        while self.acknowledged < received and self._sizes:
            self.outstanding -= self._sizes.popleft()
            self.acknowledged += 1
