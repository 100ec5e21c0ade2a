"""Who waits for a task at one acceptor, in the order of tickets.

Keeps state without I/O. A ticket is one above the newest that a majority knew when its member first asked,
so every later one is behind it at some acceptor of each majority. It must never take a turn from a member
that is heard.
"""

from __future__ import annotations

from bisect import bisect_left, insort


class Queue:
    """Those that wait for one task: `order` by ticket and name, `heard` when each was heard last."""

    def __init__(self) -> None:
        self.newest, self.sweep_at = 0, 0
        self.order: list[tuple[int, str]] = []
        self.tickets: dict[str, int] = {}
        self.heard: dict[str, int] = {}

    def hear(self, now: int, member: str, ticket: int, patience: int) -> None:
        self.newest = max(ticket, self.newest)
        if ticket and self.tickets.get(member) != ticket:
            self.leave(member)
            insort(self.order, (ticket, member))
            self.tickets[member] = ticket
        if ticket:
            self.heard[member] = now
        self.forget(now, patience)

    def leave(self, member: str) -> None:
        if (ticket := self.tickets.pop(member, None)) is not None:
            del self.order[bisect_left(self.order, (ticket, member))], self.heard[member]

    def forget(self, now: int, patience: int) -> None:
        """Who has not been heard for so long waits no more; looked for when the first could have gone
        silent."""
        if now < self.sweep_at:
            return
        for member in [member for member, at in self.heard.items() if at + patience < now]:
            self.leave(member)
        self.sweep_at = min(self.heard.values(), default=now) + patience + 1

    def ahead(self, now: int, member: str, patience: int) -> int:
        """How many come before that member; all of them where it has no ticket."""
        self.forget(now, patience)
        ticket = self.tickets.get(member)
        return len(self.order) if ticket is None else bisect_left(self.order, (ticket, member))


class Queues:
    """By task."""

    def __init__(self) -> None:
        self.rows: dict[str, Queue] = {}

    def of(self, task: str) -> Queue:
        if task not in self.rows:
            self.rows[task] = Queue()
        return self.rows[task]

    def leave(self, task: str, member: str) -> None:
        if task in self.rows:
            self.rows[task].leave(member)

    def meet(self, task: str, ticket: int) -> None:
        """Another acceptor has seen a ticket."""
        queue = self.of(task)
        queue.newest = max(ticket, queue.newest)

    def newest(self) -> dict[str, int]:
        """The newest ticket of each task, in a lasting order."""
        return {task: self.rows[task].newest for task in sorted(self.rows)}
