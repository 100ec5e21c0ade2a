"""The rollout freezes of a process: windows by the wall clock, one timer, and the reported zones."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any
from zoneinfo import ZoneInfo

import pytest

from linenbridge.fleet.freezes.windows import Window
from linenbridge.fleet.hosting import freezes
from linenbridge.fleet.hosting.freezes import MAX_WAIT, RolloutFreezes
from tests.compatibility.fleet_fakes import log_rows

START = datetime(2026, 12, 8, 2)
START_MICROSECONDS = int(START.replace(tzinfo=UTC).timestamp()) * 1_000_000
Zones = frozenset[str] | None


@pytest.fixture
def reported_zones(reactor, monkeypatch) -> list[Zones]:
    """Return the list of reported zones, and make the wall clock follow the reactor's from `START` on."""
    monkeypatch.setattr(freezes, "wall_clock", lambda: START_MICROSECONDS + round(reactor.seconds() * 1e6))
    return []


def window(begin: float, end: float, **options: Any) -> Window:
    """Return a rollout freeze from `begin` to `end`, in seconds after the start."""
    first = START + timedelta(seconds=begin)
    last = START + timedelta(seconds=end)
    return Window("move", "hold", first, last, ZoneInfo("UTC"), **options)


def test_a_window_that_is_open_at_the_start_is_reported_at_once(reactor, log, reported_zones):
    RolloutFreezes((window(-60, 60),), reactor, log, reported_zones.append)

    assert reported_zones == [frozenset()]
    assert log_rows(log.stream.getvalue()) == [
        {"event": "rollout_freeze.opened", "window": "move", "seconds": 60}
    ]


def test_a_window_is_reported_when_it_begins_and_when_it_ends(reactor, log, reported_zones):
    RolloutFreezes((window(5, 8, zones=frozenset({"west"})),), reactor, log, reported_zones.append)
    assert reported_zones == []

    reactor.advance(5)
    assert reported_zones == [frozenset({"west"})]

    reactor.advance(3)
    assert reported_zones == [frozenset({"west"}), None]


def test_the_wall_clock_is_read_again_after_the_longest_wait(reactor, log, reported_zones):
    RolloutFreezes((window(3_600, 7_200),), reactor, log, reported_zones.append)

    (timer,) = reactor.getDelayedCalls()

    assert timer.getTime() == MAX_WAIT


def test_a_window_that_is_cancelled_by_a_newer_file_ends_at_once(reactor, log, reported_zones):
    rollout_freezes = RolloutFreezes((window(-60, 60),), reactor, log, reported_zones.append)

    rollout_freezes.update((window(-60, 60, cancelled=True),))

    assert reported_zones == [frozenset(), None]


def test_close_cancels_the_timer(reactor, log, reported_zones):
    rollout_freezes = RolloutFreezes((window(5, 8),), reactor, log, reported_zones.append)

    rollout_freezes.close()

    assert not reactor.getDelayedCalls()
