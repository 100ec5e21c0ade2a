"""The stop of a process with several parts: all begin at once, and the process ends when all have stopped.

Owns which parts have not stopped yet. No part waits for another one, and none keeps the process beyond the
time limit: clients' deadlines pass during a stop, whatever else a part may wait for.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from linenbridge.logging.event_log import Log

StopPart = Callable[
    [Callable[[], None]], object
]  # stops one part, and calls its argument when it has stopped


class Shutdown:
    """The stop of one process; `time_limit` is in seconds from `begin`."""

    def __init__(self, reactor: Any, log: Log, time_limit: float) -> None:
        self.reactor = reactor
        self.log = log
        self.time_limit = time_limit
        self.has_begun = False
        self._parts: dict[str, StopPart] = {}
        self._running: set[str] = set()
        self._timer: Any = None

    def add(self, name: str, stop: StopPart) -> None:
        """Add a part that has to stop; `name` is for the log."""
        self._parts[name] = stop
        self._running.add(name)

    def begin(self) -> None:
        """Stop all parts, then the reactor; a repeated call does nothing."""
        if self.has_begun:
            return
        self.has_begun = True
        self._timer = self.reactor.callLater(self.time_limit, self._on_time_limit)
        for name, stop in self._parts.items():
            try:
                stop(partial(self._on_stopped, name))
            except Exception as error:  # one failing part must not keep the others from stopping
                self.log.failed(f"stopping {name}", error)
                self._on_stopped(name)

    def _on_stopped(self, name: str) -> None:
        if name not in self._running:
            return
        self._running.discard(name)
        if not self._running:
            self._timer.cancel()
            self.reactor.stop()

    def _on_time_limit(self) -> None:
        self.log.event("stop.timed_out", parts=sorted(self._running))
        self._running.clear()
        self.reactor.stop()
