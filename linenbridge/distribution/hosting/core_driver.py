"""Carries out what cores decide: pulls their decisions in order and keeps one timer for all of them.

Owns the timer of one process's part and the order in which cores are pulled. It must never decide: a host
calls its cores' inputs, then `turn`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from linenbridge.distribution.decisions import Decision
from linenbridge.peering import clock

WAIT_LEAST = 0.001  # seconds: a core that is due again at once leaves room for what else the process does
WAIT_AFTER_FAULT = (
    1.0  # seconds after an exception, which the log has: one fault does not stop the part for good
)


class Core(Protocol):
    """What all cores of the distribution have in common. Times are whole microseconds."""

    def next_decision(self, now: int, /) -> Decision | None: ...
    def wake_at(self) -> int | None: ...


class Carrier:
    """`carry_out(core, now, decision)` may call inputs of any core: their decisions are pulled in the same
    turn. Cores are pulled in their order. `before(now)` is called ahead of each pull, `after()` at the end of
    a turn."""

    def __init__(
        self, reactor: Any, cores: Sequence[Core], carry_out: Callable[[Core, int, Decision], None],
        before: Callable[[int], None] = lambda now: None, after: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        self.reactor, self.cores, self.carry_out = reactor, cores, carry_out
        self.before, self.after = before, after
        self._timer: Any = None
        self._turning = self._closed = False

    def turn(self) -> None:
        """Carry out all that is decided, and wake up when the first core wants to."""
        if self._turning or self._closed:
            return
        self._turning = True
        try:
            while self._pull_all():
                pass
        except Exception:
            self._set_timer(WAIT_AFTER_FAULT)
            raise
        finally:
            self._turning = False
        self.after()
        self._set_timer()

    def _pull_all(self) -> bool:
        """One pass over the cores; whether any of them decided something."""
        found = False
        for core in self.cores:
            while (decision := self._pull(core)) is not None:
                found = True
                self.carry_out(core, clock.now(), decision)
        return found

    def _pull(self, core: Core) -> Decision | None:
        now = clock.now()
        self.before(now)
        return core.next_decision(now)

    def _set_timer(self, least: float = WAIT_LEAST) -> None:
        at = min((wake for core in self.cores if (wake := core.wake_at()) is not None), default=None)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if at is not None and not self._closed:
            wait = max(least, (at - clock.now()) / 1e6)
            self._timer = self.reactor.callLater(wait, self.turn)

    def close(self) -> None:
        """Nothing more is pulled."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
