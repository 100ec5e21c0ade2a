"""A queue of content for a view: each batch or range is checked in short steps, then passed on in order.

A batch or range is passed on whole in one turn of the reactor, so that no request is routed by a part of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from linenbridge.distribution.changes import Change, Kind
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.view.view import View

Content = Apply | ReplaceRange


class ApplyQueue:
    """Calls `on_checked(content)` for each queued batch or range, in order, after its routes are checked.

    The view's checks of routes are spread over turns of the reactor, about a millisecond a step; all other
    work is short enough for one turn.
    """

    def __init__(self, reactor: Any, view: View, on_checked: Callable[[Content], None]) -> None:
        self.reactor = reactor
        self.view = view
        self.on_checked = on_checked
        self.pending: deque[Content] = deque()
        self._unchecked: deque[Change] = deque()  # routes of the first pending content
        self._check_steps: Iterator[None] = iter(())  # remaining steps of the check of one set of routes
        self._closed = False

    def put(self, content: Content) -> None:
        """Append content to the queue; content without routes is passed on at once if the queue is empty."""
        self.pending.append(content)
        if len(self.pending) == 1:
            self._start_checks()

    def close(self) -> None:
        """Stop checking, and pass no more content on."""
        self._closed = True

    def _start_checks(self) -> None:
        changes = self.pending[0].changes
        self._unchecked = deque(change for change in changes if change.kind == Kind.ROUTES and change.value)
        self._check_first()

    def _check_first(self) -> None:
        if self._closed or not self.pending:
            return
        if self._run_check_step():
            self.reactor.callLater(0, self._check_first)
            return
        self.on_checked(self.pending[0])
        self.pending.popleft()
        if self.pending:
            self.reactor.callLater(0, self._start_checks)

    def _run_check_step(self) -> bool:
        """Run one step of the checks; return False once all checks are done."""
        for _ in self._check_steps:
            return True
        if not self._unchecked:
            return False
        self._check_steps = self.view.validation_steps(self._unchecked.popleft())
        return True
