"""A region's log in memory, as its relays and its publisher hold it: a compacted part, then a dense one.

Keeps state without I/O. Up to `committed` only the newest entry of each key is held, in order of sequence;
behind it every entry. So the log grows with the number of keys, not with time. A deletion is an entry as any
other; it is let go, oldest first and far behind, once every relay of the region has committed it.

Entries of kind LOG are about the log itself. One with an empty name begins a publisher's epoch. One named
RELAY/LIFE (LIFE in hexadecimal) says which life of a relay counts from there on.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from contextlib import suppress
from typing import NamedTuple

from linenbridge.distribution.changes import START, Change, Kind, Version

PAGE_BYTES = 48_000  # of entries in one message; a single larger entry goes alone
ENTRY_BYTES = 64  # what an entry takes in a message beside its name and value, at the most
HOLES_LEAST = 64  # sequences that were let go before the order is made anew
DELETIONS_MOST = 50_000  # held; then the older half of them is let go


class Life(NamedTuple):
    """Which life of a relay counts, and the sequence of the entry that says so."""

    number: int
    sequence: int


def bytes_of(change: Change) -> int:
    """What an entry takes in a message, at the most."""
    return len(change.name.encode()) + len(change.value) + ENTRY_BYTES


def life_name(relay: str, life: int) -> str:
    """The name of the entry that makes a relay's life count."""
    return f"{relay}/{life:x}"


def _key(change: Change) -> tuple[int, str]:
    """Which entry replaces which: the newest one about a relay's lives replaces those before."""
    if change.kind == Kind.LOG:
        return change.kind, change.name.rpartition("/")[0]
    return change.key


class Log:
    """Entries by sequence. `committed` is the newest sequence that a majority is known to have; deletions up
    to `settled` were let go."""

    deletions_most = DELETIONS_MOST

    def __init__(self) -> None:
        self.committed = self.settled = 0
        self.lives: dict[str, Life] = {}  # by relay, committed or not
        self._entries: dict[int, Change] = {}
        self._order: list[int] = []  # sequences, with those that were let go until it is made anew
        self._newest: dict[tuple[int, str], int] = {}  # the committed entry of each key
        self._deletions: deque[int] = deque()  # committed ones, with some that were superseded

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
        """Whether this log and one that holds `version`, or has committed up to its sequence, are the same
        up to there."""
        return version.sequence <= self.committed or self.version_at(version.sequence) == version

    def append(self, change: Change) -> None:
        """An entry behind all others."""
        self._entries[change.sequence] = change
        self._order.append(change.sequence)
        self._note_life(change)

    def truncate(self, after: int) -> None:
        """Drop all entries behind a sequence; never committed ones."""
        if after < self.committed:
            raise ValueError(
                f"entries up to {self.committed} are committed; cannot drop those behind {after}"
            )
        while self._order and self._order[-1] > after:
            del self._entries[self._order.pop()]
        self.lives = {}
        for entry in self._entries.values():
            self._note_life(entry)

    def commit(self, upto: int) -> tuple[list[Change], list[int]]:
        """Entries up to a sequence are committed from now on: those that are, in order, and the sequences
        that they supersede, which are let go."""
        committed, superseded = list[Change](), list[int]()
        upto = min(upto, self.last.sequence)
        for sequence in self._order[bisect_right(self._order, self.committed) :]:
            if sequence > upto:
                break
            entry = self._entries[sequence]
            committed.append(entry)
            older = self._newest.get(_key(entry))
            if older is not None:
                superseded.append(older)
            self._newest[_key(entry)] = sequence
            if not entry.value and entry.kind != Kind.LOG:
                self._deletions.append(sequence)
        for sequence in superseded:
            del self._entries[sequence]
        self.committed = max(self.committed, upto)
        self._make_order_anew()
        gone = set(superseded)
        return [entry for entry in committed if entry.sequence not in gone], superseded

    def forget(self) -> None:
        """Begin with nothing."""
        self.__init__()

    def settle(self, upto: int) -> list[int]:
        """Let deletions up to a sequence go that is behind the newest committed one; their sequences."""
        gone = list[int]()
        while self._deletions and self._deletions[0] <= upto < self.committed:
            entry = self._entries.pop(self._deletions.popleft(), None)
            if entry is not None:
                del self._newest[_key(entry)]
                gone.append(entry.sequence)
        self.settled = max(self.settled, upto)
        self._make_order_anew()
        return gone

    def settles_at(self) -> int:
        """Up to where deletions should be let go: nowhere new while there are few."""
        if len(self._deletions) > self.deletions_most:
            self._deletions = deque(sequence for sequence in self._deletions if sequence in self._entries)
        if len(self._deletions) <= self.deletions_most:
            return self.settled
        return self._deletions[len(self._deletions) - self.deletions_most // 2 - 1]

    def after(self, sequence: int, most_bytes: int = PAGE_BYTES) -> tuple[list[Change], bool]:
        """A page of the entries behind a sequence, in order, and whether there are more."""
        page, size = list[Change](), 0
        for place in range(bisect_right(self._order, sequence), len(self._order)):
            entry = self._entries.get(self._order[place])
            if entry is None:
                continue
            size += bytes_of(entry)
            if page and size > most_bytes:
                return page, True
            page.append(entry)
        return page, False

    def newest_of_each_key(self) -> list[Change]:
        """All that is committed, in order."""
        return [entry for entry in self._entries.values() if entry.sequence <= self.committed]

    def life_counts(self, relay: str, life: int) -> bool:
        """Whether the committed log says that this life of a relay counts."""
        found = self.lives.get(relay)
        return found is not None and found.number == life and found.sequence <= self.committed

    def _note_life(self, change: Change) -> None:
        if change.kind != Kind.LOG or not change.name:
            return
        relay, _, number = change.name.rpartition("/")
        with suppress(ValueError):
            self.lives[relay] = Life(int(number, 16), change.sequence)

    def _make_order_anew(self) -> None:
        if len(self._order) > 2 * len(self._entries) + HOLES_LEAST:
            self._order = list(self._entries)
