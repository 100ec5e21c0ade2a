"""Twisted's epoll reactor with a shorter path to the protocols.

Owns the round of reading: what is ready is read without a logging context for each event, and the loop's turn
runs right after the round, without a timer in between. Anything but a plain read is left to Twisted.
"""

from __future__ import annotations

import select
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.python import log

from linenbridge.net.decision_loop import DecisionLoop


class Reactor(EPollReactor):
    """Serves one loop."""

    loop: DecisionLoop | None = None

    def serve(self, loop: DecisionLoop) -> None:
        """Run the loop's turns after each round of reading."""
        self.loop, loop.runs_after_poll = loop, True

    def timeout(self) -> float | None:
        """Return how long to wait for an event: not at all while inputs are pending."""
        return 0 if self.loop is not None and self.loop.pending_inputs else super().timeout()

    def doPoll(self, timeout: float | None) -> None:
        """Read all that is ready, then run the loop's turn."""
        ready = self._poller.poll(-1 if timeout is None else timeout, len(self._selectables))
        for fd, event in ready:
            selectable = self._selectables.get(fd)
            if selectable is None:
                continue
            if event == select.EPOLLIN:
                self._read(selectable)
            else:
                log.callWithLogger(selectable, self._doReadOrWrite, selectable, fd, event)
        if self.loop is not None and self.loop.pending_inputs:
            self.loop.turn()

    doIteration = doPoll  # noqa: N815

    def _read(self, selectable: Any) -> None:
        try:
            reason = selectable.doRead()
        except Exception as error:
            reason = error
            log.err()
        if reason:
            self._disconnectSelectable(selectable, reason, True)
