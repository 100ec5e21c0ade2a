"""The freezes of one process: the wall clock and one timer around what is held.

Owns the timer. It must never decide: what the core says is told to the decision module, where this process
has one, and logged.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from linenbridge.fleet.freezes.schedule import FreezeSchedule
from linenbridge.fleet.freezes.windows import Window
from linenbridge.logging.event_log import Log

LOOK_MOST = 30.0  # seconds: a wall clock may be set


def wall() -> int:
    return time.time_ns() // 1000


class RolloutFreezes:
    """`held(zones)` is called with each change, None where nothing is held."""

    def __init__(
        self, windows: tuple[Window, ...], reactor: Any, log: Log,
        held: Callable[[frozenset[str] | None], None],
    ) -> None:  # fmt: skip
        self.reactor, self.log, self.held, self.timer = reactor, log, held, None
        self.core = FreezeSchedule(windows, wall())
        self.turn()

    def update(self, windows: tuple[Window, ...]) -> None:
        self.core.on_windows(wall(), windows)
        self.turn()

    def turn(self) -> None:
        now = wall()
        while (decision := self.core.next_decision(now)) is not None:
            if decision[0] == "hold":
                self.held(decision[1])
            else:
                self.log.event(decision[1], **decision[2])
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        wake = self.core.wake_at()
        wait = LOOK_MOST if wake is None else min(LOOK_MOST, max(0.001, (wake - now) / 1e6))
        self.timer = self.reactor.callLater(wait, self.turn)

    def close(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
