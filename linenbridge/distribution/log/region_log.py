"""A region's log in memory, as its relays and its publisher hold it: a compacted part, then a dense one.

Keeps state without I/O. Up to `committed` only the newest entry of each key is held, in order of sequence;
behind it every entry. So the log grows with the number of keys, not with time. A deletion is an entry without
a value (a tombstone); once every relay of the region has committed it, it is purged, the oldest first.

Entries of kind LOG are about the log itself. One with an empty name starts a publisher's epoch. One named
RELAY/NUMBER (hexadecimal) says which incarnation of a relay counts from there on.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from contextlib import suppress
from typing import NamedTuple

from linenbridge.distribution.changes import START, Change, Kind, Version

MAX_PAGE_BYTES = 48_000  # of entries in one message; a single larger entry goes alone
MAX_ENTRY_OVERHEAD_BYTES = 64  # of an entry in a message beside its name and value
MIN_HOLES = 64  # sequences of removed entries before the order is rebuilt
MAX_TOMBSTONES = 50_000  # held; then the older half of them is purged


class IncarnationRecord(NamedTuple):
    """Which incarnation of a relay counts, and the sequence of the entry that says so."""

    number: int
    sequence: int


class CommitResult(NamedTuple):
    """`committed` are the entries that a commit added and that are still the newest of their keys, in order;
    `superseded` the sequences of entries that were removed for newer ones."""

    committed: list[Change]
    superseded: list[int]


class LogPage(NamedTuple):
    """Consecutive entries of a log, and whether it goes on behind them."""

    changes: list[Change]
    more: bool


def max_bytes_of(change: Change) -> int:
    """What an entry takes in a message, at most."""
    return len(change.name.encode()) + len(change.value) + MAX_ENTRY_OVERHEAD_BYTES


def incarnation_entry_name(relay: str, incarnation: int) -> str:
    """The name of the entry that makes a relay's incarnation count."""
    return f"{relay}/{incarnation:x}"


def _compaction_key(change: Change) -> tuple[int, str]:
    """Which entries replace each other: for entries about the log, the newest one about a relay replaces
    those before."""
    if change.kind == Kind.LOG:
        return change.kind, change.name.rpartition("/")[0]
    return change.key


class Log:
    """Entries by sequence.

    `committed` is the newest sequence that a majority is known to have. Tombstones up to `purged_up_to` were
    purged. `incarnations` is by relay and includes entries that are not committed.
    """

    max_tombstones = MAX_TOMBSTONES

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Remove all entries and start from nothing."""
        self.committed = 0
        self.purged_up_to = 0
        self.incarnations: dict[str, IncarnationRecord] = {}
        self._entries: dict[int, Change] = {}
        self._order: list[int] = []  # sequences, with those of removed entries until it is rebuilt
        self._newest: dict[tuple[int, str], int] = {}  # the committed entry of each key
        self._tombstones: deque[int] = deque()  # committed ones, with some that were superseded

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last(self) -> Version:
        """The newest entry's version."""
        return self._entries[self._order[-1]].version if self._order else START

    def version_at(self, sequence: int) -> Version | None:
        """The version of the entry at a sequence, if it is held."""
        entry = self._entries.get(sequence)
        return entry.version if entry is not None else None

    def agrees_at(self, version: Version) -> bool:
        """Whether this log equals, up to `version`, one that holds it or has committed up to its sequence."""
        return version.sequence <= self.committed or self.version_at(version.sequence) == version

    def append(self, change: Change) -> None:
        """Add an entry behind all others."""
        self._entries[change.sequence] = change
        self._order.append(change.sequence)
        self._note_incarnation(change)

    def truncate(self, after: int) -> None:
        """Remove all entries behind a sequence. ValueError where that would remove committed ones."""
        if after < self.committed:
            raise ValueError(
                f"entries up to {self.committed} are committed; cannot drop those behind {after}"
            )
        while self._order and self._order[-1] > after:
            del self._entries[self._order.pop()]
        self.incarnations = {}
        for entry in self._entries.values():
            self._note_incarnation(entry)

    def commit(self, upto: int) -> CommitResult:
        """Mark the entries up to a sequence as committed, and remove those that they supersede."""
        committed = list[Change]()
        superseded = list[int]()
        upto = min(upto, self.last.sequence)
        for sequence in self._order[bisect_right(self._order, self.committed) :]:
            if sequence > upto:
                break
            entry = self._entries[sequence]
            committed.append(entry)
            older = self._newest.get(_compaction_key(entry))
            if older is not None:
                superseded.append(older)
            self._newest[_compaction_key(entry)] = sequence
            if not entry.value and entry.kind != Kind.LOG:
                self._tombstones.append(sequence)
        for sequence in superseded:
            del self._entries[sequence]
        self.committed = max(self.committed, upto)
        self._rebuild_order()
        removed = set(superseded)
        return CommitResult([entry for entry in committed if entry.sequence not in removed], superseded)

    def purge_tombstones(self, upto: int) -> list[int]:
        """Remove the tombstones up to a sequence that is behind the newest committed one; their sequences."""
        removed = list[int]()
        while self._tombstones and self._tombstones[0] <= upto < self.committed:
            entry = self._entries.pop(self._tombstones.popleft(), None)
            if entry is not None:
                del self._newest[_compaction_key(entry)]
                removed.append(entry.sequence)
        self.purged_up_to = max(self.purged_up_to, upto)
        self._rebuild_order()
        return removed

    def purge_target(self) -> int:
        """Up to where tombstones should be purged: no further than they were while there are few."""
        if len(self._tombstones) > self.max_tombstones:
            self._tombstones = deque(sequence for sequence in self._tombstones if sequence in self._entries)
        if len(self._tombstones) <= self.max_tombstones:
            return self.purged_up_to
        return self._tombstones[len(self._tombstones) - self.max_tombstones // 2 - 1]

    def page_after(self, sequence: int, max_bytes: int = MAX_PAGE_BYTES) -> LogPage:
        """The entries behind a sequence, in order, as many as one message takes."""
        page = list[Change]()
        size = 0
        for place in range(bisect_right(self._order, sequence), len(self._order)):
            entry = self._entries.get(self._order[place])
            if entry is None:
                continue
            size += max_bytes_of(entry)
            if page and size > max_bytes:
                return LogPage(page, more=True)
            page.append(entry)
        return LogPage(page, more=False)

    def newest_of_each_key(self) -> list[Change]:
        """All that is committed, in order."""
        return [entry for entry in self._entries.values() if entry.sequence <= self.committed]

    def incarnation_counts(self, relay: str, incarnation: int) -> bool:
        """Whether the committed log says that this incarnation of a relay counts."""
        record = self.incarnations.get(relay)
        return record is not None and record.number == incarnation and record.sequence <= self.committed

    def _note_incarnation(self, change: Change) -> None:
        if change.kind != Kind.LOG or not change.name:
            return
        relay, _, number = change.name.rpartition("/")
        with suppress(ValueError):
            self.incarnations[relay] = IncarnationRecord(int(number, 16), change.sequence)

    def _rebuild_order(self) -> None:
        if len(self._order) > 2 * len(self._entries) + MIN_HOLES:
            self._order = list(self._entries)
