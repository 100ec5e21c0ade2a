"""A region's log in memory, as its relays and its publisher hold it: a compacted part, then a dense part.

It does no I/O. Up to `committed` the log holds only the newest entry of each key, in order of sequence; after
`committed` it holds every entry. The log therefore grows with the number of keys, not with time. A deletion
is an entry without a value (a tombstone). Once every relay of the region has committed a tombstone, it is
purged, the oldest first.

Entries of kind LOG are about the log itself. An entry with an empty name starts a publisher's epoch. An entry
named RELAY/NUMBER (hexadecimal) makes that incarnation of the relay count towards majorities.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from contextlib import suppress
from typing import NamedTuple

from linenbridge.distribution.changes import START, Change, Kind, Version

MAX_PAGE_BYTES = 48_000  # of entries in one message; a larger entry is sent alone
MAX_ENTRY_OVERHEAD_BYTES = 64  # of an entry in a message, without its name and value
MIN_HOLES = 64  # sequences of removed entries in the order before it is rebuilt
MAX_TOMBSTONES = 50_000  # above which the older half of them is purged


class IncarnationRecord(NamedTuple):
    """The incarnation of a relay that counts, and the sequence of the entry that names it."""

    number: int
    sequence: int


class CommitResult(NamedTuple):
    """Result of a commit.

    `committed` are the newly committed entries that are the newest of their keys, in order. `superseded` are
    the sequences of the entries that were removed because newer ones replace them.
    """

    committed: list[Change]
    superseded: list[int]


class LogPage(NamedTuple):
    """Consecutive entries of a log; `more` is set if further entries follow."""

    changes: list[Change]
    more: bool


def max_bytes_of(change: Change) -> int:
    """Return the most bytes that an entry takes in a message."""
    return len(change.name.encode()) + len(change.value) + MAX_ENTRY_OVERHEAD_BYTES


def incarnation_entry_name(relay: str, incarnation: int) -> str:
    """Return the name of the entry that makes a relay's incarnation count."""
    return f"{relay}/{incarnation:x}"


def _compaction_key(change: Change) -> tuple[int, str]:
    """Return the key by which a newer entry replaces an older one. For an entry that names an incarnation, it
    is the relay's name, so that the newest such entry of a relay replaces the earlier ones."""
    if change.kind == Kind.LOG:
        return change.kind, change.name.rpartition("/")[0]
    return change.key


class Log:
    """The entries of a log, by sequence.

    `committed` is the newest sequence that a majority is known to have. Tombstones up to `purged_up_to` were
    purged. `incarnations` is keyed by relay and includes entries that are not committed.
    """

    max_tombstones = MAX_TOMBSTONES

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Reset the log to an empty one."""
        self.committed = 0
        self.purged_up_to = 0
        self.incarnations: dict[str, IncarnationRecord] = {}
        self._entries: dict[int, Change] = {}
        self._order: list[int] = []  # all sequences; those of removed entries stay until it is rebuilt
        self._newest: dict[tuple[int, str], int] = {}  # sequence of each key's committed entry
        self._tombstones: deque[int] = deque()  # committed tombstones, and some that were superseded

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last(self) -> Version:
        """Version of the newest entry."""
        return self._entries[self._order[-1]].version if self._order else START

    def version_at(self, sequence: int) -> Version | None:
        """Return the version of the entry at a sequence; None if the log does not hold it."""
        entry = self._entries.get(sequence)
        return entry.version if entry is not None else None

    def agrees_at(self, version: Version) -> bool:
        """Return whether this log agrees, up to `version`, with a log that holds `version` or has committed
        up to its sequence."""
        return version.sequence <= self.committed or self.version_at(version.sequence) == version

    def append(self, change: Change) -> None:
        """Append an entry; its sequence is higher than that of all others."""
        self._entries[change.sequence] = change
        self._order.append(change.sequence)
        self._note_incarnation(change)

    def truncate(self, after: int) -> None:
        """Remove all entries after a sequence. Raises ValueError if some of them are committed."""
        if after < self.committed:
            raise ValueError(
                f"entries up to {self.committed} are committed; cannot remove those after {after}"
            )
        while self._order and self._order[-1] > after:
            del self._entries[self._order.pop()]
        self.incarnations = {}
        for entry in self._entries.values():
            self._note_incarnation(entry)

    def commit(self, upto: int) -> CommitResult:
        """Mark the entries up to a sequence as committed, and remove the entries that they supersede."""
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
        """Remove the tombstones up to the sequence `upto`, and return their sequences.

        Nothing is removed unless `upto` is below the committed sequence.
        """
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
        """Return the sequence up to which tombstones should be purged.

        It is the present `purged_up_to` unless there are more than `max_tombstones`.
        """
        if len(self._tombstones) > self.max_tombstones:
            self._tombstones = deque(sequence for sequence in self._tombstones if sequence in self._entries)
        if len(self._tombstones) <= self.max_tombstones:
            return self.purged_up_to
        return self._tombstones[len(self._tombstones) - self.max_tombstones // 2 - 1]

    def page_after(self, sequence: int, max_bytes: int = MAX_PAGE_BYTES) -> LogPage:
        """Return the entries after a sequence, in order, as many as fit into one message."""
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
        """Return all committed entries that the log holds, in order."""
        return [entry for entry in self._entries.values() if entry.sequence <= self.committed]

    def incarnation_counts(self, relay: str, incarnation: int) -> bool:
        """Return whether the committed log names this incarnation of a relay, so that it counts towards
        majorities."""
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
