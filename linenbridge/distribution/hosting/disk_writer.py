"""Writes to a disk beside the reactor: one call at a time in a thread, in order, what waits goes together.

Owns the queue before the thread. It must never look into what is written.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from twisted.internet.threads import deferToThreadPool

Item = TypeVar("Item")


class GroupWriter(Generic[Item]):
    """`write(items)` runs in a thread of the reactor's pool; then `done(items)` or `failed(items, error)` is
    called on the reactor's."""

    def __init__(
        self, reactor: Any, write: Callable[[list[Item]], object], done: Callable[[list[Item]], None],
        failed: Callable[[list[Item], BaseException], None],
    ) -> None:  # fmt: skip
        self.reactor, self.write, self.done, self.failed = reactor, write, done, failed
        self.waiting: list[Item] = []
        self.writing = False
        self._idle: Callable[[], None] | None = None

    def put(self, item: Item) -> None:
        self.waiting.append(item)
        if not self.writing:
            self._begin()

    def close(self, idle: Callable[[], None]) -> None:
        """`idle` is called once all that was put is written."""
        self._idle = idle
        self._tell_idle()

    def _begin(self) -> None:
        items, self.waiting = self.waiting, []
        self.writing = True
        result = deferToThreadPool(self.reactor, self.reactor.getThreadPool(), self.write, items)
        result.addCallbacks(lambda _: self.done(items), lambda failure: self.failed(items, failure.value))
        result.addBoth(self._next)

    def _next(self, result: object) -> object:
        """Also after a callback that raised: its failure is passed on, to the process's log."""
        self.writing = False
        if self.waiting:
            self._begin()
        else:
            self._tell_idle()
        return result

    def _tell_idle(self) -> None:
        if self._idle is not None and not self.writing and not self.waiting:
            idle, self._idle = self._idle, None
            idle()
