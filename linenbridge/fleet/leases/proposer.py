"""One member's side of leases: it requests leases for its tasks and knows until when each one is held.

Decides without I/O. Whether the member may act is answered at each act, by the clock as it is then
(`may_act`), so a process that was stopped for a while finds out before it acts. A lease must never be
counted from later than the request was sent, nor by less than a majority of both lists of acceptors.

Decisions, as plain tuples:

    (SAY, acceptor, message)   send a message to an acceptor
    (ACQUIRED, task, slot, term)  this member holds a place from now on
    (LOST, task, slot, term)  it does not any more: the lease ended, or was given back
    (LOG, name, fields)        one line of the log
"""

from __future__ import annotations

from collections import deque
from random import Random

from linenbridge.fleet.leases.errors import OtherGeneration, QuorumLost
from linenbridge.fleet.leases.lease_state import HELD, RELEASING, ACQUIRING, WAITING, LeaseState
from linenbridge.fleet.leases.messages import (
    Acquire,
    LeaseReply,
    LeaseRequest,
    Relinquish,
    StatusQuery,
    TaskStatus,
)
from linenbridge.fleet.leases.quorum import Quorum, has_majority, majority_impossible
from linenbridge.fleet.leases.timing import LeaseTiming

SAY, ACQUIRED, LOST, LOG = "say", "held", "lost", "log"
QUORUM_LOST_AFTER = 3  # beats without a majority's answer before a line says so
RETRY_FRACTION = 20  # parts of a beat after which one that lost a round asks again at the earliest
MAX_OPEN_REQUESTS = 64


class Proposer:
    """`name` differs for each start of the process: a restarted process does not hold what it held
    before."""

    def __init__(self, name: str, quorum: Quorum, timing: LeaseTiming, seed: int, now: int) -> None:
        self.name, self.quorum, self.timing, self.random = name, quorum, timing, Random(seed)
        self.leases: dict[str, LeaseState] = {}
        self.decisions = deque[tuple]()
        self.request_number, self.next_request_at = 0, now
        self.sent_at: dict[int, int] = {}  # when each round of late was sent
        self.replies: dict[int, dict[str, LeaseReply]] = {}  # to those rounds, by acceptor
        self.majority_at, self.quorum_loss_reported = (
            now + timing.max_lease,
            False,
        )  # acceptors may stand aside after a start
        self.revisions: dict[str, int] = {}  # the newest that each acceptor was heard to have kept
        self.reported_generation = 0

    # ---- inputs ------------------------------------------------------------------------------------

    def request_lease(self, now: int, task: str, slots: int = 1) -> None:
        """Request a place of that task from now on."""
        if task not in self.leases or self.leases[task].phase == RELEASING:
            self.leases[task] = LeaseState(task, slots, now)
            self.next_request_at = min(self.next_request_at, now)

    def release_lease(self, now: int, task: str) -> None:
        """Give the task back, or stop requesting it."""
        if (lease := self.leases.get(task)) is None or lease.phase == RELEASING:
            return
        if lease.phase == HELD:
            self.decisions.append((LOST, task, lease.slot, lease.term))
        lease.release(now + self.timing.heartbeat)
        self.next_request_at = now

    def on_quorum(self, now: int, quorum: Quorum) -> None:
        """New settings. A lease stays held for as long as the earlier acceptors granted it."""
        if quorum.generation > self.quorum.generation:
            for lease in self.leases.values():
                if lease.phase == HELD:
                    lease.carryover_until = lease.expires_at(self.quorum, self.timing) or 0
            self.quorum, self.next_request_at = quorum, now

    def on_reply(self, now: int, message: LeaseReply) -> None:
        """An acceptor's answer to a request; a late or repeated one changes nothing."""
        sent_at = self.sent_at.get(message.number)
        if sent_at is None or message.acceptor not in self.quorum.all_acceptors():
            return
        self.revisions[message.acceptor] = max(message.revision, self.revisions.get(message.acceptor, 0))
        replies = self.replies[message.number]
        if message.code == OtherGeneration.code:
            self._other_generation(message)
        if message.code == OtherGeneration.code or message.acceptor in replies:
            return
        replies[message.acceptor] = message
        for granted in message.granted:
            if (lease := self.leases.get(granted.task)) is not None:
                self._on_granted(now, lease, message.acceptor, granted.slot, granted.term, sent_at)
        for rejection in message.rejected:
            if (lease := self.leases.get(rejection.task)) is not None:
                lease.on_rejected(message.acceptor, rejection)
        if has_majority(self.quorum, [acceptor for acceptor, reply in replies.items() if not reply.code]):
            self.majority_at, self.quorum_loss_reported = now, False
            if message.number == self.request_number:
                self._on_statuses(now, [reply for reply in replies.values() if not reply.code])

    # ---- what the host asks at each act ------------------------------------------------------------

    def may_act(self, now: int, task: str) -> int | None:
        """The term under which this member may act on the task at this moment; None if it may not."""
        lease = self.leases.get(task)
        if lease is None or lease.phase != HELD:
            return None
        until = lease.expires_at(self.quorum, self.timing)
        return lease.term if until is not None and now < until else None

    def lease_expires_at(self, task: str) -> int | None:
        """When the lease of the task ends, on this member's clock; None if it holds none."""
        lease = self.leases.get(task)
        return (
            lease.expires_at(self.quorum, self.timing) if lease is not None and lease.phase == HELD else None
        )

    # ---- decisions ---------------------------------------------------------------------------------

    def next_decision(self, now: int) -> tuple | None:
        """The next decision to carry out, or None."""
        if not self.decisions:
            self._expire(now)
            if now >= self.next_request_at:
                self._request(now)
        return self.decisions.popleft() if self.decisions else None

    def wake_at(self) -> int | None:
        """When this member has something to do without an input, in microseconds; None without tasks."""
        ends = [until for task in self.leases if (until := self.lease_expires_at(task)) is not None]
        return min([self.next_request_at, *ends]) if self.leases else None

    # ---- what is known becomes what is held --------------------------------------------------------

    def _on_granted(
        self, now: int, lease: LeaseState, acceptor: str, slot: int, term: int, sent_at: int
    ) -> None:
        if lease.phase not in (ACQUIRING, HELD) or (slot, term) != (lease.slot, lease.requested_term):
            return
        lease.on_granted(acceptor, term, sent_at)
        until = lease.expires_at(self.quorum, self.timing, term)
        if until is None or now >= until or term == lease.term:
            return
        renewed, lease.term = lease.phase == HELD, term
        if not renewed:
            lease.phase = HELD
            self.decisions.append((ACQUIRED, lease.task, slot, term))
        self.decisions.append(
            (LOG, "lease.held", {"task": lease.task, "place": slot, "term": term, "raised": renewed})
        )

    def _on_statuses(self, now: int, replies: list[LeaseReply]) -> None:
        """A majority has answered with the status of tasks: take a ticket, or request a free place."""
        by_task: dict[str, list[TaskStatus]] = {}
        for reply in replies:
            for status in reply.statuses:
                if status.task in self.leases and self.leases[status.task].matches(status):
                    by_task.setdefault(status.task, []).append(status)
        acquires = list[Acquire]()
        for task, statuses in by_task.items():
            lease = self.leases.get(task)
            if lease is None or lease.phase != WAITING:
                continue
            if not lease.queue_position:
                lease.queue_position = 1 + max(status.newest_queue_position for status in statuses)
                self.next_request_at = now
                continue
            free = self._free_at_majority(replies, lease) if now >= lease.next_phase_at else []
            if lease.choose_slot(statuses, free, now + self.timing.heartbeat):
                acquires.append(Acquire(task, lease.slot, lease.requested_term, self.timing.lease))
            elif (free_in := lease.next_free_in(statuses)) is not None:
                self.next_request_at = min(
                    self.next_request_at, now + free_in + self.timing.heartbeat // RETRY_FRACTION
                )
        if acquires:
            self._send(now, acquires, [], [])
            self.next_request_at = min(self.next_request_at, now + self.timing.heartbeat)

    def _other_generation(self, message: LeaseReply) -> None:
        if message.generation > self.quorum.generation and message.generation > self.reported_generation:
            self.reported_generation = message.generation
            what = f"the acceptor is at {message.generation}, this member at {self.quorum.generation}"
            self.decisions.append((LOG, "council.newer", OtherGeneration(what, message.acceptor).fields()))

    def _free_at_majority(self, replies: list[LeaseReply], lease: LeaseState) -> list[int]:
        """The places that are free at a majority of the acceptors."""
        free = []
        for slot in range(lease.slots):
            acceptors = [
                reply.acceptor
                for reply in replies
                for status in reply.statuses
                if lease.matches(status) and not status.remaining[slot]
            ]
            if has_majority(self.quorum, acceptors):
                free.append(slot)
        return free

    def _expire(self, now: int) -> None:
        for task, lease in list(self.leases.items()):
            if lease.phase == HELD:
                until = lease.expires_at(self.quorum, self.timing)
                if until is None or now >= until:
                    self.decisions.append((LOST, task, lease.slot, lease.term))
                    fields = {
                        "task": task,
                        "place": lease.slot,
                        "term": lease.term,
                        "late": now - (until or now),
                    }
                    self.decisions.append((LOG, "lease.lost", fields))
                    lease.restart_waiting(now)
                    self.next_request_at = now
            elif lease.phase == ACQUIRING and (
                now >= lease.next_phase_at or majority_impossible(self.quorum, lease.rejected_by)
            ):
                lease.restart_waiting(
                    now + int(self.random.uniform(1, RETRY_FRACTION) * self.timing.heartbeat / RETRY_FRACTION)
                )
                self.next_request_at = min(self.next_request_at, lease.next_phase_at)
            elif lease.phase == RELEASING and now >= lease.next_phase_at:
                del self.leases[task]
        if (
            self.leases
            and not self.quorum_loss_reported
            and now - self.majority_at > QUORUM_LOST_AFTER * self.timing.heartbeat
        ):
            self.quorum_loss_reported = True
            last = self.replies.get(self.request_number, {})
            granting = sorted(acceptor for acceptor, reply in last.items() if not reply.code)
            error = QuorumLost(f"of {list(self.quorum.acceptors)} only {granting} grant", self.name)
            self.decisions.append((LOG, "council.lost", error.fields()))

    def _request(self, now: int) -> None:
        """One request for all tasks, the same to every acceptor, however many tasks there are."""
        has_majority_recently = now - self.majority_at <= QUORUM_LOST_AFTER * self.timing.heartbeat
        acquires, relinquishes, queries = list[Acquire](), list[Relinquish](), list[StatusQuery]()
        for task, lease in self.leases.items():
            if lease.phase == HELD:
                lease.requested_term = lease.next_term()
                acquires.append(Acquire(task, lease.slot, lease.requested_term, self.timing.lease))
            elif lease.phase == WAITING:
                # One that hears no majority keeps nobody from his turn.
                queries.append(
                    StatusQuery(task, lease.slots, lease.queue_position if has_majority_recently else 0)
                )
            elif lease.phase == ACQUIRING:
                acquires.append(Acquire(task, lease.slot, lease.requested_term, self.timing.lease))
            if (slot_and_term := lease.to_relinquish) is not None:
                relinquishes.append(Relinquish(task, *slot_and_term))
        self.next_request_at = now + int(self.timing.heartbeat * self.random.uniform(0.9, 1.0))
        if acquires or relinquishes or queries:
            self._send(now, acquires, relinquishes, queries)

    def _send(
        self, now: int, acquires: list[Acquire], relinquishes: list[Relinquish], queries: list[StatusQuery]
    ) -> None:
        self.request_number += 1
        self.sent_at[self.request_number], self.replies[self.request_number] = now, {}
        for old in [number for number in self.sent_at if number <= self.request_number - MAX_OPEN_REQUESTS]:
            del self.sent_at[old], self.replies[old]
        for acceptor in self.quorum.all_acceptors():
            revision, generation = self.revisions.get(acceptor, 0), self.quorum.generation
            self.decisions.append(
                (
                    SAY,
                    acceptor,
                    LeaseRequest(
                        self.request_number, self.name, generation, revision, acquires, relinquishes, queries
                    ),
                )
            )
