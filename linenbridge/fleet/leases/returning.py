"""How a seat comes back: after a start, after its store went back, after a change of the council.

Decides without I/O. A seat that may have forgotten first lets the longest lease run out, then hears from so
many others with memory that every majority it was part of has one among them. When the council changes it
hears from majorities of both lists, all with the new settings. It must never count a seat without memory
for one with it, save where all seats say that they have none: then the council is founded.
"""

from __future__ import annotations

from collections.abc import Iterator

from linenbridge.fleet.leases.errors import DiskWentBack, LeaseError, MemoryLost
from linenbridge.fleet.leases.quorum import Council, enough_to_return, majority
from linenbridge.fleet.leases.terms import Pace, stands_aside
from linenbridge.fleet.leases.words import Recall, Table

SAY_AFTER = 3  # beats without enough answers before a line says what is missing


class Returning:
    """`done` while the seat may grant. `settled` is the newest generation in which it could."""

    def __init__(
        self, seat: str, council: Council, pace: Pace, remembers: bool, settled: int, now: int, life: int,
        trusted: bool,
    ) -> None:  # fmt: skip
        self.seat, self.council, self.pace, self.number = seat, council, pace, life
        self.founded_with: dict[
            str, int
        ] = {}  # the others' returns in which they said that they had no memory
        self.remembers, self.settled, self.doubted = remembers, settled, False
        self.done = self.afresh = False
        self._begin(now, forgot=not (trusted and remembers))
        if trusted and remembers and settled == council.generation:
            self.done = True

    def _begin(self, now: int, forgot: bool) -> None:
        self.done, self.forgot, self.number = False, forgot, self.number + 1
        self.from_at = now + stands_aside(self.pace) if forgot else now
        self.tables: dict[str, Table] = {}
        self.say_at = self.from_at + SAY_AFTER * self.pace.beat
        self.asked_at = self.from_at

    def moves(self, now: int, council: Council) -> None:
        """The council has changed. One that stands aside already goes on doing so."""
        self.council = council
        if self.done:
            self._begin(now, forgot=False)
        self.tables = {}

    def doubt(self, now: int, by: str, own: int, heard: int) -> bool:
        """The store went back: begin anew as one that forgot. Whether that is news."""
        news = not self.doubted
        self.doubted, self.grounds = True, (by, own, heard)
        self._begin(now, forgot=True)
        self.afresh = news
        return True

    def meets(self, seat: str, generation: int) -> None:
        """Another seat's recall shows that it is there anew: its older table says nothing any more."""
        if (table := self.tables.get(seat)) is not None and table.generation != generation:
            del self.tables[seat]

    def takes(self, word: Table) -> bool:
        """Whether a table answers this return's own recall; one from a newer council is none of it."""
        fits = word.number == self.number and word.generation == self.council.generation
        if self.done or not fits or word.seat not in self.council.everyone():
            return False
        self.tables[word.seat] = word
        return True

    def asks(self, now: int) -> Iterator[tuple[str, Recall]]:
        """Recalls to the others, once nothing that was granted before can still stand; each beat anew."""
        if self.done or now < self.asked_at:
            return
        self.asked_at = now + self.pace.beat
        for other in self.council.everyone():
            if other != self.seat:
                yield other, Recall(self.number, self.seat, self.council.generation)

    def returned(self, now: int) -> str | None:
        """The grounds on which the seat grants from now on; None while there are none."""
        if self.done or now < self.from_at:
            return None
        grounds = self._grounds()
        if grounds is not None:
            self.done, self.remembers, self.doubted = True, True, False
            self.settled = self.council.generation
        return grounds

    def _grounds(self) -> str | None:
        council, own = self.council, self.seat
        remembering = {seat for seat, table in self.tables.items() if self._counts(table)}
        present = {*self.tables, own}
        trusted = self.remembers and not self.doubted
        if not self.remembers:
            # Nothing was promised by a seat that was there, and blank, when all were: it has nothing to
            # forget.
            if any(table.blank == self.number for table in self.tables.values()):
                if not council.changes():
                    return "founded"
                self.remembers, self.forgot, self.settled = True, False, council.generation - 1
                return self._grounds()
            if present >= set(council.everyone()) and not any(t.remembers for t in self.tables.values()):
                self.founded_with = {seat: table.own for seat, table in self.tables.items()}
                return "founded"
        if self.forgot and not enough_to_return(council, own, remembering):
            return None
        if not self.forgot or self.settled != council.generation:
            knows = remembering | ({own} if trusted and self.settled >= council.generation - 2 else set())
            before = sum(seat in knows for seat in council.before) >= majority(council.before)
            if not before or sum(seat in present for seat in council.now) < majority(council.now):
                return None
        return "recalled" if self.forgot else "settled"

    def _counts(self, table: Table) -> bool:
        """One that was away for two changes of the council lacks what the last one settled."""
        return table.remembers and table.settled >= self.council.generation - 2

    def wake_at(self) -> int | None:
        return None if self.done else min(self.asked_at, self.say_at)

    def notes(self, now: int) -> Iterator[LeaseError]:
        """What the people on call should hear of, once a while."""
        if self.afresh:
            self.afresh = False
            by, own, heard = self.grounds
            yield DiskWentBack(f"{by} has heard stamp {heard}, the store holds {own}", self.seat)
        if not self.done and now >= self.say_at:
            self.say_at = now + 10 * SAY_AFTER * self.pace.beat
            found = sorted(seat for seat, table in self.tables.items() if table.remembers)
            lacking = sorted(set(self.council.everyone()) - set(self.tables) - {self.seat})
            yield MemoryLost(f"with memory: {found or 'none'}; no answer: {lacking or 'none'}", self.seat)
