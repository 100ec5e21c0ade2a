"""The stop of a process: parts stop beside each other, and none keeps the process beyond the time limit."""

from __future__ import annotations

import io
import json

import pytest
from twisted.internet.testing import MemoryReactorClock

from linenbridge.logging.event_log import Log
from linenbridge.process.shutdown import Shutdown

TIME_LIMIT = 2.5  # seconds


class Parts:
    """The parts of a process; a test ends the stop of each by its name."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.lines = io.BytesIO()
        self.shutdown = Shutdown(self.reactor, Log(self.lines), TIME_LIMIT)
        self.stopped: dict[str, object] = {}

    def add(self, *names: str) -> None:
        """Add parts that take their time to stop."""
        for name in names:
            self.shutdown.add(name, lambda stopped, name=name: self.stopped.setdefault(name, stopped))

    def has_ended(self) -> bool:
        """Return whether the reactor was stopped."""
        return self.reactor.hasStopped

    def events(self) -> list[dict]:
        """Return the log lines."""
        return [json.loads(line) for line in self.lines.getvalue().splitlines()]


@pytest.fixture
def parts() -> Parts:
    return Parts()


def test_all_parts_begin_to_stop_at_once_and_the_process_ends_with_the_last(parts):
    """Guards against a part that serves on while another one waits."""
    parts.add("fleet", "resp")
    parts.shutdown.begin()
    assert parts.stopped.keys() == {"fleet", "resp"}
    parts.stopped["resp"]()
    assert not parts.has_ended()
    parts.stopped["fleet"]()
    assert parts.has_ended()
    parts.reactor.advance(TIME_LIMIT)
    assert parts.events() == []


def test_a_part_that_does_not_stop_keeps_the_process_no_longer_than_the_time_limit(parts):
    parts.add("fleet", "resp")
    parts.shutdown.begin()
    parts.stopped["resp"]()
    parts.reactor.advance(TIME_LIMIT - 0.01)
    assert not parts.has_ended()
    parts.reactor.advance(0.01)
    assert parts.has_ended()
    (line,) = parts.events()
    assert (line["event"], line["parts"]) == ("stop.timed_out", ["fleet"])


def test_a_part_whose_stop_fails_does_not_keep_the_others_from_stopping(parts):
    def fail(_: object) -> None:
        raise OSError("the disk is full")

    parts.shutdown.add("view", fail)
    parts.add("resp")
    parts.shutdown.begin()
    parts.stopped["resp"]()
    assert parts.has_ended()
    assert parts.events()[0]["event"] == "failed"


def test_a_second_signal_does_not_stop_the_parts_again(parts):
    parts.add("resp")
    parts.shutdown.begin()
    first = parts.stopped.pop("resp")
    parts.shutdown.begin()
    assert parts.stopped == {}
    first()
    assert parts.has_ended()
