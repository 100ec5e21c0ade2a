"""Conversion of instances' start times while the wall clock is stepped."""

from __future__ import annotations

import pytest

from linenbridge.net.start_times import StartTimes
from linenbridge.startup import LONG_AGO

SECOND = 1_000_000  # microseconds
HOUR = 3_600 * SECOND
UNIX_TIME_AT_START = 1_700_000_000 * SECOND


class Clocks:
    """A monotonic and a wall clock; `step` is what the wall clock has been stepped by, in microseconds."""

    def __init__(self) -> None:
        self.monotonic = 50 * SECOND
        self.step = 0

    def now(self) -> int:
        return self.monotonic

    def wall(self) -> int:
        return UNIX_TIME_AT_START + self.monotonic - 50 * SECOND + self.step


def since_ms(clocks: Clocks, ago: int, *, stepped: bool) -> float:
    """Return a start time that lies `ago` back by a wall clock that was stepped, or was not."""
    return (clocks.wall() - ago - (0 if stepped else clocks.step)) / 1000


@pytest.mark.parametrize("step", [-HOUR, -3 * SECOND, 0, 3 * SECOND, HOUR])
@pytest.mark.parametrize("stepped", [False, True])
def test_a_process_started_after_a_step_of_the_wall_clock_is_not_taken_for_an_older_one(step, stepped):
    clocks = Clocks()
    start_times = StartTimes(clocks.now, clocks.wall)
    clocks.monotonic += 9 * SECOND
    clocks.step = step
    started_at = start_times.convert("s-1", since_ms(clocks, SECOND, stepped=stepped))
    assert clocks.now() - SECOND <= started_at <= clocks.now()


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_known_process_keeps_its_start_time_when_the_wall_clock_is_stepped(step):
    clocks = Clocks()
    start_times = StartTimes(clocks.now, clocks.wall)
    listed = since_ms(clocks, 2 * SECOND, stepped=False)
    started_at = start_times.convert("s-1", listed)
    assert started_at == clocks.now() - 2 * SECOND
    clocks.monotonic += SECOND
    clocks.step = step
    start_times.retain({"s-1"})
    assert start_times.convert("s-1", listed) == started_at


def test_an_instance_without_a_start_time_has_been_running_for_long():
    clocks = Clocks()
    assert StartTimes(clocks.now, clocks.wall).convert("s-1", 0) == LONG_AGO
