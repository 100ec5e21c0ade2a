"""One acceptor of the quorum: it grants the places of tasks, each to one member at a time, and records what
it granted.

Decides without I/O. A grant is sent only after its record is durable. An acceptor decides by its own tables
alone; counting a majority is up to the proposer, and any two majorities share an acceptor, which has granted
the place to one of the two only. It must never grant a place that it has granted to another member, nor a
term that is not above every term it knows of the place.

Decisions, as plain tuples:

    (KEEP, rows, to, message)  store the rows (task, place, term, holder, closed), then send the message
    (SAY, to, message)         send a message to a member
    (LOG, name, fields)        one line of the log
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from linenbridge.errors import ControlPlaneError
from linenbridge.fleet.leases.errors import (
    AcceptorAside,
    BehindOthers,
    HeldByAnother,
    LeaseTooLong,
    OlderTerm,
    OtherGeneration,
    Rejection,
    StoreUnusable,
)
from linenbridge.fleet.leases.granted_leases import GrantedLeases, SlotKey
from linenbridge.fleet.leases.messages import (
    Acquire,
    Granted,
    LeaseReply,
    LeaseRequest,
    SlotRecord,
    RecoveryReply,
    RecoveryRequest,
    Rejected,
    Relinquish,
    StatusQuery,
    TaskStatus,
)
from linenbridge.fleet.leases.queues import Queues
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.recovery import Recovery
from linenbridge.fleet.leases.timing import LeaseTiming, remaining_with_drift, queue_timeout

KEEP, SAY, LOG = "keep", "say", "log"
MAX_TASKS_PER_REQUEST = 1_000
MAX_SLOTS = 64  # of one task
MAX_NAME_LENGTH = 64  # characters
MAX_KNOWN_TASKS = 10_000  # that one acceptor keeps state for


class StoredState(NamedTuple):
    """What an acceptor's store held when the process started."""

    has_records: bool = False  # whether there was a store with the quorum's founding in it
    confirmed_generation: int = 0  # the newest generation that this acceptor has settled in
    revision: int = 0  # counts all that was ever kept
    max_lease: int = 0  # the longest lease that was ever to be waited for
    records: tuple[SlotRecord, ...] = ()


class Acceptor:
    """The acceptor `name` of `quorum`. `stored` is the content of its store. `trusted` says that the store
    can't have been restored from an older copy, so that nothing is waited for after a restart. `incarnation`
    differs for each start of the process."""

    def __init__(
        self,
        name: str,
        quorum: Quorum,
        timing: LeaseTiming,
        stored: StoredState,
        now: int,
        first_term: int = 1,
        trusted: bool = False,
        incarnation: int = 1,
    ) -> None:
        self.name, self.quorum, self.timing, self.first_term = name, quorum, timing, first_term
        self.granted_leases, self.queues, self.decisions = GrantedLeases(), Queues(), deque[tuple]()
        for record in stored.records:
            self.granted_leases.merge(record, now)
        self.revision, self.store_error = stored.revision, ""
        timing_with_stored = timing._replace(max_lease=max(timing.max_lease, stored.max_lease))
        self.recovery = Recovery(
            name,
            quorum,
            timing_with_stored,
            stored.has_records,
            stored.confirmed_generation,
            now,
            incarnation,
            trusted,
        )
        self.revisions: dict[str, int] = {}  # the newest revision of each other acceptor

    # ---- inputs ------------------------------------------------------------------------------------

    def on_request(self, now: int, message: LeaseRequest) -> None:
        """A proposer's request. It is answered as a whole, after the changes that it makes are stored."""
        if not self._well_formed(message):
            return
        if message.revision > self.revision:
            self._on_store_restored(now, message.proposer, message.revision)
        code = self._rejection_code(message)
        granted, rejected, statuses, rows = (
            list[Granted](),
            list[Rejected](),
            list[TaskStatus](),
            list[SlotKey](),
        )
        if not code:
            for relinquish in message.relinquishes:
                self._relinquish(message.proposer, relinquish, rows)
            for query in message.queries:
                self.queues.for_task(query.task).on_request(
                    now, message.proposer, query.queue_position, queue_timeout(self.timing)
                )
            for acquire in message.acquires:
                self._acquire(now, message.proposer, acquire, granted, rejected, rows)
            statuses = [self._status(now, message.proposer, query) for query in message.queries]
        reply = LeaseReply(
            message.number,
            self.name,
            self.quorum.generation,
            self.revision + len(rows),
            code,
            granted,
            rejected,
            statuses,
        )
        self._reply(now, message.proposer, reply, rows)

    def on_recovery_request(self, now: int, message: RecoveryRequest) -> None:
        """Another acceptor asks for this one's records; it is answered even while this one recovers
        itself. If this one's store was restored from an older copy it does not answer, as its records
        would pass for complete."""
        self.recovery.on_recovery_request(message.acceptor, message.generation)
        if self.recovery.store_restored or self.store_error:
            return
        recovery, records = self.recovery, self.granted_leases.records(now)
        reply = RecoveryReply(
            message.number,
            self.name,
            recovery.number,
            recovery.founded_with.get(message.acceptor, 0),
            self.quorum.generation,
            recovery.confirmed_generation,
            recovery.has_records,
            self.revisions.get(message.acceptor, 0),
            records,
            self.queues.newest_positions(),
        )
        self.decisions.append((SAY, message.acceptor, reply))

    def on_recovery_reply(self, now: int, message: RecoveryReply) -> None:
        """Another acceptor's records. They are merged while this one recovers; a newer revision of this
        acceptor's own store is noticed at any time."""
        if message.revision > self.revision:
            self._on_store_restored(now, message.acceptor, message.revision)
        if not self.recovery.accept_reply(message):
            return
        rows = list[SlotKey]()
        for record in message.records:
            if self.granted_leases.merge(record, now + remaining_with_drift(self.timing, record.remaining)):
                rows.append((record.task, record.slot))
        for task, position in message.newest_queue_positions.items():
            self.queues.on_other_acceptor(task, position)
        if rows:
            self._persist(now, rows, "", None)

    def on_revision(self, now: int, acceptor: str, revision: int) -> None:
        """How many records another acceptor says that it has stored."""
        self.revisions[acceptor] = max(revision, self.revisions.get(acceptor, 0))

    def on_quorum(self, now: int, quorum: Quorum) -> None:
        """New settings. Nothing is granted until majorities of both lists are known to have them."""
        if quorum.generation <= self.quorum.generation:
            return
        self.quorum = quorum
        self.recovery.on_quorum(now, quorum)
        self.decisions.append(
            (
                LOG,
                "council.moves",
                {
                    "generation": quorum.generation,
                    "acceptors": list(quorum.acceptors),
                    "seats": list(quorum.acceptors),
                },
            )
        )

    def on_store_failed(self, now: int, why: str) -> None:
        """A write failed: this acceptor grants nothing until the process is restarted."""
        if not self.store_error:
            self.store_error = why
            self._log("store.failed", StoreUnusable(why, self.name))

    # ---- decisions ---------------------------------------------------------------------------------

    def next_decision(self, now: int) -> tuple | None:
        """The next decision to carry out, or None."""
        if not self.decisions and not self.store_error:
            self._advance_recovery(now)
        return self.decisions.popleft() if self.decisions else None

    def wake_at(self) -> int | None:
        """When this acceptor has something to do without an input, in microseconds; only while it
        recovers."""
        return None if self.store_error else self.recovery.wake_at()

    def grants(self) -> bool:
        """Whether this acceptor answers requests at present."""
        return not self.store_error and self.recovery.done

    def _advance_recovery(self, now: int) -> None:
        for other, message in self.recovery.requests(now):
            self.decisions.append((SAY, other, message))
        if (grounds := self.recovery.complete(now)) is not None:
            self._persist(now, [], "", None)
            fields = {
                "grounds": grounds,
                "generation": self.quorum.generation,
                "places": len(self.granted_leases.terms),
            }
            self.decisions.append((LOG, "seat.returned", fields))
        for error in self.recovery.errors_to_report(now):
            self._log("seat.aside", error)

    def _log(self, name: str, error: ControlPlaneError) -> None:
        self.decisions.append((LOG, name, error.fields()))

    def _well_formed(self, message: LeaseRequest) -> bool:
        sizes = (
            max(len(message.acquires), len(message.relinquishes), len(message.queries))
            <= MAX_TASKS_PER_REQUEST
        )
        rows = (*message.acquires, *message.relinquishes, *message.queries)
        names = len(message.proposer) <= MAX_NAME_LENGTH and all(
            len(row.task) <= MAX_NAME_LENGTH for row in rows
        )
        slots = all(0 <= row.slot < MAX_SLOTS for row in (*message.acquires, *message.relinquishes))
        queries = all(1 <= query.slots <= MAX_SLOTS for query in message.queries)
        known = self.queues.by_task
        capacity = (
            len(known) + len(rows) <= MAX_KNOWN_TASKS
            or len(known.keys() | {row.task for row in rows}) <= MAX_KNOWN_TASKS
        )
        return sizes and names and slots and queries and capacity

    def _rejection_code(self, message: LeaseRequest) -> str:
        if self.store_error or not self.recovery.done:
            return AcceptorAside.code
        return OtherGeneration.code if message.generation != self.quorum.generation else ""

    def _on_store_restored(self, now: int, reporter: str, revision: int) -> None:
        """Somebody has seen a newer revision than this store holds: it was restored from an older copy."""
        if self.recovery.on_store_restored(now, reporter, self.revision, revision):
            self.revision = revision

    def _relinquish(self, proposer: str, relinquish: Relinquish, rows: list[SlotKey]) -> None:
        self.queues.remove(relinquish.task, proposer)
        if self.granted_leases.relinquish((relinquish.task, relinquish.slot), relinquish.term, proposer):
            rows.append((relinquish.task, relinquish.slot))

    def _acquire(
        self,
        now: int,
        proposer: str,
        acquire: Acquire,
        granted: list[Granted],
        rejected: list[Rejected],
        rows: list[SlotKey],
    ) -> None:
        key = (acquire.task, acquire.slot)
        if (rejection := self._rejection(now, proposer, acquire)) is not None:
            newest_term = max(self.granted_leases.newest_term(key), self.first_term - 1)
            rejected.append(Rejected(acquire.task, acquire.slot, acquire.term, rejection.code, newest_term))
            return
        if self.granted_leases.grant(key, acquire.term, proposer, now + acquire.duration):
            rows.append(key)
        self.queues.remove(acquire.task, proposer)
        granted.append(Granted(acquire.task, acquire.slot, acquire.term))

    def _rejection(self, now: int, proposer: str, acquire: Acquire) -> type[Rejection] | None:
        """The rule by which places are granted: the reason for a refusal, or None where the place is
        granted."""
        granted_leases, key = self.granted_leases, (acquire.task, acquire.slot)
        if not 0 < acquire.duration <= self.timing.max_lease:
            return LeaseTooLong
        own, remaining = granted_leases.holders.get(key) == proposer, granted_leases.remaining(key, now)
        if remaining and not own:
            return HeldByAnother
        same = own and acquire.term == granted_leases.terms.get(
            key, 0
        ) > granted_leases.relinquished_terms.get(key, 0)
        if not same and acquire.term <= max(granted_leases.newest_term(key), self.first_term - 1):
            return OlderTerm
        renews = same or (own and remaining)
        if renews:
            return None
        ahead = self.queues.for_task(acquire.task).members_ahead(now, proposer, queue_timeout(self.timing))
        return BehindOthers if ahead >= self._free(now, acquire) else None

    def _free(self, now: int, acquire: Acquire) -> int:
        """How many places of the task that are known here are free, counting the requested one."""
        known = {slot for task, slot in self.granted_leases.terms if task == acquire.task} | {acquire.slot}
        return sum(not self.granted_leases.remaining((acquire.task, slot), now) for slot in known)

    def _status(self, now: int, proposer: str, query: StatusQuery) -> TaskStatus:
        keys = [(query.task, slot) for slot in range(query.slots)]
        granted_leases, min_term = self.granted_leases, self.first_term - 1
        remaining = [granted_leases.remaining(key, now) for key in keys]
        return TaskStatus(
            query.task,
            self.queues.for_task(query.task).newest_position,
            self.queues.for_task(query.task).members_ahead(now, proposer, queue_timeout(self.timing)),
            [max(granted_leases.newest_term(key), min_term) for key in keys],
            remaining,
            [
                granted_leases.holders.get(key, "") if time else ""
                for key, time in zip(keys, remaining, strict=True)
            ],
        )

    def _reply(self, now: int, to: str, message: LeaseReply, rows: list[SlotKey]) -> None:
        if rows:
            self._persist(now, rows, to, message)
        else:
            self.decisions.append((SAY, to, message))

    def _persist(self, now: int, keys: list[SlotKey], to: str, message: LeaseReply | None) -> None:
        """Store the present state of `keys`, then send the message. The revision counts the stored rows."""
        granted_leases = self.granted_leases
        self.revision += len(keys)
        rows = [
            (
                *key,
                granted_leases.terms.get(key, 0),
                granted_leases.holders.get(key, ""),
                granted_leases.relinquished_terms.get(key, 0),
            )
            for key in keys
        ]
        self.decisions.append((KEEP, rows, to, message))

    def facts(self) -> dict[str, int]:
        """What is stored beside the places: see `StoredState`."""
        recovery = self.recovery
        return {
            "remembers": int(recovery.has_records),
            "settled": recovery.confirmed_generation,
            "stamp": self.revision,
            "longest": recovery.timing.max_lease,
        }
