"""Drives state machines on a reactor: pulls their decisions in order and keeps one timer for all of them.

Owns the timer of one host and the order in which its state machines are pulled. A host calls inputs of its
state machines, then `turn`, which passes each decision to the host's `execute`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from linenbridge.distribution.decisions import Decision
from linenbridge.peering import clock

MIN_WAIT = 0.001  # seconds; leaves time for the rest of the process when a state machine is due at once
WAIT_AFTER_ERROR = 1.0  # seconds; the reactor logs the exception, and the host continues


class StateMachine(Protocol):
    """The interface of all state machines of the distribution. Times are whole microseconds."""

    def next_decision(self, now: int, /) -> Decision | None:
        """Return the next decision in order, or None if there is none at this time."""

    def wake_at(self) -> int | None:
        """Return when to call `next_decision` without an input; None: not before the next input."""


class CoreDriver:
    """Pulls `state_machines` in their order.

    `execute(state_machine, now, decision)` may call inputs of any state machine: their decisions are pulled
    in the same turn. `before_pull(now)` is called before each pull, `on_turn_end()` at the end of each turn.
    """

    def __init__(
        self,
        reactor: Any,
        state_machines: Sequence[StateMachine],
        execute: Callable[[StateMachine, int, Decision], None],
        before_pull: Callable[[int], None] = lambda _now: None,
        on_turn_end: Callable[[], None] = lambda: None,
    ) -> None:
        self.reactor = reactor
        self.state_machines = state_machines
        self.execute = execute
        self.before_pull = before_pull
        self.on_turn_end = on_turn_end
        self._timer: Any = None
        self._in_turn = False
        self._closed = False

    def turn(self) -> None:
        """Execute all pending decisions, then set the timer to the earliest `wake_at`.

        A call from within a turn does nothing: the turn continues until no state machine has a decision.
        An exception of `execute` or of a state machine is raised again once the timer for the next turn is
        set.
        """
        if self._in_turn or self._closed:
            return
        self._in_turn = True
        try:
            while self._pull_all():
                pass
        except Exception:  # the next turn follows any exception; the reactor logs it
            self._set_timer(WAIT_AFTER_ERROR)
            raise
        finally:
            self._in_turn = False
        self.on_turn_end()
        self._set_timer()

    def _pull_all(self) -> bool:
        """Pull each state machine until it has no decision; return whether there was any decision."""
        decided = False
        for state_machine in self.state_machines:
            while (decision := self._pull(state_machine)) is not None:
                decided = True
                self.execute(state_machine, clock.now(), decision)
        return decided

    def _pull(self, state_machine: StateMachine) -> Decision | None:
        now = clock.now()
        self.before_pull(now)
        return state_machine.next_decision(now)

    def _set_timer(self, min_wait: float = MIN_WAIT) -> None:
        wake_times = [state_machine.wake_at() for state_machine in self.state_machines]
        due = min((time for time in wake_times if time is not None), default=None)
        self._cancel_timer()
        if due is not None and not self._closed:
            wait = max(min_wait, (due - clock.now()) / 1e6)
            self._timer = self.reactor.callLater(wait, self.turn)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def close(self) -> None:
        """Cancel the timer, and ignore all later calls of `turn`."""
        self._closed = True
        self._cancel_timer()
