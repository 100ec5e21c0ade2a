"""Writes to a disk in a thread: one call at a time, in order; items that wait are written together.

Owns the queue of items for the thread, whose content it does not interpret.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from twisted.internet.threads import deferToThreadPool

Item = TypeVar("Item")


class GroupWriter(Generic[Item]):
    """Groups queued items into writes.

    Calls `write(items)` in a thread of the reactor's pool, then `on_written(items)` or
    `on_failed(items, error)` in the reactor's thread.
    """

    def __init__(
        self,
        reactor: Any,
        write: Callable[[list[Item]], object],
        on_written: Callable[[list[Item]], None],
        on_failed: Callable[[list[Item], BaseException], None],
    ) -> None:
        self.reactor = reactor
        self.write = write
        self.on_written = on_written
        self.on_failed = on_failed
        self.pending: list[Item] = []
        self.writing = False
        self._on_idle: Callable[[], None] | None = None

    def put(self, item: Item) -> None:
        """Write an item at once, or with all other waiting items after the write in progress."""
        self.pending.append(item)
        if not self.writing:
            self._start_write()

    def close(self, on_idle: Callable[[], None]) -> None:
        """Call `on_idle` once all items are written or have failed."""
        self._on_idle = on_idle
        self._notify_if_idle()

    def _start_write(self) -> None:
        items, self.pending = self.pending, []
        self.writing = True
        result = deferToThreadPool(self.reactor, self.reactor.getThreadPool(), self.write, items)
        result.addCallbacks(
            lambda _: self.on_written(items), lambda failure: self.on_failed(items, failure.value)
        )
        result.addBoth(self._on_write_ended)

    def _on_write_ended(self, result: object) -> object:
        """Start the next write, also after a callback raised: Twisted logs the failure that is returned."""
        self.writing = False
        if self.pending:
            self._start_write()
        else:
            self._notify_if_idle()
        return result

    def _notify_if_idle(self) -> None:
        if self._on_idle is not None and not self.writing and not self.pending:
            on_idle, self._on_idle = self._on_idle, None
            on_idle()
