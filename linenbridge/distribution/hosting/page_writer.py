"""Writes a gateway's view to its store: all changed pages in one write, once an interval.

Owns the timer and the order of writes; the store owns the file and logs its errors.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from linenbridge.distribution.errors import ViewStoreError
from linenbridge.distribution.hosting.disk_writer import GroupWriter
from linenbridge.distribution.storage.view_store import ViewStore
from linenbridge.distribution.view.results import StoredPage
from linenbridge.distribution.view.view import View
from linenbridge.logging.event_log import Log

STORE_INTERVAL = 1.0  # seconds between two writes of the view's pages


class ViewPageWriter:
    """Writes the changed pages of `view` to `store` in a thread, until a write fails."""

    def __init__(self, reactor: Any, log: Log, view: View, store: ViewStore) -> None:
        self.reactor = reactor
        self.log = log
        self.view = view
        self.store = store
        self.writer = GroupWriter[list[StoredPage]](reactor, self._write, self._on_written, self._on_failed)
        self.timer: Any = None

    def on_changed(self) -> None:
        """Start an interval, unless one is running; its end writes the view's changed pages."""
        if self.timer is None and self.store.error is None:
            self.timer = self.reactor.callLater(STORE_INTERVAL, self._write_changed)

    def _write_changed(self) -> None:
        self.timer = None
        if self.store.error is None:
            self.writer.put(self.view.take_changed_pages())

    def _write(self, groups: list[list[StoredPage]]) -> None:
        for pages in groups:
            self.store.write(pages)

    def _on_written(self, _groups: list[list[StoredPage]]) -> None:
        """Do nothing: the store logs its own errors."""

    def _on_failed(self, _groups: list[list[StoredPage]], error: BaseException) -> None:
        self.log.failed("distribution.store", error)
        if self.store.error is None:
            self.store.error = ViewStoreError(f"{type(error).__name__}: {error}", self.store.path)

    def close(self, on_closed: Callable[[], None]) -> None:
        """Write the changed pages, then close the store and call `on_closed`."""
        if self.timer is not None:
            self.timer.cancel()
            self._write_changed()
        self.writer.close(lambda: self._close_store(on_closed))

    def _close_store(self, on_closed: Callable[[], None]) -> None:
        self.store.close()
        on_closed()
