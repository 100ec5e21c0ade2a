"""Fakes of a reactor and its threads, in memory: a call in a thread runs when the test says so.

Owns nothing of the program. Its clock is the reactor's; the fleet's clock is the machine's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure


class FakeThreads:
    """A pool whose calls wait until `run_all`."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []

    def callInThreadWithCallback(  # noqa: N802
        self, on_result: Callable[[bool, Any], None], function: Callable, *arguments: Any, **options: Any
    ) -> None:
        def run() -> None:
            try:
                result = True, function(*arguments, **options)
            except Exception:
                result = False, Failure()
            on_result(*result)

        self.calls.append(run)

    def run_all(self) -> int:
        """How many calls there were; those that they bring about run too."""
        count = 0
        while self.calls:
            self.calls.pop(0)()
            count += 1
        return count


class FakeReactor(MemoryReactorClock):
    """With threads; a call from one of them is made at once."""

    def __init__(self) -> None:
        super().__init__()
        self.threads = FakeThreads()

    def getThreadPool(self) -> FakeThreads:  # noqa: N802
        return self.threads

    def callFromThread(self, function: Callable, *arguments: Any, **options: Any) -> None:  # noqa: N802
        function(*arguments, **options)
