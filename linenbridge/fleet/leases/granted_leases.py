"""The leases that one acceptor has granted: for each slot the newest term, its holder and the end.

Keeps state without I/O. A term is never removed, and a lease is never shortened unless its holder gives it
back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from linenbridge.fleet.leases.messages import SlotRecord


class SlotKey(NamedTuple):
    """One slot of a task."""

    task: str
    slot: int


@dataclass(slots=True)
class GrantedLease:
    """An acceptor's record of one slot; `expires_at` is in microseconds of the acceptor's clock."""

    term: int = 0
    holder: str = ""
    relinquished_term: int = 0
    expires_at: int = 0

    def newest_term(self) -> int:
        """Return the newest term that was granted or given back; 0 if there is none."""
        return max(self.term, self.relinquished_term)

    def is_open(self) -> bool:
        """Return whether the newest term was granted and not given back; its lease may have expired."""
        return self.term > self.relinquished_term


UNKNOWN_SLOT = GrantedLease()  # read only


class GrantedLeases:
    """The granted leases of one acceptor, by slot."""

    def __init__(self) -> None:
        """Start without leases."""
        self._by_slot: dict[SlotKey, GrantedLease] = {}

    def lease(self, key: SlotKey) -> GrantedLease:
        """Return the record of a slot; the caller must not change it."""
        return self._by_slot.get(key, UNKNOWN_SLOT)

    def slots_of(self, task: str) -> set[int]:
        """Return the slots of a task that were ever granted."""
        return {key.slot for key, lease in self._by_slot.items() if lease.term and key.task == task}

    def count(self) -> int:
        """Return how many slots were ever granted."""
        return sum(lease.term > 0 for lease in self._by_slot.values())

    def remaining(self, key: SlotKey, now: int) -> int:
        """Return the microseconds until the lease of a slot ends, 0 if the slot is free."""
        lease = self.lease(key)
        return max(0, lease.expires_at - now) if lease.is_open() else 0

    def grant(self, key: SlotKey, term: int, holder: str, expires_at: int) -> bool:
        """Record a lease. Return whether the change must be stored."""
        lease = self._by_slot.setdefault(key, GrantedLease())
        if (lease.term, lease.holder) == (term, holder):
            lease.expires_at = max(expires_at, lease.expires_at)
            return False
        lease.term = term
        lease.holder = holder
        lease.expires_at = expires_at
        return True

    def relinquish(self, key: SlotKey, term: int, holder: str) -> bool:
        """End the lease of a holder that gives it back; its term can't be granted again.

        Nothing changes if another member holds the slot, or if the holder has a newer term than `term`.
        Return whether the change must be stored.
        """
        lease = self.lease(key)
        if lease.holder != holder or lease.term > term or not lease.is_open():
            return False
        lease.relinquished_term = lease.term
        return True

    def merge(self, record: SlotRecord, expires_at: int) -> bool:
        """Merge another acceptor's record, or a stored one.

        The newer term is kept; of equal terms, the later end. Return whether the change must be stored.
        """
        lease = self._by_slot.setdefault(SlotKey(record.task, record.slot), GrantedLease())
        changed = record.relinquished_term > lease.relinquished_term
        lease.relinquished_term = max(record.relinquished_term, lease.relinquished_term)
        if record.term > lease.term:
            lease.term = record.term
            lease.holder = record.holder
            lease.expires_at = expires_at
            return True
        if record.term == lease.term and record.holder == lease.holder:
            lease.expires_at = max(expires_at, lease.expires_at)
        return changed

    def records(self, now: int) -> list[SlotRecord]:
        """Return the records of all slots with the time left of each, sorted by task and slot."""
        return [self._record(key, self.remaining(key, now)) for key in sorted(self._by_slot)]

    def stored_records(self, keys: Iterable[SlotKey]) -> tuple[SlotRecord, ...]:
        """Return the records of some slots in the form that is stored, without the time left."""
        return tuple(self._record(key, 0) for key in keys)

    def _record(self, key: SlotKey, remaining: int) -> SlotRecord:
        lease = self.lease(key)
        return SlotRecord(key.task, key.slot, lease.term, lease.holder, lease.relinquished_term, remaining)
