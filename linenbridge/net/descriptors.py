"""A budget of open sockets. Owns the count; whoever takes a descriptor gives it back."""

from __future__ import annotations

from collections.abc import Callable


def _evict_nothing() -> bool:
    return False


class Descriptors:
    """How many sockets may be open; where none is left, `evict` may close one and return True."""

    def __init__(self, limit: int, evict: Callable[[], bool] = _evict_nothing) -> None:
        self.limit = limit
        self.evict = evict
        self.open = 0

    def acquire(self) -> bool:
        """Take one; False where none is left and none can be evicted."""
        if self.open >= self.limit and not self.evict():
            return False
        self.open += 1
        return True

    def available(self) -> int:
        """Return how many are left."""
        return self.limit - self.open

    def release(self) -> None:
        """Give one back."""
        self.open -= 1
