"""When an acceptor may grant again: after a restart, after its store was restored, after a change of the
quorum.

Decides without I/O. An acceptor that may have lost records first waits for the longest lease, then
collects the records of enough others that every majority it was part of has a member among them. When the
quorum changes it waits for majorities of both lists, all with the new settings. An acceptor without
records must never count as one with records, except when all acceptors report that they have none: then
the quorum is founded anew.
"""

from __future__ import annotations

from collections.abc import Iterator

from linenbridge.fleet.leases.errors import DiskWentBack, LeaseError, MemoryLost
from linenbridge.fleet.leases.messages import RecoveryReply, RecoveryRequest
from linenbridge.fleet.leases.quorum import Quorum, enough_to_return, majority
from linenbridge.fleet.leases.timing import Pace, stands_aside

SAY_AFTER = 3  # beats without enough answers before a line says what is missing


class Returning:
    """`done` while the acceptor may grant. `settled` is the newest generation of the quorum in which it
    could."""

    def __init__(
        self, acceptor: str, quorum: Quorum, pace: Pace, remembers: bool, settled: int, now: int, life: int,
        trusted: bool,
    ) -> None:  # fmt: skip
        self.acceptor, self.quorum, self.pace, self.number = acceptor, quorum, pace, life
        self.founded_with: dict[
            str, int
        ] = {}  # the others' returns in which they said that they had no memory
        self.remembers, self.settled, self.doubted = remembers, settled, False
        self.done = self.afresh = False
        self._begin(now, forgot=not (trusted and remembers))
        if trusted and remembers and settled == quorum.generation:
            self.done = True

    def _begin(self, now: int, forgot: bool) -> None:
        self.done, self.forgot, self.number = False, forgot, self.number + 1
        self.from_at = now + stands_aside(self.pace) if forgot else now
        self.tables: dict[str, RecoveryReply] = {}
        self.say_at = self.from_at + SAY_AFTER * self.pace.beat
        self.asked_at = self.from_at

    def moves(self, now: int, quorum: Quorum) -> None:
        """The quorum has changed. A recovery that is under way goes on."""
        self.quorum = quorum
        if self.done:
            self._begin(now, forgot=False)
        self.tables = {}

    def doubt(self, now: int, by: str, own: int, heard: int) -> bool:
        """The store was restored from an older copy: recover as an acceptor without records. Returns
        True."""
        news = not self.doubted
        self.doubted, self.grounds = True, (by, own, heard)
        self._begin(now, forgot=True)
        self.afresh = news
        return True

    def meets(self, acceptor: str, generation: int) -> None:
        """Another acceptor's recovery request: if it has changed its generation, its earlier reply is
        void."""
        if (table := self.tables.get(acceptor)) is not None and table.generation != generation:
            del self.tables[acceptor]

    def accepts(self, message: RecoveryReply) -> bool:
        """Whether a reply answers this recovery's own request under the same generation; if so it is
        kept."""
        fits = message.number == self.number and message.generation == self.quorum.generation
        if self.done or not fits or message.acceptor not in self.quorum.everyone():
            return False
        self.tables[message.acceptor] = message
        return True

    def asks(self, now: int) -> Iterator[tuple[str, RecoveryRequest]]:
        """Recovery requests to the other acceptors, once each beat after the waiting time."""
        if self.done or now < self.asked_at:
            return
        self.asked_at = now + self.pace.beat
        for other in self.quorum.everyone():
            if other != self.acceptor:
                yield other, RecoveryRequest(self.number, self.acceptor, self.quorum.generation)

    def returned(self, now: int) -> str | None:
        """The grounds on which the acceptor may grant from now on (`founded`, `recalled`, `settled`), or
        None."""
        if self.done or now < self.from_at:
            return None
        grounds = self._grounds()
        if grounds is not None:
            self.done, self.remembers, self.doubted = True, True, False
            self.settled = self.quorum.generation
        return grounds

    def _grounds(self) -> str | None:
        quorum, own = self.quorum, self.acceptor
        remembering = {acceptor for acceptor, table in self.tables.items() if self._counts(table)}
        present = {*self.tables, own}
        trusted = self.remembers and not self.doubted
        if not self.remembers:
            # Nothing was promised by an acceptor that was there, and blank, when all were: it has nothing to
            # forget.
            if any(table.blank == self.number for table in self.tables.values()):
                if not quorum.changes():
                    return "founded"
                self.remembers, self.forgot, self.settled = True, False, quorum.generation - 1
                return self._grounds()
            if present >= set(quorum.everyone()) and not any(t.remembers for t in self.tables.values()):
                self.founded_with = {acceptor: table.own for acceptor, table in self.tables.items()}
                return "founded"
        if self.forgot and not enough_to_return(quorum, own, remembering):
            return None
        if not self.forgot or self.settled != quorum.generation:
            knows = remembering | ({own} if trusted and self.settled >= quorum.generation - 2 else set())
            before = sum(acceptor in knows for acceptor in quorum.before) >= majority(quorum.before)
            if not before or sum(acceptor in present for acceptor in quorum.now) < majority(quorum.now):
                return None
        return "recalled" if self.forgot else "settled"

    def _counts(self, table: RecoveryReply) -> bool:
        """An acceptor that missed two changes of the quorum does not know what the last one settled."""
        return table.remembers and table.settled >= self.quorum.generation - 2

    def wake_at(self) -> int | None:
        """When there is something to do without an input, in microseconds; None when done."""
        return None if self.done else min(self.asked_at, self.say_at)

    def notes(self, now: int) -> Iterator[LeaseError]:
        """Errors to be logged: a restored store once, missing answers at intervals."""
        if self.afresh:
            self.afresh = False
            by, own, heard = self.grounds
            yield DiskWentBack(f"{by} has heard stamp {heard}, the store holds {own}", self.acceptor)
        if not self.done and now >= self.say_at:
            self.say_at = now + 10 * SAY_AFTER * self.pace.beat
            found = sorted(acceptor for acceptor, table in self.tables.items() if table.remembers)
            lacking = sorted(set(self.quorum.everyone()) - set(self.tables) - {self.acceptor})
            yield MemoryLost(f"with memory: {found or 'none'}; no answer: {lacking or 'none'}", self.acceptor)
