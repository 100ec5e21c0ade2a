"""The zones frozen at a time: windows that open, overlap and end, and that newer windows replace."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any
from zoneinfo import ZoneInfo

from linenbridge.fleet.freezes.schedule import FreezeSchedule, LogFreeze, SetFreeze
from linenbridge.fleet.freezes.windows import Window

SECOND = 1_000_000  # microseconds
MINUTE = 60 * SECOND
START = datetime(2026, 12, 8, 2)
NOW = int(START.replace(tzinfo=UTC).timestamp()) * SECOND


def rollout_freeze(name: str, begin: int, end: int, *zones: str, **options: Any) -> Window:
    """Return a window from `begin` to `end`, in minutes after the start."""
    first = START + timedelta(minutes=begin)
    last = START + timedelta(minutes=end)
    return Window(name, "hold", first, last, ZoneInfo("UTC"), frozenset(zones), **options)


def due_decisions(schedule: FreezeSchedule, now: int) -> list[frozenset[str] | str | None]:
    """Return all decisions due: the frozen zones as they are, log lines as event and window."""
    found: list[frozenset[str] | str | None] = []
    while (decision := schedule.next_decision(now)) is not None:
        match decision:
            case SetFreeze(zones):
                found.append(zones)
            case LogFreeze(event, fields):
                found.append(f"{event} {fields['window']}")
    return found


def test_overlapping_freezes_open_and_end_at_their_times():
    windows = (
        rollout_freeze("a", 10, 30, "west"),
        rollout_freeze("b", 20, 40, "east"),
        rollout_freeze("c", 25, 26),
    )

    schedule = FreezeSchedule(windows, NOW)

    assert due_decisions(schedule, NOW) == []
    assert schedule.wake_at() == NOW + 10 * MINUTE
    assert due_decisions(schedule, NOW + 10 * MINUTE) == ["rollout_freeze.opened a", frozenset({"west"})]
    assert due_decisions(schedule, NOW + 20 * MINUTE) == [
        "rollout_freeze.opened b",
        frozenset({"west", "east"}),
    ]
    assert due_decisions(schedule, NOW + 25 * MINUTE) == ["rollout_freeze.opened c", frozenset()]
    assert due_decisions(schedule, NOW + 26 * MINUTE) == [
        "rollout_freeze.ended c",
        frozenset({"west", "east"}),
    ]
    assert due_decisions(schedule, NOW + 45 * MINUTE) == [
        "rollout_freeze.ended a",
        "rollout_freeze.ended b",
        None,
    ]
    assert schedule.wake_at() is None


def test_an_open_window_is_extended_and_then_cancelled_by_newer_windows():
    schedule = FreezeSchedule((rollout_freeze("a", -30, 10),), NOW)
    assert due_decisions(schedule, NOW) == ["rollout_freeze.opened a", frozenset()]

    schedule.on_windows(NOW + MINUTE, (rollout_freeze("a", -30, 60),))

    assert due_decisions(schedule, NOW + MINUTE) == []
    assert due_decisions(schedule, NOW + 10 * MINUTE) == []

    schedule.on_windows(NOW + 20 * MINUTE, (rollout_freeze("a", -30, 60, cancelled=True),))

    assert due_decisions(schedule, NOW + 20 * MINUTE) == ["rollout_freeze.ended a", None]
