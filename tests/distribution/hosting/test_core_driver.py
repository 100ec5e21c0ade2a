"""The driver pulls state machines in their order, and sets one timer for all of them."""

from __future__ import annotations

import pytest

from linenbridge.distribution.decisions import Event
from linenbridge.distribution.hosting.core_driver import CoreDriver
from linenbridge.peering import clock
from tests.distribution.hosting.fakes import FakeReactor


class ScriptedStateMachine:
    """A state machine whose decisions the test sets."""

    def __init__(self, *names: str) -> None:
        self.decisions = [Event(name, {}) for name in names]
        self.wake: int | None = None
        self.pulls = 0

    def next_decision(self, _now: int) -> Event | None:
        self.pulls += 1
        return self.decisions.pop(0) if self.decisions else None

    def wake_at(self) -> int | None:
        return self.wake


def test_state_machines_are_pulled_in_order_and_resulting_decisions_execute_in_the_same_turn():
    first = ScriptedStateMachine("a", "b")
    second = ScriptedStateMachine("c")
    executed = []

    def execute(_state_machine: ScriptedStateMachine, _now: int, event: Event) -> None:
        executed.append(event.name)
        if event.name == "c":
            first.decisions.append(Event("d", {}))
            driver.turn()

    driver = CoreDriver(FakeReactor(), [first, second], execute)
    driver.turn()
    assert executed == ["a", "b", "c", "d"]


def test_before_pull_is_called_ahead_of_each_pull():
    state_machine = ScriptedStateMachine("a", "b")
    pulls_before_call = []
    driver = CoreDriver(
        FakeReactor(),
        [state_machine],
        lambda *row: None,
        lambda now: pulls_before_call.append(state_machine.pulls),
    )
    driver.turn()
    assert pulls_before_call == list(range(state_machine.pulls))


def test_one_timer_is_set_for_the_earliest_wake_time_and_none_after_close():
    reactor = FakeReactor()
    state_machine = ScriptedStateMachine()
    other = ScriptedStateMachine()
    state_machine.wake = clock.now() + 2_000_000
    other.wake = clock.now() + 9_000_000
    driver = CoreDriver(reactor, [state_machine, other], lambda *row: None)
    driver.turn()
    driver.turn()
    (timer,) = reactor.getDelayedCalls()
    assert 1.0 < timer.getTime() <= 2.0
    state_machine.wake = clock.now() - 5
    driver.turn()
    (timer,) = reactor.getDelayedCalls()
    assert 0 < timer.getTime() < 0.01, "the wait leaves time for the rest of the process"
    driver.close()
    driver.turn()
    assert not reactor.getDelayedCalls()


def test_pulling_resumes_one_second_after_execute_raises():
    reactor = FakeReactor()
    state_machine = ScriptedStateMachine("a", "b")
    state_machine.wake = clock.now()

    def execute(_state_machine: ScriptedStateMachine, _now: int, event: Event) -> None:
        if event.name == "a":
            raise RuntimeError("planted")

    driver = CoreDriver(reactor, [state_machine], execute)
    with pytest.raises(RuntimeError):
        driver.turn()
    assert state_machine.decisions
    reactor.advance(0.5)
    assert state_machine.decisions, "a lasting error is logged once a second at most"
    reactor.advance(0.6)
    assert not state_machine.decisions
