"""Content on its way into a view: checked in short steps, then handed over in order.

One batch or range is handed over in one turn of the reactor, so that a request sees one version or the next.
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
    """Calls `on_checked(content)` for each content that is put, in order, once the view has examined its sets
    of routes. Only these checks take long enough to be spread over turns: about a millisecond a step."""

    def __init__(self, reactor: Any, view: View, on_checked: Callable[[Content], None]) -> None:
        self.reactor = reactor
        self.view = view
        self.on_checked = on_checked
        self.pending: deque[Content] = deque()
        self._unchecked: deque[Change] = deque()  # sets of routes of the first content
        self._check_steps: Iterator[None] = iter(())  # of the check of one of them
        self._closed = False

    def put(self, content: Content) -> None:
        """Add content behind all that waits; without routes and with nothing before it, it is handed over at
        once."""
        self.pending.append(content)
        if len(self.pending) == 1:
            self._start_checks()

    def close(self) -> None:
        """Hand nothing over any more."""
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
        """One step of the checks; False once all are done."""
        for _ in self._check_steps:
            return True
        if not self._unchecked:
            return False
        self._check_steps = self.view.validation_steps(self._unchecked.popleft())
        return True
