"""Time windows as operators write them: local dates, lengths, recurrence, time zones.

Decides without I/O. A window is never shorter than written: if a clock change repeats or skips the hour in
which the window begins or ends, the window begins at the earlier of the two possible times and ends at the
later one. Only the time zone of the window matters, not that of the machine.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import NamedTuple
from zoneinfo import ZoneInfo

from dateutil.relativedelta import relativedelta

MAX_OCCURRENCES = 100_000  # examined per window
RELATIVEDELTA_ARGUMENTS = {"day": "days", "week": "weeks", "month": "months", "year": "years"}


@dataclass(frozen=True, slots=True)
class Window:
    """One window of the file.

    `begin` and `end` are naive local times in `time_zone`, of the first occurrence. `every` is the number of
    units (`unit`: day, week, month or year) from one occurrence to the next, 0 if there is only one. No
    occurrence begins after `last`. `zones` are the deployment's zones that the window applies to, all if
    empty.
    """

    name: str
    kind: str
    begin: datetime
    end: datetime
    time_zone: ZoneInfo
    zones: frozenset[str] = frozenset()
    every: int = 0
    unit: str = "day"
    last: datetime | None = None
    cancelled: bool = False


class Occurrence(NamedTuple):
    """One occurrence of a window, in Unix microseconds."""

    begin: int
    end: int


def unix_microseconds(local: datetime, time_zone: ZoneInfo, *, late: bool) -> int:
    """Return the Unix time of a local time, in microseconds.

    A local time that a clock change repeats or skips has two readings: the later one is returned if `late` is
    true, else the earlier one.
    """
    readings = [_timestamp_microseconds(local.replace(tzinfo=time_zone, fold=fold)) for fold in (0, 1)]
    return max(readings) if late else min(readings)


def _timestamp_microseconds(moment: datetime) -> int:
    return int(moment.timestamp()) * 1_000_000 + moment.microsecond


def occurrences(window: Window, after: int) -> Iterator[Occurrence]:
    """Yield all occurrences that end later than `after`, in order; `after` is in Unix microseconds.

    Each occurrence is computed from the first one by the calendar: one on the 31st falls on the last day of a
    shorter month, and on the 31st again in the next longer one.
    """
    if window.cancelled:
        return
    for number in range(MAX_OCCURRENCES if window.every else 1):
        shift = relativedelta(**{RELATIVEDELTA_ARGUMENTS[window.unit]: number * window.every})
        begin = window.begin + shift
        end = window.end + shift
        if window.last is not None and begin > window.last:
            return
        occurrence = Occurrence(
            unix_microseconds(begin, window.time_zone, late=False),
            unix_microseconds(end, window.time_zone, late=True),
        )
        if occurrence.end > after:
            yield occurrence
