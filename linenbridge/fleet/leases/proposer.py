"""The proposer of one member: it requests leases for the member's tasks and tracks when each lease ends.

Decides without I/O. `may_act` checks the lease against the current clock before each action, so a process
that was paused past the end of a lease does not act. A lease starts at the moment at which the request was
sent, and is held only if majorities of both lists of acceptors have granted it.
"""

from __future__ import annotations

from collections import deque
from random import Random

from linenbridge.fleet.leases.decisions import (
    LeaseAcquired,
    LeaseLost,
    LogEvent,
    ProposerDecision,
    Send,
)
from linenbridge.fleet.leases.errors import OtherGeneration, QuorumLost
from linenbridge.fleet.leases.lease_state import LeasePhase, LeaseState
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

QUORUM_LOST_HEARTBEATS = 3  # without a majority's reply, before the loss is logged
RETRY_DELAY_DIVISOR = 20  # the shortest retry delay is a heartbeat divided by this
MIN_INTERVAL_FRACTION = 0.9  # of a heartbeat; random intervals, so that members don't all send at once
MAX_OPEN_REQUESTS = 64  # replies to older requests are ignored


class Proposer:
    """One member's leases. Times are microseconds of the member's clock."""

    def __init__(self, name: str, quorum: Quorum, timing: LeaseTiming, seed: int, now: int) -> None:
        """Start without tasks.

        `name` differs for each start of the process: a restarted process does not hold the leases of the
        earlier one. `seed` is for the random intervals between requests.
        """
        self.name = name
        self.quorum = quorum
        self.timing = timing
        self.random = Random(seed)
        self.leases: dict[str, LeaseState] = {}  # by task
        self._decisions = deque[ProposerDecision]()
        self._request_number = 0
        self._next_request_at = now
        self._sent_at: dict[int, int] = {}  # by number, when each recent request was sent
        self._replies: dict[int, dict[str, LeaseReply]] = {}  # to those requests, by acceptor
        # When a majority last replied. Initially in the future: acceptors may recover for the longest lease.
        self._majority_at = now + timing.max_lease
        self._quorum_loss_reported = False
        self._revisions: dict[str, int] = {}  # the newest of each acceptor
        self._reported_generation = 0

    # ---- inputs ----------------------------------------------------------------------------------------

    def request_lease(self, now: int, task: str, slots: int = 1) -> None:
        """Request a lease of one of the task's slots, and renew it, from now on."""
        if task not in self.leases or self.leases[task].phase is LeasePhase.RELEASING:
            self.leases[task] = LeaseState(task, slots, now)
            self._request_by(now)

    def release_lease(self, now: int, task: str) -> None:
        """Give the task's lease back, or stop requesting it."""
        lease = self.leases.get(task)
        if lease is None or lease.phase is LeasePhase.RELEASING:
            return
        if lease.phase is LeasePhase.HELD:
            self._decisions.append(LeaseLost(task, lease.slot, lease.term))
        lease.release(now + self.timing.heartbeat)
        self._next_request_at = now

    def on_quorum(self, now: int, quorum: Quorum) -> None:
        """Apply a newer quorum. A lease stays held for as long as the previous acceptors granted it."""
        if quorum.generation <= self.quorum.generation:
            return
        for lease in self.leases.values():
            if lease.phase is LeasePhase.HELD:
                lease.carryover_until = lease.expires_at(self.quorum, self.timing) or 0
        self.quorum = quorum
        self._next_request_at = now

    def on_reply(self, now: int, message: LeaseReply) -> None:
        """Process an acceptor's reply; a late or repeated reply changes nothing."""
        sent_at = self._sent_at.get(message.number)
        if sent_at is None or message.acceptor not in self.quorum.all_acceptors():
            return
        self._revisions[message.acceptor] = max(message.revision, self._revisions.get(message.acceptor, 0))
        replies = self._replies[message.number]
        if message.code == OtherGeneration.code:
            self._on_other_generation(message)
            return
        if message.acceptor in replies:
            return
        replies[message.acceptor] = message
        for granted in message.granted:
            lease = self.leases.get(granted.task)
            if lease is not None and (granted.slot, granted.term) == (lease.slot, lease.requested_term):
                self._on_granted(now, lease, message.acceptor, sent_at)
        for rejection in message.rejected:
            lease = self.leases.get(rejection.task)
            if lease is not None:
                lease.on_rejected(message.acceptor, rejection)
        accepted = {acceptor: reply for acceptor, reply in replies.items() if not reply.code}
        if has_majority(self.quorum, accepted):
            self._majority_at = now
            self._quorum_loss_reported = False
            if message.number == self._request_number:
                self._on_statuses(now, list(accepted.values()))

    # ---- queries before each action --------------------------------------------------------------------

    def may_act(self, now: int, task: str) -> int | None:
        """Return the term under which this member may act on the task at this moment; None if it may not."""
        lease = self.leases.get(task)
        if lease is None or lease.phase is not LeasePhase.HELD:
            return None
        expires_at = lease.expires_at(self.quorum, self.timing)
        return lease.term if expires_at is not None and now < expires_at else None

    def lease_expires_at(self, task: str) -> int | None:
        """Return when the lease of the task ends; None if this member holds none."""
        lease = self.leases.get(task)
        if lease is None or lease.phase is not LeasePhase.HELD:
            return None
        return lease.expires_at(self.quorum, self.timing)

    # ---- decisions -------------------------------------------------------------------------------------

    def next_decision(self, now: int) -> ProposerDecision | None:
        """Return the next decision to carry out, or None."""
        if not self._decisions:
            self._advance(now)
            if now >= self._next_request_at:
                self._request(now)
        return self._decisions.popleft() if self._decisions else None

    def wake_at(self) -> int | None:
        """Return when the next request is due or a lease ends; None without tasks."""
        if not self.leases:
            return None
        ends = [ends_at for task in self.leases if (ends_at := self.lease_expires_at(task)) is not None]
        return min([self._next_request_at, *ends])

    # ---- replies ---------------------------------------------------------------------------------------

    def _on_granted(self, now: int, lease: LeaseState, acceptor: str, sent_at: int) -> None:
        """Record an acceptor's grant of the requested term; the lease is held once a majority has."""
        if lease.phase not in (LeasePhase.ACQUIRING, LeasePhase.HELD):
            return
        term = lease.requested_term
        lease.on_granted(acceptor, term, sent_at)
        expires_at = lease.expires_at(self.quorum, self.timing, term)
        if expires_at is None or now >= expires_at or term == lease.term:
            return
        lease.term = term
        renewed = lease.phase is LeasePhase.HELD
        if not renewed:
            lease.phase = LeasePhase.HELD
            self._decisions.append(LeaseAcquired(lease.task, lease.slot, term))
        fields = {"task": lease.task, "slot": lease.slot, "term": term, "renewed": renewed}
        self._decisions.append(LogEvent("lease.held", fields))

    def _on_statuses(self, now: int, replies: list[LeaseReply]) -> None:
        """Take a position in the queue or request a free slot, by the statuses that a majority has sent."""
        acquires = list[Acquire]()
        for task, statuses in self._waiting_statuses(replies).items():
            lease = self.leases[task]
            if not lease.queue_position:
                lease.queue_position = 1 + max(status.newest_queue_position for status in statuses)
                self._next_request_at = now
                continue
            free = self._free_at_majority(replies, lease) if now >= lease.next_phase_at else []
            if lease.choose_slot(statuses, free, now + self.timing.heartbeat):
                acquires.append(lease.acquire(self.timing.lease))
            elif (free_in := lease.next_free_in(statuses)) is not None:
                self._request_by(now + free_in + self.timing.heartbeat // RETRY_DELAY_DIVISOR)
        if acquires:
            self._send(now, acquires, [], [])
            self._request_by(now + self.timing.heartbeat)

    def _waiting_statuses(self, replies: list[LeaseReply]) -> dict[str, list[TaskStatus]]:
        """Return, by task, the statuses of the tasks for which this member waits."""
        by_task = dict[str, list[TaskStatus]]()
        for reply in replies:
            for status in reply.statuses:
                lease = self.leases.get(status.task)
                if lease is not None and lease.phase is LeasePhase.WAITING and lease.matches(status):
                    by_task.setdefault(status.task, []).append(status)
        return by_task

    def _free_at_majority(self, replies: list[LeaseReply], lease: LeaseState) -> list[int]:
        """Return the slots that are free at a majority of the acceptors."""
        free = list[int]()
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

    def _on_other_generation(self, message: LeaseReply) -> None:
        """Log once that an acceptor has a newer generation of the quorum."""
        if message.generation > max(self.quorum.generation, self._reported_generation):
            self._reported_generation = message.generation
            what = f"the acceptor has generation {message.generation}, this member {self.quorum.generation}"
            self._log("quorum.newer_generation", OtherGeneration(what, message.acceptor))

    # ---- time ------------------------------------------------------------------------------------------

    def _advance(self, now: int) -> None:
        """Expire leases, abandon requests that can't succeed, drop what was released."""
        for task, lease in list(self.leases.items()):
            if lease.phase is LeasePhase.HELD:
                self._expire(now, lease)
            elif lease.phase is LeasePhase.ACQUIRING:
                if now >= lease.next_phase_at or majority_impossible(self.quorum, lease.rejected_by):
                    parts = self.random.uniform(1, RETRY_DELAY_DIVISOR)
                    lease.restart_waiting(now + int(parts * self.timing.heartbeat / RETRY_DELAY_DIVISOR))
                    self._request_by(lease.next_phase_at)
            elif lease.phase is LeasePhase.RELEASING and now >= lease.next_phase_at:
                del self.leases[task]
        self._report_quorum_loss(now)

    def _expire(self, now: int, lease: LeaseState) -> None:
        expires_at = lease.expires_at(self.quorum, self.timing)
        if expires_at is not None and now < expires_at:
            return
        self._decisions.append(LeaseLost(lease.task, lease.slot, lease.term))
        late = now - (expires_at or now)
        fields = {"task": lease.task, "slot": lease.slot, "term": lease.term, "late": late}
        self._decisions.append(LogEvent("lease.lost", fields))
        lease.restart_waiting(now)
        self._next_request_at = now

    def _report_quorum_loss(self, now: int) -> None:
        if not self.leases or self._quorum_loss_reported or self._has_quorum(now):
            return
        self._quorum_loss_reported = True
        replies = self._replies.get(self._request_number, {})
        granting = sorted(acceptor for acceptor, reply in replies.items() if not reply.code)
        what = f"of the acceptors {list(self.quorum.acceptors)} only {granting} grant leases"
        self._log("quorum.lost", QuorumLost(what, self.name))

    def _has_quorum(self, now: int) -> bool:
        """Return whether a majority has replied recently."""
        return now - self._majority_at <= QUORUM_LOST_HEARTBEATS * self.timing.heartbeat

    # ---- requests --------------------------------------------------------------------------------------

    def _request_by(self, at: int) -> None:
        """Send the next request at `at` or earlier."""
        self._next_request_at = min(self._next_request_at, at)

    def _request(self, now: int) -> None:
        """Send one request for all tasks, the same to every acceptor, however many tasks there are."""
        acquires = list[Acquire]()
        relinquishes = list[Relinquish]()
        queries = list[StatusQuery]()
        for task, lease in self.leases.items():
            if lease.phase is LeasePhase.HELD:
                lease.requested_term = lease.next_term()
            if lease.phase in (LeasePhase.HELD, LeasePhase.ACQUIRING):
                acquires.append(lease.acquire(self.timing.lease))
            elif lease.phase is LeasePhase.WAITING:
                # A member that reaches no majority must not block a slot that it can't take.
                position = lease.queue_position if self._has_quorum(now) else 0
                queries.append(StatusQuery(task, lease.slots, position))
            if lease.pending_relinquish is not None:
                relinquishes.append(lease.pending_relinquish)
        fraction = self.random.uniform(MIN_INTERVAL_FRACTION, 1.0)
        self._next_request_at = now + int(self.timing.heartbeat * fraction)
        if acquires or relinquishes or queries:
            self._send(now, acquires, relinquishes, queries)

    def _send(
        self, now: int, acquires: list[Acquire], relinquishes: list[Relinquish], queries: list[StatusQuery]
    ) -> None:
        self._request_number += 1
        number = self._request_number
        self._sent_at[number] = now
        self._replies[number] = {}
        for old in [old for old in self._sent_at if old <= number - MAX_OPEN_REQUESTS]:
            del self._sent_at[old]
            del self._replies[old]
        for acceptor in self.quorum.all_acceptors():
            revision = self._revisions.get(acceptor, 0)
            generation = self.quorum.generation
            request = LeaseRequest(number, self.name, generation, revision, acquires, relinquishes, queries)
            self._decisions.append(Send(acceptor, request))

    def _log(self, name: str, error: OtherGeneration | QuorumLost) -> None:
        self._decisions.append(LogEvent(name, error.fields()))
