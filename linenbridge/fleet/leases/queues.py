"""The queue of members that wait for a task at one acceptor, in the order of their positions.

Keeps state without I/O. A member's position is one above the newest that a majority knew at its first
request, so every later position is behind it at one acceptor of each majority or more. A member that keeps
sending requests must never lose its position.
"""

from __future__ import annotations

from bisect import bisect_left, insort


class Queue:
    """The members that wait for one task. `members` holds position and name,
    `last_request_at` when each last sent a
    request."""

    def __init__(self) -> None:
        self.newest_position, self.next_expiry_at = 0, 0
        self.members: list[tuple[int, str]] = []
        self.positions: dict[str, int] = {}
        self.last_request_at: dict[str, int] = {}

    def on_request(self, now: int, member: str, position: int, timeout: int) -> None:
        """A member waits, with this position (0: it has none yet)."""
        self.newest_position = max(position, self.newest_position)
        if position and self.positions.get(member) != position:
            self.remove(member)
            insort(self.members, (position, member))
            self.positions[member] = position
        if position:
            self.last_request_at[member] = now
        self.expire(now, timeout)

    def remove(self, member: str) -> None:
        """A member does not wait any more."""
        if (position := self.positions.pop(member, None)) is not None:
            del self.members[bisect_left(self.members, (position, member))], self.last_request_at[member]

    def expire(self, now: int, timeout: int) -> None:
        """Drop members that have sent nothing for `timeout` microseconds; checked when the first could
        be due."""
        if now < self.next_expiry_at:
            return
        for member in [member for member, at in self.last_request_at.items() if at + timeout < now]:
            self.remove(member)
        self.next_expiry_at = min(self.last_request_at.values(), default=now) + timeout + 1

    def members_ahead(self, now: int, member: str, timeout: int) -> int:
        """How many members are before that one; all of them if it has no position."""
        self.expire(now, timeout)
        position = self.positions.get(member)
        return len(self.members) if position is None else bisect_left(self.members, (position, member))


class Queues:
    """The queues by task."""

    def __init__(self) -> None:
        self.by_task: dict[str, Queue] = {}

    def for_task(self, task: str) -> Queue:
        """The task's queue, made on first use."""
        if task not in self.by_task:
            self.by_task[task] = Queue()
        return self.by_task[task]

    def remove(self, task: str, member: str) -> None:
        """A member does not wait for the task any more."""
        if task in self.by_task:
            self.by_task[task].remove(member)

    def on_other_acceptor(self, task: str, position: int) -> None:
        """Another acceptor has seen a position of the task."""
        queue = self.for_task(task)
        queue.newest_position = max(position, queue.newest_position)

    def newest_positions(self) -> dict[str, int]:
        """The newest position of each task, sorted by task."""
        return {task: self.by_task[task].newest_position for task in sorted(self.by_task)}
