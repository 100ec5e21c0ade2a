"""Run the schedule of rollout freezes in one process, by the wall clock and one timer.

Owns the timer. The decisions of `FreezeSchedule` go to the log and, if this process has one, to the decision
module.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from linenbridge.fleet.freezes.schedule import FreezeSchedule, LogFreeze, SetFreeze
from linenbridge.fleet.freezes.windows import Window
from linenbridge.logging.event_log import Log

MAX_WAIT = 30.0  # seconds; bounded because the wall clock may be set during the wait
MIN_WAIT = 0.001  # seconds


def wall_clock() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


class RolloutFreezes:
    """Runs the schedule of rollout freezes.

    `on_change(zones)` is called at each change with the zones in which rollouts are frozen: the empty set for
    everywhere, None for nowhere.
    """

    def __init__(
        self,
        windows: tuple[Window, ...],
        reactor: Any,
        log: Log,
        on_change: Callable[[frozenset[str] | None], None],
    ) -> None:
        """Start; windows that are open now are reported to `on_change` before this returns."""
        self.reactor = reactor
        self.log = log
        self.on_change = on_change
        self.timer: Any = None
        self.schedule = FreezeSchedule(windows, wall_clock())
        self._run()

    def update(self, windows: tuple[Window, ...]) -> None:
        """Replace the windows by those of a newer file."""
        self.schedule.on_windows(wall_clock(), windows)
        self._run()

    def _run(self) -> None:
        """Carry out the decisions that are due, then set the timer."""
        now = wall_clock()
        while (decision := self.schedule.next_decision(now)) is not None:
            match decision:
                case SetFreeze(zones):
                    self.on_change(zones)
                case LogFreeze(event, fields):
                    self.log.event(event, **fields)
        self.close()
        wake_at = self.schedule.wake_at()
        wait = MAX_WAIT if wake_at is None else min(MAX_WAIT, max(MIN_WAIT, (wake_at - now) / 1e6))
        self.timer = self.reactor.callLater(wait, self._run)

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
