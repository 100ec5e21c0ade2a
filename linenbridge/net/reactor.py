"""Twisted's epoll reactor with less overhead per event.

Sockets that are ready are read or written without a logging context for each event, and the decision loop's
turn runs right after each poll, without a timer in between. Timers run by the monotonic clock, not by the
wall clock as Twisted's do. All other events are left to Twisted.
"""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.python import log

from linenbridge.net.decision_loop import DecisionLoop


class Reactor(EPollReactor):
    """An epoll reactor that runs the turns of one decision loop."""

    loop: DecisionLoop | None = None

    seconds = staticmethod(time.monotonic)

    def serve(self, loop: DecisionLoop) -> None:
        """Run the turns of `loop` after each poll."""
        self.loop, loop.runs_after_poll = loop, True

    def timeout(self) -> float | None:
        """Return how many seconds to wait for an event: 0 while inputs are pending, None for no limit."""
        return 0 if self.loop is not None and self.loop.pending_inputs else super().timeout()

    def doPoll(self, timeout: float | None) -> None:
        """Serve all sockets that are ready, then run the loop's turn if inputs are pending."""
        ready = self._poller.poll(-1 if timeout is None else timeout, len(self._selectables))
        for fd, event in ready:
            selectable = self._selectables.get(fd)
            if selectable is None:
                continue
            if event == select.EPOLLIN:
                self._call(selectable, selectable.doRead, is_reading=True)
            elif event == select.EPOLLOUT:
                self._call(selectable, selectable.doWrite, is_reading=False)
            else:
                log.callWithLogger(selectable, self._doReadOrWrite, selectable, fd, event)
        if self.loop is not None and self.loop.pending_inputs:
            self.loop.turn()

    doIteration = doPoll  # noqa: N815

    def _call(self, selectable: Any, handle: Callable[[], Any], is_reading: bool) -> None:
        try:
            reason = handle()
        except Exception as error:
            reason = error
            log.err()
        if reason:
            self._disconnectSelectable(selectable, reason, is_reading)
