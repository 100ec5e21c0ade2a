"""The state of one task's lease at one member: waiting, acquiring, held or releasing.

Decides without I/O. A reply to an earlier request is ignored by a later one.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from linenbridge.fleet.leases.errors import HeldByAnother
from linenbridge.fleet.leases.messages import Acquire, Rejected, Relinquish, TaskStatus
from linenbridge.fleet.leases.quorum import Quorum, majority_sent_at
from linenbridge.fleet.leases.timing import LeaseTiming, lease_expiry


class LeasePhase(StrEnum):
    """The phase of a member's lease of a task."""

    WAITING = "waiting"  # in the queue for a free slot
    ACQUIRING = "acquiring"  # has requested a free slot
    HELD = "held"  # by a majority; renewed at each heartbeat
    RELEASING = "releasing"  # has given the slot back


class Grant(NamedTuple):
    """The newest grant of one acceptor: its term, and when the request that it answers was sent."""

    term: int
    sent_at: int


NO_GRANT = Grant(0, 0)


class LeaseState:
    """One task's lease at one member.

    `term` is the term held and `requested_term` the one requested; `newest_term` is the newest that a
    rejection has reported. Times are microseconds of the member's clock.
    """

    def __init__(self, task: str, slots: int, now: int) -> None:
        """Start to wait for one of the task's slots."""
        self.task = task
        self.slots = slots  # how many the task has
        self.queue_position = 0  # 0: none yet
        self.phase = LeasePhase.WAITING
        # When waiting: the earliest time of a request for a slot; when acquiring: when the request is
        # abandoned; when releasing: when the state is dropped.
        self.next_phase_at = now
        self.slot = 0
        self.term = 0
        self.requested_term = 0
        self.newest_term = 0
        self.rejected_by: set[str] = set()
        self.carryover_until = 0  # until when the acceptors of the previous quorum keep the slot
        self._grants: dict[str, Grant] = {}  # by acceptor
        self.pending_relinquish: Relinquish | None = None  # added to each request while it is set

    def on_granted(self, acceptor: str, term: int, sent_at: int) -> None:
        """Record that an acceptor has granted the term in reply to a request sent at `sent_at`."""
        self._grants[acceptor] = max(self._grants.get(acceptor, NO_GRANT), Grant(term, sent_at))

    def on_rejected(self, acceptor: str, rejection: Rejected) -> None:
        """Record that an acceptor has rejected the request."""
        if (rejection.slot, rejection.term) != (self.slot, self.requested_term):
            return
        if self.phase is LeasePhase.ACQUIRING:
            self.rejected_by.add(acceptor)
        if rejection.code != HeldByAnother.code:
            self.newest_term = max(self.newest_term, rejection.newest_term)

    def expires_at(self, quorum: Quorum, timing: LeaseTiming, term: int | None = None) -> int | None:
        """Return when the lease ends under `term`, by default the term held; None if no majority grants it.

        A grant of a newer term to this member counts as well, because its acceptor keeps the slot for this
        member too.
        """
        min_term = self.term if term is None else term
        sent_at = {name: grant.sent_at for name, grant in self._grants.items() if grant.term >= min_term}
        carryover_until = self.carryover_until if min_term == self.term else 0
        granted_since = majority_sent_at(quorum, sent_at)
        if granted_since is None:
            return carryover_until or None
        return max(carryover_until, lease_expiry(timing, granted_since))

    def acquire(self, duration: int) -> Acquire:
        """Return the request for the slot under the requested term, for `duration` microseconds."""
        return Acquire(self.task, self.slot, self.requested_term, duration)

    def matches(self, status: TaskStatus) -> bool:
        """Return whether a status is of this task with as many slots as in this member's settings."""
        return status.task == self.task and len(status.terms) == len(status.remaining) == self.slots

    def next_term(self) -> int:
        """Return the term of the next renewal: a newer one if an acceptor has a newer term of the slot."""
        return self.requested_term if self.newest_term <= self.requested_term else self.newest_term + 1

    def choose_slot(self, statuses: list[TaskStatus], free: list[int], abandon_at: int) -> bool:
        """Request the free slot at this member's position in the queue, until `abandon_at`.

        Return False if there are fewer free slots.
        """
        members_ahead = max(status.members_ahead for status in statuses)
        if members_ahead >= len(free):
            return False
        self.slot = free[members_ahead]
        terms = [status.terms[self.slot] for status in statuses]
        self.requested_term = 1 + max([self.newest_term, self.requested_term, *terms])
        self.phase = LeasePhase.ACQUIRING
        self.next_phase_at = abandon_at
        self.rejected_by = set()
        self.carryover_until = 0
        self._grants = {}
        self.pending_relinquish = None
        return True

    def next_free_in(self, statuses: list[TaskStatus]) -> int | None:
        """Return the microseconds until a slot is free at most acceptors; None if no lease ends."""
        ends = [
            sorted(status.remaining[slot] for status in statuses)[len(statuses) // 2]
            for slot in range(self.slots)
        ]
        return min((end for end in ends if end > 0), default=None)

    def restart_waiting(self, at: int) -> None:
        """Wait again until `at` or later, and give back grants that acceptors may have made so far."""
        self.pending_relinquish = Relinquish(self.task, self.slot, max(self.term, self.requested_term))
        self.phase = LeasePhase.WAITING
        self.next_phase_at = at
        self.carryover_until = 0
        self._grants = {}

    def release(self, until: int) -> None:
        """Give the slot back and stop requesting it; the state is dropped at `until`."""
        if self.requested_term:
            self.pending_relinquish = Relinquish(self.task, self.slot, max(self.term, self.requested_term))
        self.phase = LeasePhase.RELEASING
        self.next_phase_at = until
        self._grants = {}
