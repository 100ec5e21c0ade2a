"""What one acceptor has granted: for each place the newest term, its holder, and when the lease ends.

Keeps state without I/O. It must never forget a term, nor shorten a lease unless its holder gives it back.
"""

from __future__ import annotations

from linenbridge.fleet.leases.messages import SlotRecord

SlotKey = tuple[str, int]  # task and place


class GrantedLeases:
    """Parallel tables by (task, place). Times are microseconds of this acceptor's clock."""

    def __init__(self) -> None:
        self.terms: dict[SlotKey, int] = {}
        self.holders: dict[SlotKey, str] = {}
        self.relinquished_terms: dict[SlotKey, int] = {}
        self.expires_at: dict[SlotKey, int] = {}

    def newest_term(self, key: SlotKey) -> int:
        """The newest term known of a place, 0 if none."""
        return max(self.terms.get(key, 0), self.relinquished_terms.get(key, 0))

    def remaining(self, key: SlotKey, now: int) -> int:
        """Microseconds until the lease of a place ends, 0 if it is free."""
        if self.terms.get(key, 0) <= self.relinquished_terms.get(key, 0):
            return 0
        return max(0, self.expires_at.get(key, 0) - now)

    def grant(self, key: SlotKey, term: int, holder: str, expires_at: int) -> bool:
        """Record a lease. Returns whether the change must be stored."""
        changed = (self.terms.get(key), self.holders.get(key)) != (term, holder)
        self.terms[key], self.holders[key] = term, holder
        self.expires_at[key] = max(expires_at, self.expires_at.get(key, 0)) if not changed else expires_at
        return changed

    def relinquish(self, key: SlotKey, term: int, holder: str) -> bool:
        """The holder gives the place back; its term is closed for good. Returns whether the change must
        be stored."""
        if self.holders.get(key) != holder or self.terms.get(key, 0) > term:
            return False
        if self.relinquished_terms.get(key, 0) >= self.terms.get(key, 0):
            return False
        self.relinquished_terms[key] = self.terms[key]
        return True

    def merge(self, record: SlotRecord, expires_at: int) -> bool:
        """Merge another acceptor's record: the newer term counts, for equal terms the later end. Returns
        whether the change must be stored."""
        key = (record.task, record.slot)
        changed = record.relinquished_term > self.relinquished_terms.get(key, 0)
        self.relinquished_terms[key] = max(record.relinquished_term, self.relinquished_terms.get(key, 0))
        if record.term > self.terms.get(key, 0):
            self.terms[key], self.holders[key], self.expires_at[key] = record.term, record.holder, expires_at
            return True
        if record.term == self.terms.get(key, 0) and record.holder == self.holders.get(key):
            self.expires_at[key] = max(expires_at, self.expires_at.get(key, 0))
        return changed

    def records(self, now: int) -> list[SlotRecord]:
        """The records of all places, sorted by key."""
        keys = sorted(set(self.terms) | set(self.relinquished_terms))
        return [
            SlotRecord(
                *key,
                self.terms.get(key, 0),
                self.holders.get(key, ""),
                self.relinquished_terms.get(key, 0),
                self.remaining(key, now),
            )
            for key in keys
        ]
