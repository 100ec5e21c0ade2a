"""Decide when an acceptor may grant again after a restart, a restored store or a change of the quorum.

Decides without I/O. An acceptor that may have lost records first waits for the longest lease, then collects
the records of enough other acceptors that every majority of which it was part includes one of them. After a
change of the quorum, an acceptor waits until majorities of both lists have the new settings. An acceptor
without records does not count as one with records; if all acceptors report that they have none, the quorum is
founded anew.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from linenbridge.fleet.leases.errors import DiskWentBack, LeaseError, MemoryLost
from linenbridge.fleet.leases.messages import RecoveryReply, RecoveryRequest
from linenbridge.fleet.leases.quorum import Quorum, enough_for_recovery, majority
from linenbridge.fleet.leases.stored_state import AcceptorFacts
from linenbridge.fleet.leases.timing import LeaseTiming, restart_wait

REPORT_AFTER_HEARTBEATS = 3  # without enough replies, before the missing ones are logged
REPORT_AGAIN_HEARTBEATS = 30  # between two of these log lines
MAX_MISSED_GENERATIONS = 2  # older records may lack what the last change of the quorum settled


class RecoveryGrounds(StrEnum):
    """Why an acceptor may grant again; the values are written to the log."""

    FOUNDED = "founded"  # no acceptor has records
    RECOVERED = "recovered"  # enough others have sent their records
    RECONFIGURED = "reconfigured"  # majorities of both lists have the new settings


class StoreRestored(NamedTuple):
    """The evidence that a store was restored from an older copy."""

    reporter: str  # the member that has seen a newer revision
    own_revision: int
    reported_revision: int


class Recovery:
    """The recovery of one acceptor.

    `done` is true while the acceptor may grant, and `confirmed_generation` is the newest generation of the
    quorum in which it could grant. `store_restored` is true while the acceptor recovers from a store that was
    restored from an older copy. Times are microseconds of the acceptor's clock.
    """

    def __init__(
        self,
        acceptor: str,
        quorum: Quorum,
        timing: LeaseTiming,
        facts: AcceptorFacts,
        now: int,
        *,
        incarnation: int,
        trusted: bool,
    ) -> None:
        """Begin a recovery.

        `facts` are those of the store at the start. A `trusted` store can't have been restored from an older
        copy, so its acceptor grants at once if the stored generation of the quorum is the present one.
        `incarnation` differs for each start of the process.
        """
        self.acceptor = acceptor
        self.quorum = quorum
        self.timing = timing
        self.number = incarnation  # of this recovery; replies to another one are ignored
        self.has_records = facts.has_records
        self.confirmed_generation = facts.confirmed_generation
        self.store_restored = False
        # By acceptor, the number of its recovery without records when this acceptor founded the quorum.
        self.founded_with: dict[str, int] = {}
        self._restored: StoreRestored | None = None  # evidence that is not logged yet
        trusts_store = trusted and facts.has_records
        self._begin(now, records_lost=not trusts_store)
        if trusts_store and facts.confirmed_generation == quorum.generation:
            self.done = True

    def _begin(self, now: int, *, records_lost: bool) -> None:
        self.done = False
        self.number += 1
        self._records_lost = records_lost
        self._starts_at = now + restart_wait(self.timing) if records_lost else now
        self._next_request_at = self._starts_at
        self._report_at = self._starts_at + REPORT_AFTER_HEARTBEATS * self.timing.heartbeat
        self._replies: dict[str, RecoveryReply] = {}

    # ---- inputs ----------------------------------------------------------------------------------------

    def on_quorum(self, now: int, quorum: Quorum) -> None:
        """Apply a changed quorum. A recovery in progress continues."""
        self.quorum = quorum
        if self.done:
            self._begin(now, records_lost=False)
        self._replies = {}

    def on_store_restored(self, now: int, evidence: StoreRestored) -> None:
        """Recover as an acceptor without records, because the store was restored from an older copy."""
        self._restored = None if self.store_restored else evidence
        self.store_restored = True
        self._begin(now, records_lost=True)

    def on_recovery_request(self, acceptor: str, generation: int) -> None:
        """Drop the reply of an acceptor if its request shows that its generation has changed since."""
        reply = self._replies.get(acceptor)
        if reply is not None and reply.generation != generation:
            del self._replies[acceptor]

    def accept_reply(self, message: RecoveryReply) -> bool:
        """Store a reply to this recovery that has the same generation; return whether it was stored."""
        matches = message.number == self.number and message.generation == self.quorum.generation
        if self.done or not matches or message.acceptor not in self.quorum.all_acceptors():
            return False
        self._replies[message.acceptor] = message
        return True

    # ---- outputs ---------------------------------------------------------------------------------------

    def requests(self, now: int) -> Iterator[tuple[str, RecoveryRequest]]:
        """Yield requests to the other acceptors, once per heartbeat after the waiting time."""
        if self.done or now < self._next_request_at:
            return
        self._next_request_at = now + self.timing.heartbeat
        for other in self.quorum.all_acceptors():
            if other != self.acceptor:
                yield other, RecoveryRequest(self.number, self.acceptor, self.quorum.generation)

    def complete(self, now: int) -> RecoveryGrounds | None:
        """End the recovery if there are grounds for it, and return them; None if there are none yet."""
        if self.done or now < self._starts_at:
            return None
        grounds = self._grounds()
        if grounds is not None:
            self.done = True
            self.has_records = True
            self.store_restored = False
            self.confirmed_generation = self.quorum.generation
        return grounds

    def wake_at(self) -> int | None:
        """Return when the next request or report is due; None when done."""
        return None if self.done else min(self._next_request_at, self._report_at)

    def errors_to_report(self, now: int) -> Iterator[LeaseError]:
        """Yield errors to log: a restored store once, missing replies at intervals."""
        if self._restored is not None:
            reporter, own, reported = self._restored
            self._restored = None
            yield DiskWentBack(
                f"{reporter} has seen revision {reported}, the store is at revision {own}", self.acceptor
            )
        if not self.done and now >= self._report_at:
            self._report_at = now + REPORT_AGAIN_HEARTBEATS * self.timing.heartbeat
            found = sorted(name for name, reply in self._replies.items() if reply.has_records)
            missing = sorted(set(self.quorum.all_acceptors()) - set(self._replies) - {self.acceptor})
            what = f"with records: {found or 'none'}; no reply: {missing or 'none'}"
            yield MemoryLost(what, self.acceptor)

    # ---- grounds ---------------------------------------------------------------------------------------

    def _grounds(self) -> RecoveryGrounds | None:
        if not self.has_records:
            if any(reply.founding_recovery == self.number for reply in self._replies.values()):
                # This acceptor was running, without records, when another one founded the quorum, so it has
                # granted nothing that it could have lost.
                if not self.quorum.is_changing():
                    return RecoveryGrounds.FOUNDED
                self.has_records = True
                self._records_lost = False
                self.confirmed_generation = self.quorum.generation - 1
            elif self._no_acceptor_has_records():
                self.founded_with = {name: reply.recovery for name, reply in self._replies.items()}
                return RecoveryGrounds.FOUNDED
        with_records = {name for name, reply in self._replies.items() if self._has_last_change(reply)}
        if self._records_lost and not enough_for_recovery(self.quorum, self.acceptor, with_records):
            return None
        unconfirmed = self.confirmed_generation != self.quorum.generation
        if (not self._records_lost or unconfirmed) and not self._majorities_have_settings(with_records):
            return None
        return RecoveryGrounds.RECOVERED if self._records_lost else RecoveryGrounds.RECONFIGURED

    def _no_acceptor_has_records(self) -> bool:
        """Return whether all acceptors have replied, and none has records."""
        responding = {*self._replies, self.acceptor}
        all_replied = responding >= set(self.quorum.all_acceptors())
        return all_replied and not any(reply.has_records for reply in self._replies.values())

    def _majorities_have_settings(self, with_records: set[str]) -> bool:
        """Return whether majorities of both lists have the new settings.

        The majority of the previous list must also have records.
        """
        with_last_change = set(with_records)
        if self.has_records and not self.store_restored and self._is_recent(self.confirmed_generation):
            with_last_change.add(self.acceptor)
        responding = {*self._replies, self.acceptor}
        return all(
            sum(acceptor in names for acceptor in acceptors) >= majority(acceptors)
            for acceptors, names in (
                (self.quorum.previous, with_last_change),
                (self.quorum.acceptors, responding),
            )
        )

    def _has_last_change(self, reply: RecoveryReply) -> bool:
        return reply.has_records and self._is_recent(reply.confirmed_generation)

    def _is_recent(self, generation: int) -> bool:
        """Return whether at most `MAX_MISSED_GENERATIONS` changes of the quorum have followed."""
        return generation >= self.quorum.generation - MAX_MISSED_GENERATIONS
