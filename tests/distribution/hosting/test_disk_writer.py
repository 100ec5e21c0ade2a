"""Writes in a thread: waiting items are written together, in order, and later ones after a failure too."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure

from linenbridge.distribution.hosting.disk_writer import GroupWriter
from tests.distribution.hosting.fakes import FakeReactor


class Disk:
    """Records the items of each write; a write fails while `full` is set."""

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


def test_items_that_wait_for_a_write_are_written_together_in_order():
    disk = Disk()
    for item in "abcd":
        disk.writer.put(item)
    assert not disk.done, "an item is done only after its write"
    disk.reactor.threads.run_all()
    assert disk.groups == [["a"], ["b", "c", "d"]]
    assert disk.done == list("abcd")


def test_a_failed_write_is_reported_and_the_next_item_is_written():
    disk = Disk()
    disk.full = True
    disk.writer.put("a")
    disk.reactor.threads.run_all()
    disk.full = False
    disk.writer.put("b")
    disk.reactor.threads.run_all()
    assert disk.failed == ["a"]
    assert disk.done == ["b"]


def test_later_items_are_written_after_a_callback_raises():
    disk = Disk()

    def done(items: list[str]) -> None:
        if items == ["a"]:
            raise RuntimeError("planted")
        disk.done.extend(items)

    disk.writer.on_written = done
    disk.writer.put("a")
    disk.writer.put("b")
    with failures_logged_by_twisted() as failures:
        disk.reactor.threads.run_all()
        gc.collect()
    assert disk.groups == [["a"], ["b"]]
    assert disk.done == ["b"]
    assert any("planted" in str(failure.value) for failure in failures)


@contextmanager
def failures_logged_by_twisted() -> Iterator[list[Failure]]:
    """Collect the unhandled failures that Twisted logs."""
    failures = list[Failure]()

    def observe(event: dict) -> None:
        if event.get("log_failure") is not None:
            failures.append(event["log_failure"])

    globalLogPublisher.addObserver(observe)
    try:
        yield failures
    finally:
        globalLogPublisher.removeObserver(observe)


def test_close_calls_back_after_the_last_write_or_at_once_when_idle():
    disk = Disk()
    ends = []
    disk.writer.put("a")
    disk.writer.put("b")
    disk.writer.close(lambda: ends.append(list(disk.done)))
    assert not ends
    disk.reactor.threads.run_all()
    assert ends == [["a", "b"]]
    idle_disk = Disk()
    idle_ends = []
    idle_disk.writer.close(lambda: idle_ends.append(True))
    assert idle_ends == [True]
