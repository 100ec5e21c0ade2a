"""The state of one task at one member: waiting, taking, holding or leaving.

Decides without I/O. It must never count the answer to an earlier request for a later one.
"""

from __future__ import annotations

from linenbridge.fleet.leases.errors import HeldByAnother
from linenbridge.fleet.leases.messages import Rejected, TaskStatus
from linenbridge.fleet.leases.quorum import Quorum, majority_sent_at
from linenbridge.fleet.leases.timing import LeaseTiming, lease_expiry

WAITING, ACQUIRING, HELD, RELEASING = "waiting", "acquiring", "held", "releasing"


class LeaseState:
    """`term` is the term held, `requested_term` the one requested. `grants` maps each acceptor that granted
    to the term and the time of the request that it answered."""

    def __init__(self, task: str, slots: int, now: int) -> None:
        self.task, self.slots, self.queue_position = task, slots, 0
        self.phase, self.next_phase_at = WAITING, now
        self.slot, self.term, self.requested_term, self.newest_term = 0, 0, 0, 0
        self.grants: dict[str, tuple[int, int]] = {}
        self.rejected_by: set[str] = set()
        self.to_relinquish: tuple[int, int] | None = None  # place and term that are not wanted any more
        self.carryover_until = 0  # until when a quorum before the present one keeps the place

    def on_granted(self, acceptor: str, term: int, sent_at: int) -> None:
        """An acceptor has granted the term, in answer to a request sent at `asked`."""
        self.grants[acceptor] = max(self.grants.get(acceptor, (0, 0)), (term, sent_at))

    def on_rejected(self, acceptor: str, rejection: Rejected) -> None:
        """An acceptor has refused the request."""
        if (rejection.slot, rejection.term) == (self.slot, self.requested_term):
            if self.phase == ACQUIRING:
                self.rejected_by.add(acceptor)
            if rejection.code != HeldByAnother.code:
                self.newest_term = max(self.newest_term, rejection.newest_term)

    def expires_at(self, quorum: Quorum, timing: LeaseTiming, term: int | None = None) -> int | None:
        """When the lease ends on this member's clock; None if no majority supports the term. An acceptor
        that has granted this member a newer term counts as well, as it keeps the place just the same."""
        min_term = self.term if term is None else term
        sent_at = {
            acceptor: at for acceptor, (granted_term, at) in self.grants.items() if granted_term >= min_term
        }
        since = majority_sent_at(quorum, sent_at)
        until = self.carryover_until if min_term == self.term else 0
        return max(until, lease_expiry(timing, since)) if since is not None else until or None

    def matches(self, status: TaskStatus) -> bool:
        """Whether an acceptor's status has as many places as this member's settings."""
        return status.task == self.task and len(status.terms) == len(status.remaining) == self.slots

    def next_term(self) -> int:
        """The term of the next renewal: a newer one if an acceptor knows a newer term of this place."""
        return self.requested_term if self.newest_term <= self.requested_term else self.newest_term + 1

    def choose_slot(self, statuses: list[TaskStatus], free: list[int], abandon_at: int) -> bool:
        """Request the free place that falls to this member by its position in the queue. Returns whether
        there is one."""
        members_ahead = max(status.members_ahead for status in statuses)
        if members_ahead >= len(free):
            return False
        self.slot = free[members_ahead]
        terms = [status.terms[self.slot] for status in statuses]
        self.requested_term = 1 + max([self.newest_term, self.requested_term, *terms])
        self.phase, self.to_relinquish, self.grants, self.rejected_by, self.carryover_until = (
            ACQUIRING,
            None,
            {},
            set(),
            0,
        )
        self.next_phase_at = abandon_at
        return True

    def next_free_in(self, statuses: list[TaskStatus]) -> int | None:
        """Microseconds until a place is free at most acceptors; None if no lease ends."""
        ends = [
            sorted(status.remaining[slot] for status in statuses)[len(statuses) // 2]
            for slot in range(self.slots)
        ]
        future = [end for end in ends if end > 0]
        return min(future, default=None)

    def restart_waiting(self, at: int) -> None:
        """Start over: grants that acceptors may have made meanwhile are given back."""
        self.to_relinquish = (self.slot, max(self.term, self.requested_term))
        self.phase, self.next_phase_at, self.grants, self.carryover_until = WAITING, at, {}, 0

    def release(self, until: int) -> None:
        """Give the place back and stop requesting it; the answer is awaited until `until`."""
        if self.requested_term:
            self.to_relinquish = (self.slot, max(self.term, self.requested_term))
        self.phase, self.next_phase_at, self.grants = RELEASING, until, {}
