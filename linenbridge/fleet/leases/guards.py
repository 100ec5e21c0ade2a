"""What one acceptor has granted: the newest term of each place, whose it is, and until when it is kept from
others.

Keeps state without I/O. It must never forget a term, nor shorten what it keeps for a holder other than by the
holder's own word.
"""

from __future__ import annotations

from linenbridge.fleet.leases.messages import PlaceRecord

Key = tuple[str, int]  # task and place


class Guards:
    """Parallel tables by (task, place). Times are on this acceptor's clock."""

    def __init__(self) -> None:
        self.term: dict[Key, int] = {}
        self.holder: dict[Key, str] = {}
        self.closed: dict[Key, int] = {}
        self.until: dict[Key, int] = {}

    def newest(self, key: Key) -> int:
        return max(self.term.get(key, 0), self.closed.get(key, 0))

    def left(self, key: Key, now: int) -> int:
        """How long a place is still kept for its holder."""
        if self.term.get(key, 0) <= self.closed.get(key, 0):
            return 0
        return max(0, self.until.get(key, 0) - now)

    def grant(self, key: Key, term: int, holder: str, until: int) -> bool:
        """Whether what must outlive the process has changed."""
        changed = (self.term.get(key), self.holder.get(key)) != (term, holder)
        self.term[key], self.holder[key] = term, holder
        self.until[key] = max(until, self.until.get(key, 0)) if not changed else until
        return changed

    def give_back(self, key: Key, term: int, holder: str) -> bool:
        """The holder leaves: nobody gets that term again. Whether what must outlive the process has
        changed."""
        if self.holder.get(key) != holder or self.term.get(key, 0) > term:
            return False
        if self.closed.get(key, 0) >= self.term.get(key, 0):
            return False
        self.closed[key] = self.term[key]
        return True

    def merge(self, place: PlaceRecord, until: int) -> bool:
        """What another acceptor remembers; the newer term counts, of the same one the later end."""
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
        """All places, in a lasting order."""
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
