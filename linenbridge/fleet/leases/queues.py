"""The queue of members that wait for a task at one acceptor, in the order of their tickets.

Keeps state without I/O. A member's ticket is one above the newest that a majority knew at its first
request, so every later ticket is behind it at one acceptor of each majority or more. A member that keeps
sending requests must never lose its position.
"""

from __future__ import annotations

from bisect import bisect_left, insort


class Queue:
    """The members that wait for one task. `order` holds ticket and name, `heard` when each last sent a
    request."""

    def __init__(self) -> None:
        self.newest, self.sweep_at = 0, 0
        self.order: list[tuple[int, str]] = []
        self.tickets: dict[str, int] = {}
        self.heard: dict[str, int] = {}

    def hear(self, now: int, member: str, ticket: int, patience: int) -> None:
        """A member waits, with this ticket (0: it has none yet)."""
        self.newest = max(ticket, self.newest)
        if ticket and self.tickets.get(member) != ticket:
            self.leave(member)
            insort(self.order, (ticket, member))
            self.tickets[member] = ticket
        if ticket:
            self.heard[member] = now
        self.forget(now, patience)

    def leave(self, member: str) -> None:
        """A member does not wait any more."""
        if (ticket := self.tickets.pop(member, None)) is not None:
            del self.order[bisect_left(self.order, (ticket, member))], self.heard[member]

    def forget(self, now: int, patience: int) -> None:
        """Drop members that have sent nothing for `patience` microseconds; checked when the first could
        be due."""
        if now < self.sweep_at:
            return
        for member in [member for member, at in self.heard.items() if at + patience < now]:
            self.leave(member)
        self.sweep_at = min(self.heard.values(), default=now) + patience + 1

    def ahead(self, now: int, member: str, patience: int) -> int:
        """How many members are before that one; all of them if it has no ticket."""
        self.forget(now, patience)
        ticket = self.tickets.get(member)
        return len(self.order) if ticket is None else bisect_left(self.order, (ticket, member))


class Queues:
    """The queues by task."""

    def __init__(self) -> None:
        self.rows: dict[str, Queue] = {}

    def of(self, task: str) -> Queue:
        """The task's queue, made on first use."""
        if task not in self.rows:
            self.rows[task] = Queue()
        return self.rows[task]

    def leave(self, task: str, member: str) -> None:
        """A member does not wait for the task any more."""
        if task in self.rows:
            self.rows[task].leave(member)

    def meet(self, task: str, ticket: int) -> None:
        """Another acceptor has seen a ticket of the task."""
        queue = self.of(task)
        queue.newest = max(ticket, queue.newest)

    def newest(self) -> dict[str, int]:
        """The newest ticket of each task, sorted by task."""
        return {task: self.rows[task].newest for task in sorted(self.rows)}
