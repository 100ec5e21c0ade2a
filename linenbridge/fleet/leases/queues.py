"""Who waits for a task at one seat, in the order of tickets.

Keeps state without I/O. A ticket is one above the newest that a majority knew when its member first asked,
so every later one is behind it at some seat of each majority. It must never take a turn from a member that
is heard.
"""

from __future__ import annotations


class Queues:
    """By task: the newest ticket, and those that wait with when they were last heard."""

    def __init__(self) -> None:
        self.newest: dict[str, int] = {}
        self.waiting: dict[str, dict[str, tuple[int, int]]] = {}

    def hear(self, now: int, task: str, member: str, ticket: int, patience: int) -> None:
        rows = self.waiting.setdefault(task, {})
        self.newest[task] = max(ticket, self.newest.get(task, 0))
        if ticket:
            rows[member] = (ticket, now)
        for other in [other for other, (_, heard) in rows.items() if heard + patience < now]:
            del rows[other]

    def leave(self, task: str, member: str) -> None:
        self.waiting.get(task, {}).pop(member, None)

    def ahead(self, now: int, task: str, member: str, patience: int) -> int:
        """How many that wait come before that member; all of them where it has no ticket."""
        rows = self.waiting.get(task, {})
        own = rows.get(member, (1 << 62, 0))[0]
        alive = [(ticket, other) for other, (ticket, heard) in rows.items() if heard + patience >= now]
        return sum((ticket, other) < (own, member) for ticket, other in alive if other != member)
