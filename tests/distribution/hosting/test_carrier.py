"""The carrier pulls cores in order with one timer; the writer gathers what waits for a disk."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure

from linenbridge.distribution.decisions import Event
from linenbridge.distribution.hosting.core_driver import Carrier
from linenbridge.distribution.hosting.disk_writer import GroupWriter
from linenbridge.peering import clock
from tests.distribution.hosting.standins import StandinReactor


class Script:
    """A core that decides what it is told to."""

    def __init__(self, *names: str) -> None:
        self.out = [Event(name, {}) for name in names]
        self.wake: int | None = None
        self.pulls = 0

    def next_decision(self, now: int) -> Event | None:
        self.pulls += 1
        return self.out.pop(0) if self.out else None

    def wake_at(self) -> int | None:
        return self.wake


def test_cores_are_pulled_in_order_and_what_a_decision_brings_about_comes_in_the_same_turn():
    first, second = Script("a", "b"), Script("c")
    seen = []

    def carry_out(core: Script, now: int, event: Event) -> None:
        seen.append(event.name)
        if event.name == "c":
            first.out.append(Event("d", {}))
            carrier.turn()

    carrier = Carrier(StandinReactor(), [first, second], carry_out)
    carrier.turn()
    assert seen == ["a", "b", "c", "d"]


def test_something_is_looked_at_before_each_pull():
    core, looks = Script("a", "b"), []
    carrier = Carrier(StandinReactor(), [core], lambda *row: None, lambda now: looks.append(core.pulls))
    carrier.turn()
    assert looks == list(range(core.pulls))


def test_one_timer_wakes_the_first_that_wants_to_and_none_after_the_end():
    reactor, core, other = StandinReactor(), Script(), Script()
    core.wake, other.wake = clock.now() + 2_000_000, clock.now() + 9_000_000
    carrier = Carrier(reactor, [core, other], lambda *row: None)
    carrier.turn()
    carrier.turn()
    (timer,) = reactor.getDelayedCalls()
    assert 1.0 < timer.getTime() <= 2.0
    core.wake = clock.now() - 5
    carrier.turn()
    (timer,) = reactor.getDelayedCalls()
    assert 0 < timer.getTime() < 0.01, "one that is due leaves room for what else there is"
    carrier.close()
    carrier.turn()
    assert not reactor.getDelayedCalls()


def test_a_core_that_fails_is_pulled_again_after_a_while():
    reactor, core = StandinReactor(), Script("a", "b")
    core.wake = clock.now()

    def carry_out(core: Script, now: int, event: Event) -> None:
        if event.name == "a":
            raise RuntimeError("planted")

    carrier = Carrier(reactor, [core], carry_out)
    with pytest.raises(RuntimeError):
        carrier.turn()
    assert core.out
    reactor.advance(0.5)
    assert core.out, "a fault that lasts costs a line a second"
    reactor.advance(0.6)
    assert not core.out


class Disk:
    """Writes down what was written together; fails where it is told to."""

    def __init__(self) -> None:
        self.reactor = StandinReactor()
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


def test_a_write_that_fails_is_said_and_the_next_one_is_tried():
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

    disk.writer.done = done
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
