"""The queue of members that wait for a task at one acceptor, in the order of their positions.

Keeps state without I/O. A member's position is a number, one above the newest that a majority knew at its
first request, so every later position is behind it at one or more acceptors of every majority. A member that
keeps sending requests never loses its position.
"""

from __future__ import annotations

from bisect import bisect_left, insort


class Queue:
    """The members that wait for one task, ordered by position and name. Times are in microseconds."""

    def __init__(self) -> None:
        """Start without members."""
        self.newest_position = 0
        self._next_expiry_at = 0
        self._order: list[tuple[int, str]] = []
        self._positions: dict[str, int] = {}
        self._last_request_at: dict[str, int] = {}

    def on_request(self, now: int, member: str, position: int, timeout: int) -> None:
        """Record that a member waits, with its position (0: it has none yet)."""
        self.newest_position = max(position, self.newest_position)
        if position and self._positions.get(member) != position:
            self.remove(member)
            insort(self._order, (position, member))
            self._positions[member] = position
        if position:
            self._last_request_at[member] = now
        self._expire(now, timeout)

    def remove(self, member: str) -> None:
        """Remove a member that does not wait any more."""
        position = self._positions.pop(member, None)
        if position is not None:
            del self._order[bisect_left(self._order, (position, member))]
            del self._last_request_at[member]

    def members_ahead(self, now: int, member: str, timeout: int) -> int:
        """Return how many members are ahead of a member; all of them if it has no position."""
        self._expire(now, timeout)
        position = self._positions.get(member)
        return len(self._order) if position is None else bisect_left(self._order, (position, member))

    def _expire(self, now: int, timeout: int) -> None:
        """Remove members that have sent nothing for `timeout`; skipped until the first of them may be due."""
        if now < self._next_expiry_at:
            return
        for member in [member for member, at in self._last_request_at.items() if at + timeout < now]:
            self.remove(member)
        self._next_expiry_at = min(self._last_request_at.values(), default=now) + timeout + 1


class Queues:
    """The queues by task."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.by_task: dict[str, Queue] = {}

    def for_task(self, task: str) -> Queue:
        """Return the task's queue, created on first use."""
        if task not in self.by_task:
            self.by_task[task] = Queue()
        return self.by_task[task]

    def remove(self, task: str, member: str) -> None:
        """Remove a member that does not wait for the task any more."""
        if task in self.by_task:
            self.by_task[task].remove(member)

    def on_newest_position(self, task: str, position: int) -> None:
        """Record the newest position of a task that another acceptor has reported."""
        queue = self.for_task(task)
        queue.newest_position = max(position, queue.newest_position)

    def newest_positions(self) -> dict[str, int]:
        """Return the newest position of each task, sorted by task."""
        return {task: self.by_task[task].newest_position for task in sorted(self.by_task)}
