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
from linenbridge.fleet.leases.quorum import Quorum, enough_for_recovery, majority
from linenbridge.fleet.leases.timing import LeaseTiming, restart_wait

REPORT_AFTER = 3  # beats without enough answers before a line says what is missing


class Recovery:
    """`done` while the acceptor may grant. `confirmed_generation` is the newest generation of the
    quorum in which it could."""

    def __init__(
        self,
        acceptor: str,
        quorum: Quorum,
        timing: LeaseTiming,
        has_records: bool,
        confirmed_generation: int,
        now: int,
        incarnation: int,
        trusted: bool,
    ) -> None:
        self.acceptor, self.quorum, self.timing, self.number = acceptor, quorum, timing, incarnation
        self.founded_with: dict[
            str, int
        ] = {}  # the others' returns in which they said that they had no memory
        self.has_records, self.confirmed_generation, self.store_restored = (
            has_records,
            confirmed_generation,
            False,
        )
        self.done = self.report_restored = False
        self._begin(now, records_lost=not (trusted and has_records))
        if trusted and has_records and confirmed_generation == quorum.generation:
            self.done = True

    def _begin(self, now: int, records_lost: bool) -> None:
        self.done, self.records_lost, self.number = False, records_lost, self.number + 1
        self.starts_at = now + restart_wait(self.timing) if records_lost else now
        self.replies: dict[str, RecoveryReply] = {}
        self.report_at = self.starts_at + REPORT_AFTER * self.timing.heartbeat
        self.next_request_at = self.starts_at

    def on_quorum(self, now: int, quorum: Quorum) -> None:
        """The quorum has changed. A recovery that is under way goes on."""
        self.quorum = quorum
        if self.done:
            self._begin(now, records_lost=False)
        self.replies = {}

    def on_store_restored(self, now: int, reporter: str, own_revision: int, reported_revision: int) -> bool:
        """The store was restored from an older copy: recover as an acceptor without records. Returns
        True."""
        first_report = not self.store_restored
        self.store_restored, self.restored_evidence = True, (reporter, own_revision, reported_revision)
        self._begin(now, records_lost=True)
        self.report_restored = first_report
        return True

    def on_recovery_request(self, acceptor: str, generation: int) -> None:
        """Another acceptor's recovery request: if it has changed its generation, its earlier reply is
        void."""
        if (reply := self.replies.get(acceptor)) is not None and reply.generation != generation:
            del self.replies[acceptor]

    def accept_reply(self, message: RecoveryReply) -> bool:
        """Whether a reply answers this recovery's own request under the same generation; if so it is
        kept."""
        matches = message.number == self.number and message.generation == self.quorum.generation
        if self.done or not matches or message.acceptor not in self.quorum.all_acceptors():
            return False
        self.replies[message.acceptor] = message
        return True

    def requests(self, now: int) -> Iterator[tuple[str, RecoveryRequest]]:
        """Recovery requests to the other acceptors, once each beat after the waiting time."""
        if self.done or now < self.next_request_at:
            return
        self.next_request_at = now + self.timing.heartbeat
        for other in self.quorum.all_acceptors():
            if other != self.acceptor:
                yield other, RecoveryRequest(self.number, self.acceptor, self.quorum.generation)

    def complete(self, now: int) -> str | None:
        """The grounds on which the acceptor may grant from now on (`founded`, `recalled`, `settled`), or
        None."""
        if self.done or now < self.starts_at:
            return None
        grounds = self._grounds()
        if grounds is not None:
            self.done, self.has_records, self.store_restored = True, True, False
            self.confirmed_generation = self.quorum.generation
        return grounds

    def _grounds(self) -> str | None:
        quorum, own = self.quorum, self.acceptor
        with_records = {
            acceptor for acceptor, reply in self.replies.items() if self._knows_last_change(reply)
        }
        present = {*self.replies, own}
        trusted = self.has_records and not self.store_restored
        if not self.has_records:
            # Nothing was promised by an acceptor that was there, and blank, when all were: it has nothing to
            # forget.
            if any(reply.founding_recovery == self.number for reply in self.replies.values()):
                if not quorum.is_changing():
                    return "founded"
                self.has_records, self.records_lost, self.confirmed_generation = (
                    True,
                    False,
                    quorum.generation - 1,
                )
                return self._grounds()
            if present >= set(quorum.all_acceptors()) and not any(
                reply.has_records for reply in self.replies.values()
            ):
                self.founded_with = {acceptor: reply.recovery for acceptor, reply in self.replies.items()}
                return "founded"
        if self.records_lost and not enough_for_recovery(quorum, own, with_records):
            return None
        if not self.records_lost or self.confirmed_generation != quorum.generation:
            knowing = with_records | (
                {own} if trusted and self.confirmed_generation >= quorum.generation - 2 else set()
            )
            previous_known = sum(acceptor in knowing for acceptor in quorum.previous) >= majority(
                quorum.previous
            )
            if not previous_known or sum(acceptor in present for acceptor in quorum.acceptors) < majority(
                quorum.acceptors
            ):
                return None
        return "recalled" if self.records_lost else "settled"

    def _knows_last_change(self, reply: RecoveryReply) -> bool:
        """An acceptor that missed two changes of the quorum does not know what the last one settled."""
        return reply.has_records and reply.confirmed_generation >= self.quorum.generation - 2

    def wake_at(self) -> int | None:
        """When there is something to do without an input, in microseconds; None when done."""
        return None if self.done else min(self.next_request_at, self.report_at)

    def errors_to_report(self, now: int) -> Iterator[LeaseError]:
        """Errors to be logged: a restored store once, missing answers at intervals."""
        if self.report_restored:
            self.report_restored = False
            reporter, own_revision, reported_revision = self.restored_evidence
            yield DiskWentBack(
                f"{reporter} has heard stamp {reported_revision}, the store holds {own_revision}",
                self.acceptor,
            )
        if not self.done and now >= self.report_at:
            self.report_at = now + 10 * REPORT_AFTER * self.timing.heartbeat
            with_records = sorted(acceptor for acceptor, reply in self.replies.items() if reply.has_records)
            missing = sorted(set(self.quorum.all_acceptors()) - set(self.replies) - {self.acceptor})
            yield MemoryLost(
                f"with memory: {with_records or 'none'}; no answer: {missing or 'none'}", self.acceptor
            )
