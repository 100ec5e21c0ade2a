"""What one acceptor has granted: for each place the newest term, its holder, and when the lease ends.

Keeps state without I/O. It must never forget a term, nor shorten a lease unless its holder gives it back.
"""

from __future__ import annotations

from linenbridge.fleet.leases.messages import PlaceRecord

Key = tuple[str, int]  # task and place


class Guards:
    """Parallel tables by (task, place). Times are microseconds of this acceptor's clock."""

    def __init__(self) -> None:
        self.term: dict[Key, int] = {}
        self.holder: dict[Key, str] = {}
        self.closed: dict[Key, int] = {}
        self.until: dict[Key, int] = {}

    def newest(self, key: Key) -> int:
        """The newest term known of a place, 0 if none."""
        return max(self.term.get(key, 0), self.closed.get(key, 0))

    def left(self, key: Key, now: int) -> int:
        """Microseconds until the lease of a place ends, 0 if it is free."""
        if self.term.get(key, 0) <= self.closed.get(key, 0):
            return 0
        return max(0, self.until.get(key, 0) - now)

    def grant(self, key: Key, term: int, holder: str, until: int) -> bool:
        """Record a lease. Returns whether the change must be stored."""
        changed = (self.term.get(key), self.holder.get(key)) != (term, holder)
        self.term[key], self.holder[key] = term, holder
        self.until[key] = max(until, self.until.get(key, 0)) if not changed else until
        return changed

    def give_back(self, key: Key, term: int, holder: str) -> bool:
        """The holder gives the place back; its term is closed for good. Returns whether the change must
        be stored."""
        if self.holder.get(key) != holder or self.term.get(key, 0) > term:
            return False
        if self.closed.get(key, 0) >= self.term.get(key, 0):
            return False
        self.closed[key] = self.term[key]
        return True

    def merge(self, place: PlaceRecord, until: int) -> bool:
        """Merge another acceptor's record: the newer term counts, for equal terms the later end. Returns
        whether the change must be stored."""
        key = (place.task, place.place)
        changed = place.closed > self.closed.get(key, 0)
        self.closed[key] = max(place.closed, self.closed.get(key, 0))
        if place.term > self.term.get(key, 0):
            self.term[key], self.holder[key], self.until[key] = place.term, place.holder, until
            return True
        if place.term == self.term.get(key, 0) and place.holder == self.holder.get(key):
            self.until[key] = max(until, self.until.get(key, 0))
        return changed

    def rows(self, now: int) -> list[PlaceRecord]:
        """The records of all places, sorted by key."""
        keys = sorted(set(self.term) | set(self.closed))
        return [
            PlaceRecord(
                *key,
                self.term.get(key, 0),
                self.holder.get(key, ""),
                self.closed.get(key, 0),
                self.left(key, now),
            )
            for key in keys
        ]
