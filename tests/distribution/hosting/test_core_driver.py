"""The driver pulls state machines in order with one timer; the writer gathers what waits for a disk."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure

from linenbridge.distribution.decisions import Event
from linenbridge.distribution.hosting.core_driver import CoreDriver
from linenbridge.distribution.hosting.disk_writer import GroupWriter
from linenbridge.peering import clock
from tests.distribution.hosting.fakes import FakeReactor


class ScriptedStateMachine:
    """A state machine whose decisions the test sets."""

    def __init__(self, *names: str) -> None:
        self.decisions = [Event(name, {}) for name in names]
        self.wake: int | None = None
        self.pulls = 0

    def next_decision(self, now: int) -> Event | None:
        self.pulls += 1
        return self.decisions.pop(0) if self.decisions else None

    def wake_at(self) -> int | None:
        return self.wake


def test_state_machines_are_pulled_in_order_and_what_a_decision_brings_about_comes_in_the_same_turn():
    first, second = ScriptedStateMachine("a", "b"), ScriptedStateMachine("c")
    seen = []

    def execute(state_machine: ScriptedStateMachine, now: int, event: Event) -> None:
        seen.append(event.name)
        if event.name == "c":
            first.decisions.append(Event("d", {}))
            driver.turn()

    driver = CoreDriver(FakeReactor(), [first, second], execute)
    driver.turn()
    assert seen == ["a", "b", "c", "d"]


def test_something_is_looked_at_before_each_pull():
    state_machine, looks = ScriptedStateMachine("a", "b"), []
    driver = CoreDriver(
        FakeReactor(), [state_machine], lambda *row: None, lambda now: looks.append(state_machine.pulls)
    )
    driver.turn()
    assert looks == list(range(state_machine.pulls))


def test_one_timer_wakes_the_first_that_wants_to_and_none_after_the_end():
    reactor, state_machine, other = FakeReactor(), ScriptedStateMachine(), ScriptedStateMachine()
    state_machine.wake, other.wake = clock.now() + 2_000_000, clock.now() + 9_000_000
    driver = CoreDriver(reactor, [state_machine, other], lambda *row: None)
    driver.turn()
    driver.turn()
    (timer,) = reactor.getDelayedCalls()
    assert 1.0 < timer.getTime() <= 2.0
    state_machine.wake = clock.now() - 5
    driver.turn()
    (timer,) = reactor.getDelayedCalls()
    assert 0 < timer.getTime() < 0.01, "one that is due leaves room for what else there is"
    driver.close()
    driver.turn()
    assert not reactor.getDelayedCalls()


def test_a_state_machine_that_fails_is_pulled_again_after_a_while():
    reactor, state_machine = FakeReactor(), ScriptedStateMachine("a", "b")
    state_machine.wake = clock.now()

    def execute(state_machine: ScriptedStateMachine, now: int, event: Event) -> None:
        if event.name == "a":
            raise RuntimeError("planted")

    driver = CoreDriver(reactor, [state_machine], execute)
    with pytest.raises(RuntimeError):
        driver.turn()
    assert state_machine.decisions
    reactor.advance(0.5)
    assert state_machine.decisions, "a fault that lasts costs a line a second"
    reactor.advance(0.6)
    assert not state_machine.decisions


class Disk:
    """Writes down what was written together; fails where it is told to."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        self.groups: list[list[str]] = []
        self.done: list[str] = []
        self.failed: list[str] = []
        self.full = False
        self.writer = GroupWriter(
            self.reactor, self._write, self.done.extend, lambda items, error: self.failed.extend(items)
        )

    def _write(self, items: list[str]) -> None:
        if self.full:
            raise OSError("full")
        self.groups.append(items)


def test_what_waits_for_a_write_goes_together_in_order():
    disk = Disk()
    for item in "abcd":
        disk.writer.put(item)
    assert not disk.done, "nothing counts before it is written"
    disk.reactor.threads.run_all()
    assert disk.groups == [["a"], ["b", "c", "d"]] and disk.done == list("abcd")


def test_a_write_that_fails_is_reported_and_the_next_one_is_tried():
    disk = Disk()
    disk.full = True
    disk.writer.put("a")
    disk.reactor.threads.run_all()
    disk.full = False
    disk.writer.put("b")
    disk.reactor.threads.run_all()
    assert disk.failed == ["a"] and disk.done == ["b"]


def test_a_callback_that_raises_stops_no_later_write():
    disk = Disk()

    def done(items: list[str]) -> None:
        if items == ["a"]:
            raise RuntimeError("planted")
        disk.done.extend(items)

    disk.writer.on_written = done
    disk.writer.put("a")
    disk.writer.put("b")
    with caught_by_twisted() as failures:
        disk.reactor.threads.run_all()
        gc.collect()
    assert disk.groups == [["a"], ["b"]] and disk.done == ["b"]
    assert any("planted" in str(failure.value) for failure in failures)


@contextmanager
def caught_by_twisted() -> Iterator[list[Failure]]:
    """What Twisted logs of failures that nobody took, as a process's log gets them."""
    failures = list[Failure]()

    def observe(event: dict) -> None:
        if event.get("log_failure") is not None:
            failures.append(event["log_failure"])

    globalLogPublisher.addObserver(observe)
    try:
        yield failures
    finally:
        globalLogPublisher.removeObserver(observe)


def test_the_end_comes_after_the_last_write():
    disk, ends = Disk(), []
    disk.writer.put("a")
    disk.writer.put("b")
    disk.writer.close(lambda: ends.append(list(disk.done)))
    assert not ends
    disk.reactor.threads.run_all()
    assert ends == [["a", "b"]]
    idle, at_once = Disk(), []
    idle.writer.close(lambda: at_once.append(True))
    assert at_once == [True]
