"""Windows of time as operators write them: local dates, lengths, recurrence, time zones.

Decides without I/O. A window is never shorter than it reads: where the clocks repeat or skip the hour that
it begins or ends in, it begins by the earlier reading and ends by the later one. Only the time zone of the
window counts, not that of the machine.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import NamedTuple
from zoneinfo import ZoneInfo

from dateutil.relativedelta import relativedelta

MAX_OCCURRENCES = 100_000  # of one window that are looked through
CALENDAR_ARGUMENTS = {"day": "days", "week": "weeks", "month": "months", "year": "years"}


@dataclass(frozen=True, slots=True)
class Window:
    """`begin` and `end` are local and naive, of the first occurrence, in `time_zone`.

    `every` is how many of `unit` (day, week, month, year) are between two occurrences, 0 if there is only
    one; none begins after `last`. `zones` are the deployment's zones that it concerns, all if empty.
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
    """Unix time of a local time. Where the clocks repeat or skip it there are two readings: `late` takes the
    later one, else the earlier counts."""
    readings = [_unix(local.replace(tzinfo=time_zone, fold=fold)) for fold in (0, 1)]
    return max(readings) if late else min(readings)


def _unix(moment: datetime) -> int:
    return int(moment.timestamp()) * 1_000_000 + moment.microsecond


def occurrences(window: Window, after: int) -> Iterator[Occurrence]:
    """All occurrences that end after that Unix time in microseconds, in order.

    Each is reckoned from the first one by the calendar: the 31st of a month that has none is its last day,
    and the next is the 31st again.
    """
    if window.cancelled:
        return
    for number in range(MAX_OCCURRENCES if window.every else 1):
        shift = relativedelta(**{CALENDAR_ARGUMENTS[window.unit]: number * window.every})
        begin = window.begin + shift
        end = window.end + shift
        if window.last is not None and begin > window.last:
            return
        found = Occurrence(
            unix_microseconds(begin, window.time_zone, late=False),
            unix_microseconds(end, window.time_zone, late=True),
        )
        if found.end > after:
            yield found
