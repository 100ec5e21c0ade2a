"""Carries out what state machines decide: pulls their decisions in order and keeps one timer for all of them.

Owns the timer of one process's part and the order in which state machines are pulled. It must never decide: a
host calls its state machines' inputs, then `turn`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from linenbridge.distribution.decisions import Decision
from linenbridge.peering import clock

MIN_WAIT = (
    0.001  # seconds: a state machine that is due again at once leaves room for what else the process does
)
WAIT_AFTER_ERROR = (
    1.0  # seconds after an exception, which the log has: one fault does not stop the part for good
)


class StateMachine(Protocol):
    """What all state machines of the distribution have in common. Times are whole microseconds."""

    def next_decision(self, now: int, /) -> Decision | None: ...
    def wake_at(self) -> int | None: ...


class CoreDriver:
    """`execute(state_machine, now, decision)` may call inputs of any state machine: their decisions are
    pulled in the same turn. They are pulled in their order. `before_pull(now)` is called ahead of each pull,
    `on_turn_end()` at the end of a turn."""

    def __init__(
        self, reactor: Any, state_machines: Sequence[StateMachine],
        execute: Callable[[StateMachine, int, Decision], None],
        before_pull: Callable[[int], None] = lambda now: None, on_turn_end: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        self.reactor, self.state_machines, self.execute = reactor, state_machines, execute
        self.before_pull, self.on_turn_end = before_pull, on_turn_end
        self._timer: Any = None
        self._in_turn = self._closed = False

    def turn(self) -> None:
        """Carry out all that is decided, and wake up when the first state machine wants to."""
        if self._in_turn or self._closed:
            return
        self._in_turn = True
        try:
            while self._pull_all():
                pass
        except Exception:
            self._set_timer(WAIT_AFTER_ERROR)
            raise
        finally:
            self._in_turn = False
        self.on_turn_end()
        self._set_timer()

    def _pull_all(self) -> bool:
        """One pass over the state machines; whether any of them decided something."""
        found = False
        for state_machine in self.state_machines:
            while (decision := self._pull(state_machine)) is not None:
                found = True
                self.execute(state_machine, clock.now(), decision)
        return found

    def _pull(self, state_machine: StateMachine) -> Decision | None:
        now = clock.now()
        self.before_pull(now)
        return state_machine.next_decision(now)

    def _set_timer(self, min_wait: float = MIN_WAIT) -> None:
        at = min(
            (due for state_machine in self.state_machines if (due := state_machine.wake_at()) is not None),
            default=None,
        )
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if at is not None and not self._closed:
            wait = max(min_wait, (at - clock.now()) / 1e6)
            self._timer = self.reactor.callLater(wait, self.turn)

    def close(self) -> None:
        """Nothing more is pulled."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
