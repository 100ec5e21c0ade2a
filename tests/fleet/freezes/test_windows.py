"""Occurrences of windows: recurrence, both changes of daylight saving time, no occurrence too short."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from itertools import islice
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linenbridge.fleet.freezes.windows import Window, occurrences

SEOUL, BERLIN, SYDNEY = ZoneInfo("Asia/Seoul"), ZoneInfo("Europe/Berlin"), ZoneInfo("Australia/Sydney")


def window(begin: str, end: str, zone: ZoneInfo = SEOUL, **options) -> Window:
    return Window("w", "hold", datetime.fromisoformat(begin), datetime.fromisoformat(end), zone, **options)


def utc_times(found: list[tuple[int, int]]) -> list[tuple[str, str]]:
    return [
        tuple(datetime.fromtimestamp(at / 1e6, UTC).strftime("%m-%dT%H:%M") for at in row) for row in found
    ]


def test_a_window_every_two_weeks_recurs_every_14_days():
    recurring = window("2026-12-08T02:00", "2026-12-08T04:30", every=2, unit="week")
    assert utc_times(list(islice(occurrences(recurring, 0), 3))) == [
        ("12-07T17:00", "12-07T19:30"),
        ("12-21T17:00", "12-21T19:30"),
        ("01-04T17:00", "01-04T19:30"),
    ]


def test_occurrences_include_those_that_have_begun_and_omit_those_that_have_ended():
    recurring = window(
        "2026-12-08T02:00", "2026-12-08T04:30", every=1, unit="day", last=datetime(2026, 12, 9, 2)
    )
    (first, end), second = occurrences(recurring, 0)

    assert next(occurrences(recurring, first + 1)) == (first, end)
    assert next(occurrences(recurring, end)) == second
    assert not list(occurrences(recurring, second.end))


def test_a_cancelled_window_has_no_occurrence():
    assert not list(occurrences(window("2026-12-08T02:00", "2026-12-08T03:00", cancelled=True), 0))


@pytest.mark.parametrize(
    ("begin", "end", "utc"),
    [
        # The clocks go from 02:00 to 03:00 on 28 March, and from 03:00 to 02:00 on 31 October.
        ("2027-03-28T01:30", "2027-03-28T03:30", ("03-28T00:30", "03-28T01:30")),
        ("2027-03-28T02:30", "2027-03-28T04:00", ("03-28T00:30", "03-28T02:00")),
        ("2027-03-28T01:00", "2027-03-28T02:30", ("03-28T00:00", "03-28T01:30")),
        ("2027-10-31T02:30", "2027-10-31T04:00", ("10-31T00:30", "10-31T03:00")),
        ("2027-10-31T01:00", "2027-10-31T02:30", ("10-30T23:00", "10-31T01:30")),
        ("2027-10-31T02:15", "2027-10-31T02:45", ("10-31T00:15", "10-31T01:45")),
    ],
)
def test_a_window_covers_hours_that_daylight_saving_time_skips_or_repeats(begin, end, utc):
    assert utc_times(list(occurrences(window(begin, end, BERLIN), 0))) == [utc]


def test_a_monthly_window_on_the_31st_is_clipped_in_short_months_only():
    monthly = window("2027-01-31T10:00", "2027-01-31T11:00", every=1, unit="month")
    assert [row[0][:5] for row in utc_times(list(islice(occurrences(monthly, 0), 4)))] == [
        "01-31",
        "02-28",
        "03-31",
        "04-30",
    ]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.datetimes(datetime(2026, 1, 1), datetime(2029, 1, 1)),
    st.integers(1, 10_000),
    st.sampled_from((SEOUL, BERLIN, SYDNEY)),
)
def test_an_instant_whose_local_time_is_in_the_window_is_in_its_occurrence(begin, minutes, zone):
    """An instant is in a window if its local time in the window's zone is within begin and end."""
    begin = begin.replace(second=0, microsecond=0)
    end = begin + timedelta(minutes=minutes)
    ((first, last),) = occurrences(Window("w", "hold", begin, end, zone), 0)
    first_instant = datetime.fromtimestamp(first / 1e6, UTC)
    for offset in (-61, -31, -1, 0, 1, 29, 59, 61, minutes - 61, minutes - 1, minutes + 1, minutes + 59):
        instant = first_instant + timedelta(minutes=offset)
        local = instant.astimezone(zone).replace(tzinfo=None)
        if begin <= local < end:
            assert first <= instant.timestamp() * 1e6 < last
