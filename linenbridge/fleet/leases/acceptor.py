"""One acceptor of the quorum: it grants each slot of a task to one member at a time, and records the grants.

Decides without I/O. A grant is sent only after its record is durable. An acceptor decides by its own records
alone; the proposer counts the majority. Any two majorities share an acceptor, which has granted the slot to
one of the two proposers only. An acceptor never grants a slot that is leased to another member, nor a new
term that is not above every term that is recorded for the slot.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from linenbridge.errors import ControlPlaneError, Rejection
from linenbridge.fleet.leases.decisions import AcceptorDecision, LogEvent, Persist, Send
from linenbridge.fleet.leases.errors import (
    AcceptorAside,
    BehindOthers,
    HeldByAnother,
    LeaseTooLong,
    OlderTerm,
    OtherGeneration,
    StoreUnusable,
)
from linenbridge.fleet.leases.granted_leases import GrantedLeases, SlotKey
from linenbridge.fleet.leases.messages import (
    Acquire,
    Granted,
    LeaseReply,
    LeaseRequest,
    RecoveryReply,
    RecoveryRequest,
    Rejected,
    Relinquish,
    StatusQuery,
    TaskStatus,
)
from linenbridge.fleet.leases.queues import Queues
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.recovery import Recovery, StoreRestored
from linenbridge.fleet.leases.request_limits import is_within_limits
from linenbridge.fleet.leases.stored_state import AcceptorFacts, StoredState
from linenbridge.fleet.leases.timing import LeaseTiming, queue_timeout, remaining_with_drift, restart_wait


@dataclass(slots=True)
class _Outcome:
    """The results of one request, for its reply."""

    granted: list[Granted] = field(default_factory=list)
    rejected: list[Rejected] = field(default_factory=list)
    statuses: list[TaskStatus] = field(default_factory=list)
    changed: list[SlotKey] = field(default_factory=list)  # their records must be stored before the reply


class Acceptor:
    """One acceptor. Times are microseconds of its clock."""

    def __init__(
        self,
        name: str,
        quorum: Quorum,
        timing: LeaseTiming,
        stored: StoredState,
        now: int,
        *,
        first_term: int = 1,
        trusted: bool = False,
        incarnation: int = 1,
    ) -> None:
        """Load the stored state, and start a recovery if records may have been lost.

        A `trusted` store can't have been restored from an older copy, so that its acceptor grants free slots
        and renews leases at once after a restart. The store has no ends of leases: a slot whose stored lease
        was not given back stays its holder's for the longest lease from `now`. No term below `first_term` is
        granted. `incarnation` differs for each start of the process.
        """
        self.name = name
        self.quorum = quorum
        self.timing = timing
        self.first_term = first_term
        self.granted_leases = GrantedLeases()
        self.queues = Queues()
        self.revision = stored.facts.revision
        self.store_error = ""
        self.revisions: dict[str, int] = {}  # the newest of each other acceptor, by name
        self._decisions = deque[AcceptorDecision]()
        longest = timing._replace(max_lease=max(timing.max_lease, stored.facts.max_lease))
        # An acceptor that does not trust its store grants nothing before its stored leases have ended.
        stored_leases_end_at = now + restart_wait(longest) if trusted else now
        for record in stored.records:
            self.granted_leases.merge(record, stored_leases_end_at)
        self.recovery = Recovery(
            name, quorum, longest, stored.facts, now, incarnation=incarnation, trusted=trusted
        )
        if self.recovery.done and longest.max_lease > stored.facts.max_lease:
            self._persist([], None)  # before a lease of this length is granted

    # ---- inputs ----------------------------------------------------------------------------------------

    def on_request(self, now: int, message: LeaseRequest) -> None:
        """Apply a proposer's request, and reply once its changes are stored; drop one above the limits."""
        if not is_within_limits(message, self.queues.by_task.keys()):
            return
        if message.revision > self.revision:
            self._on_store_restored(now, message.proposer, message.revision)
        code = self._rejection_code(message)
        outcome = _Outcome()
        if not code:
            self._apply(now, message, outcome)
        reply = LeaseReply(
            message.number,
            self.name,
            self.quorum.generation,
            self.revision + len(outcome.changed),
            code,
            outcome.granted,
            outcome.rejected,
            outcome.statuses,
        )
        send = Send(message.proposer, reply)
        if outcome.changed:
            self._persist(outcome.changed, send)
        else:
            self._decisions.append(send)

    def on_recovery_request(self, now: int, message: RecoveryRequest) -> None:
        """Send this acceptor's records to a recovering acceptor, even during a recovery of its own.

        There is no reply if the store has failed, or was restored from an older copy: its records would be
        taken as complete.
        """
        recovery = self.recovery
        recovery.on_recovery_request(message.acceptor, message.generation)
        if recovery.store_restored or self.store_error:
            return
        reply = RecoveryReply(
            message.number,
            self.name,
            recovery.number,
            recovery.founded_with.get(message.acceptor, 0),
            self.quorum.generation,
            recovery.confirmed_generation,
            recovery.has_records,
            self.revisions.get(message.acceptor, 0),
            self.granted_leases.records(now),
            self.queues.newest_positions(),
        )
        self._decisions.append(Send(message.acceptor, reply))

    def on_recovery_reply(self, now: int, message: RecoveryReply) -> None:
        """Merge another acceptor's records during a recovery.

        A reply with a newer revision of this acceptor's store starts a new recovery at any time.
        """
        if message.revision > self.revision:
            self._on_store_restored(now, message.acceptor, message.revision)
        if not self.recovery.accept_reply(message):
            return
        changed = list[SlotKey]()
        for record in message.records:
            expires_at = now + remaining_with_drift(self.timing, record.remaining)
            if self.granted_leases.merge(record, expires_at):
                changed.append(SlotKey(record.task, record.slot))
        for task, position in message.newest_queue_positions.items():
            self.queues.on_newest_position(task, position)
        if changed:
            self._persist(changed, None)

    def on_revision(self, acceptor: str, revision: int) -> None:
        """Record the revision of another acceptor's store."""
        self.revisions[acceptor] = max(revision, self.revisions.get(acceptor, 0))

    def on_quorum(self, now: int, quorum: Quorum) -> None:
        """Apply a newer quorum. Nothing is granted until majorities of both lists have it."""
        if quorum.generation <= self.quorum.generation:
            return
        self.quorum = quorum
        self.recovery.on_quorum(now, quorum)
        fields = {"generation": quorum.generation, "acceptors": list(quorum.acceptors)}
        self._decisions.append(LogEvent("quorum.changing", fields))

    def on_store_failed(self, why: str) -> None:
        """Grant nothing until the process is restarted, because the store can't be read or written."""
        if not self.store_error:
            self.store_error = why
            self._log("store.failed", StoreUnusable(why, self.name))

    # ---- decisions -------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> AcceptorDecision | None:
        """Return the next decision to carry out, or None."""
        if not self._decisions and not self.store_error:
            self._advance_recovery(now)
        return self._decisions.popleft() if self._decisions else None

    def wake_at(self) -> int | None:
        """Return when the next step of the recovery is due; None if there is none."""
        return None if self.store_error else self.recovery.wake_at()

    def grants(self) -> bool:
        """Return whether this acceptor grants leases at present."""
        return not self.store_error and self.recovery.done

    def facts(self) -> AcceptorFacts:
        """Return the facts that are stored beside the records."""
        recovery = self.recovery
        return AcceptorFacts(
            recovery.has_records, recovery.confirmed_generation, self.revision, recovery.timing.max_lease
        )

    # ---- recovery --------------------------------------------------------------------------------------

    def _advance_recovery(self, now: int) -> None:
        for other, message in self.recovery.requests(now):
            self._decisions.append(Send(other, message))
        grounds = self.recovery.complete(now)
        if grounds is not None:
            self._persist([], None)
            fields = {
                "grounds": grounds.value,
                "generation": self.quorum.generation,
                "slots": self.granted_leases.count(),
            }
            self._decisions.append(LogEvent("acceptor.recovered", fields))
        for error in self.recovery.errors_to_report(now):
            self._log("acceptor.recovering", error)

    def _on_store_restored(self, now: int, reporter: str, revision: int) -> None:
        """Recover, because `reporter` has seen a newer revision than this acceptor's store has."""
        self.recovery.on_store_restored(now, StoreRestored(reporter, self.revision, revision))
        self.revision = revision

    # ---- requests --------------------------------------------------------------------------------------

    def _rejection_code(self, message: LeaseRequest) -> str:
        """Return the reason to reject a request as a whole; empty if there is none."""
        if not self.grants():
            return AcceptorAside.code
        return OtherGeneration.code if message.generation != self.quorum.generation else ""

    def _apply(self, now: int, message: LeaseRequest, outcome: _Outcome) -> None:
        for relinquish in message.relinquishes:
            self._relinquish(message.proposer, relinquish, outcome)
        for query in message.queries:
            queue = self.queues.for_task(query.task)
            queue.on_request(now, message.proposer, query.queue_position, queue_timeout(self.timing))
        for acquire in message.acquires:
            self._acquire(now, message.proposer, acquire, outcome)
        outcome.statuses = [self._status(now, message.proposer, query) for query in message.queries]

    def _relinquish(self, proposer: str, relinquish: Relinquish, outcome: _Outcome) -> None:
        self.queues.remove(relinquish.task, proposer)
        key = SlotKey(relinquish.task, relinquish.slot)
        if self.granted_leases.relinquish(key, relinquish.term, proposer):
            outcome.changed.append(key)

    def _acquire(self, now: int, proposer: str, acquire: Acquire, outcome: _Outcome) -> None:
        key = SlotKey(acquire.task, acquire.slot)
        rejection = self._rejection(now, proposer, acquire)
        if rejection is not None:
            newest_term = self._newest_term(key)
            outcome.rejected.append(
                Rejected(acquire.task, acquire.slot, acquire.term, rejection.code, newest_term)
            )
            return
        if self.granted_leases.grant(key, acquire.term, proposer, now + acquire.duration):
            outcome.changed.append(key)
        self.queues.remove(acquire.task, proposer)
        outcome.granted.append(Granted(acquire.task, acquire.slot, acquire.term))

    def _rejection(self, now: int, proposer: str, acquire: Acquire) -> type[Rejection] | None:
        """Apply the rule by which slots are granted: return why the slot is not granted, or None if it is."""
        if not 0 < acquire.duration <= self.timing.max_lease:
            return LeaseTooLong
        key = SlotKey(acquire.task, acquire.slot)
        lease = self.granted_leases.lease(key)
        own = lease.holder == proposer
        remaining = self.granted_leases.remaining(key, now)
        if remaining and not own:
            return HeldByAnother
        same_term = own and acquire.term == lease.term and lease.is_open()
        if not same_term and acquire.term <= self._newest_term(key):
            return OlderTerm
        if same_term or (own and remaining):
            return None
        queue = self.queues.for_task(acquire.task)
        ahead = queue.members_ahead(now, proposer, queue_timeout(self.timing))
        return BehindOthers if ahead >= self._free_slots(now, acquire) else None

    def _newest_term(self, key: SlotKey) -> int:
        """Return the newest term that can't be granted any more."""
        return max(self.granted_leases.lease(key).newest_term(), self.first_term - 1)

    def _free_slots(self, now: int, acquire: Acquire) -> int:
        """Return how many of the task's recorded slots are free, including the requested one."""
        known = self.granted_leases.slots_of(acquire.task) | {acquire.slot}
        return sum(not self.granted_leases.remaining(SlotKey(acquire.task, slot), now) for slot in known)

    def _status(self, now: int, proposer: str, query: StatusQuery) -> TaskStatus:
        keys = [SlotKey(query.task, slot) for slot in range(query.slots)]
        remaining = [self.granted_leases.remaining(key, now) for key in keys]
        holders = [self.granted_leases.lease(key).holder for key in keys]
        queue = self.queues.for_task(query.task)
        return TaskStatus(
            query.task,
            queue.newest_position,
            queue.members_ahead(now, proposer, queue_timeout(self.timing)),
            [self._newest_term(key) for key in keys],
            remaining,
            [holder if time else "" for holder, time in zip(holders, remaining, strict=True)],
        )

    # ---- outputs ---------------------------------------------------------------------------------------

    def _persist(self, changed: list[SlotKey], then: Send | None) -> None:
        """Store the present records of slots, then send `then`. The revision counts the stored records."""
        self.revision += len(changed)
        self._decisions.append(Persist(self.granted_leases.stored_records(changed), then))

    def _log(self, name: str, error: ControlPlaneError) -> None:
        self._decisions.append(LogEvent(name, error.fields()))
