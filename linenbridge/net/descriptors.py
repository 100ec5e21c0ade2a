"""A limit on open sockets.

This module owns the count of descriptors in use. The caller that acquires a descriptor has to release it.
"""

from __future__ import annotations

from collections.abc import Callable


def _evict_nothing() -> bool:
    return False


class Descriptors:
    """Counts descriptors in use, up to `limit`.

    At the limit, `evict` is called; it may close one socket and then returns True.
    """

    def __init__(self, limit: int, evict: Callable[[], bool] = _evict_nothing) -> None:
        self.limit = limit
        self.evict = evict
        self.open = 0

    def acquire(self) -> bool:
        """Acquire a descriptor; return False if none is available and none can be evicted."""
        if self.open >= self.limit and not self.evict():
            return False
        self.open += 1
        return True

    def available(self) -> int:
        """Return the number of descriptors that are available."""
        return self.limit - self.open

    def release(self) -> None:
        """Release a descriptor."""
        self.open -= 1
