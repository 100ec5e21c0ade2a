"""Drives state machines on a reactor: pulls their decisions in order and keeps one timer for all of them.

Owns the timer of one process's part and the order in which state machines are pulled. Decides nothing: a host
calls inputs of its state machines, then `turn`, which hands each decision to the host's `execute`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from linenbridge.distribution.decisions import Decision
from linenbridge.peering import clock

MIN_WAIT = 0.001  # seconds: a state machine that is due again at once leaves time for the rest of the process
WAIT_AFTER_ERROR = 1.0  # seconds after an exception, which is in the log: one error does not end the part


class StateMachine(Protocol):
    """What all state machines of the distribution have in common. Times are whole microseconds."""

    def next_decision(self, now: int, /) -> Decision | None:
        """The next decision, in order; None where there is none at this time."""

    def wake_at(self) -> int | None:
        """When `next_decision` is to be called without an input; None: not before the next input."""


class CoreDriver:
    """Pulls `state_machines` in their order.

    `execute(state_machine, now, decision)` may call inputs of any state machine: their decisions are pulled
    in the same turn. `before_pull(now)` runs ahead of each pull, `on_turn_end()` at the end of each turn.
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
        """Execute all pending decisions, then set the timer to the first `wake_at`. A call from within a turn
        does nothing: the turn goes on until no state machine decides anything.

        An exception of `execute` or of a state machine is raised after the timer is set to try again.
        """
        if self._in_turn or self._closed:
            return
        self._in_turn = True
        try:
            while self._pull_all():
                pass
        except Exception:  # whatever it is, the next turn comes; the reactor logs it
            self._set_timer(WAIT_AFTER_ERROR)
            raise
        finally:
            self._in_turn = False
        self.on_turn_end()
        self._set_timer()

    def _pull_all(self) -> bool:
        """One pass over the state machines; whether any of them decided something."""
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
        """Pull nothing more."""
        self._closed = True
        self._cancel_timer()
