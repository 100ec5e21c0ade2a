"""The state of one task at one member: waiting, taking, holding or leaving.

Decides without I/O. It must never count the answer to an earlier request for a later one.
"""

from __future__ import annotations

from linenbridge.fleet.leases.errors import HeldByAnother
from linenbridge.fleet.leases.messages import Rejected, TaskStatus
from linenbridge.fleet.leases.quorum import Quorum, supported_until
from linenbridge.fleet.leases.timing import Pace, acts_until

WAITING, TAKING, HOLDING, LEAVING = "waiting", "taking", "holding", "leaving"


class Hold:
    """`term` is the term held, `asked_term` the one requested. `support` maps each acceptor that granted
    to the term and the time of the request that it answered."""

    def __init__(self, task: str, places: int, now: int) -> None:
        self.task, self.places, self.ticket = task, places, 0
        self.state, self.from_at = WAITING, now
        self.place, self.term, self.asked_term, self.newest = 0, 0, 0, 0
        self.support: dict[str, tuple[int, int]] = {}
        self.against: set[str] = set()
        self.given: tuple[int, int] | None = None  # place and term that are not wanted any more
        self.kept = 0  # until when a quorum before the present one keeps the place

    def yes(self, acceptor: str, term: int, asked: int) -> None:
        """An acceptor has granted the term, in answer to a request sent at `asked`."""
        self.support[acceptor] = max(self.support.get(acceptor, (0, 0)), (term, asked))

    def rejected(self, acceptor: str, rejection: Rejected) -> None:
        """An acceptor has refused the request."""
        if (rejection.place, rejection.term) == (self.place, self.asked_term):
            if self.state == TAKING:
                self.against.add(acceptor)
            if rejection.code != HeldByAnother.code:
                self.newest = max(self.newest, rejection.newest)

    def until(self, quorum: Quorum, pace: Pace, term: int | None = None) -> int | None:
        """When the lease ends on this member's clock; None if no majority supports the term. An acceptor
        that has granted this member a newer term counts as well, as it keeps the place just the same."""
        least = self.term if term is None else term
        asked = {acceptor: at for acceptor, (given, at) in self.support.items() if given >= least}
        since = supported_until(quorum, asked)
        until = self.kept if least == self.term else 0
        return max(until, acts_until(pace, since)) if since is not None else until or None

    def fits(self, row: TaskStatus) -> bool:
        """Whether an acceptor's status has as many places as this member's settings."""
        return row.task == self.task and len(row.terms) == len(row.left) == self.places

    def next_term(self) -> int:
        """The term of the next renewal: a newer one if an acceptor knows a newer term of this place."""
        return self.asked_term if self.newest <= self.asked_term else self.newest + 1

    def choose(self, rows: list[TaskStatus], free: list[int], give_up: int) -> bool:
        """Request the free place that falls to this member by its position in the queue. Returns whether
        there is one."""
        position = max(row.position for row in rows)
        if position >= len(free):
            return False
        self.place = free[position]
        terms = [row.terms[self.place] for row in rows]
        self.asked_term = 1 + max([self.newest, self.asked_term, *terms])
        self.state, self.given, self.support, self.against, self.kept = TAKING, None, {}, set(), 0
        self.from_at = give_up
        return True

    def free_in(self, rows: list[TaskStatus]) -> int | None:
        """Microseconds until a place is free at most acceptors; None if no lease ends."""
        ends = [sorted(row.left[place] for row in rows)[len(rows) // 2] for place in range(self.places)]
        soon = [end for end in ends if end > 0]
        return min(soon, default=None)

    def wait_again(self, at: int) -> None:
        """Start over: grants that acceptors may have made meanwhile are given back."""
        self.given = (self.place, max(self.term, self.asked_term))
        self.state, self.from_at, self.support, self.kept = WAITING, at, {}, 0

    def leave(self, until: int) -> None:
        """Give the place back and stop requesting it; the answer is awaited until `until`."""
        if self.asked_term:
            self.given = (self.place, max(self.term, self.asked_term))
        self.state, self.from_at, self.support = LEAVING, until, {}
