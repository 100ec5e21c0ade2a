"""Windows of time as operators write them: local dates, lengths, recurrence, time zones.

Decides without I/O. A window is never shorter than it reads: where the clocks repeat or leave out the hour
that it begins or ends in, it begins by the earlier reading and ends by the later one. It must never take a
machine's own time zone for an operator's.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from zoneinfo import ZoneInfo

from dateutil.relativedelta import relativedelta

MOST = 100_000  # occurrences that are ever looked through
STEPS = {"day": "days", "week": "weeks", "month": "months", "year": "years"}


@dataclass(frozen=True, slots=True)
class Window:
    """`begin` and `end` are local and naive, of the first occurrence. `every` is how many of `step` until the
    next one, 0 for none; none begins after `last`. Where `zones` is empty it is everywhere."""

    name: str
    kind: str
    begin: datetime
    end: datetime
    zone: ZoneInfo
    zones: frozenset[str] = frozenset()
    every: int = 0
    step: str = "day"
    last: datetime | None = None
    cancelled: bool = False


def micros(local: datetime, zone: ZoneInfo, late: bool) -> int:
    """Unix time of a local one in microseconds. Where the clocks repeat it or leave it out it can be read
    in two ways: `late` takes the later one, else the earlier counts."""
    read = [_unix(local.replace(tzinfo=zone, fold=fold)) for fold in (0, 1)]
    return max(read) if late else min(read)


def _unix(moment: datetime) -> int:
    return int(moment.timestamp()) * 1_000_000 + moment.microsecond


def occurrences(window: Window, after: int) -> Iterator[tuple[int, int]]:
    """Begin and end in Unix microseconds of all that end after that time, in order. Each is reckoned from the
    first one by the calendar: the 31st of a month that has none is its last day, and the next is the 31st."""
    if window.cancelled:
        return
    for n in range(MOST if window.every else 1):
        shift = relativedelta(**{STEPS[window.step]: n * window.every})
        begin, end = window.begin + shift, window.end + shift
        if window.last is not None and begin > window.last:
            return
        found = micros(begin, window.zone, late=False), micros(end, window.zone, late=True)
        if found[1] > after:
            yield found
