"""Files of rollout freezes result in the same windows and decisions as at commit 4d24a08.

`record_fleet_hosting.py` has written the record `data/freezes.json`.
"""

from __future__ import annotations

from datetime import UTC, datetime
from itertools import islice
from typing import Any

import pytest

from linenbridge.configuration.read import ConfigurationError
from linenbridge.fleet.freezes.configuration import windows
from linenbridge.fleet.freezes.schedule import FreezeSchedule, LogFreeze, SetFreeze
from linenbridge.fleet.freezes.windows import Window, occurrences

BEGIN = int(datetime(2026, 12, 8, 2, tzinfo=UTC).timestamp()) * 1_000_000
HOUR = 3_600_000_000
MAX_WAKES = 40
# Log events that have been renamed since the record was written, old -> new.
RENAMED = {
    "hold.open": "rollout_freeze.opened",
    "hold.over": "rollout_freeze.ended",
}
# Error messages that have been reworded since the record was written, old -> new.
REWORDED = {
    "no time zone 'Mars'; write one such as Asia/Seoul": (
        "unknown time zone 'Mars'; set `in` to a name such as Asia/Seoul"
    ),
    "no time zone '../etc'; write one such as Asia/Seoul": (
        "unknown time zone '../etc'; set `in` to a name such as Asia/Seoul"
    ),
    "it ends by `until` or lasts `for`, one of the two; write one": (
        "a window requires either `until` or `for`; write exactly one of the two"
    ),
    "it ends before it begins; mend `from` or `until`": (
        "the window ends at 2026-12-08T01:00:00, which is not after `from` (2026-12-08T02:00); "
        "correct one of the two"
    ),
    "month must be in 1..12; mend it": (
        "month must be in 1..12; correct the date in `from`, `until` or `last`"
    ),
}
REWORDED_LAST = {  # value of `last` by case: the present message has it, the recorded one does not
    "last alone": "2027-01-01T00:00",
    "last early": "2026-01-01T00:00",
}


def window_values(window: Window) -> dict[str, Any]:
    """Return a window in the format of the record."""
    return {
        "name": window.name,
        "kind": window.kind,
        "begin": window.begin.isoformat(),
        "end": window.end.isoformat(),
        "zone": window.time_zone.key,
        "zones": sorted(window.zones),
        "every": window.every,
        "step": window.unit,
        "last": None if window.last is None else window.last.isoformat(),
        "cancelled": window.cancelled,
    }


def decisions(found: tuple[Window, ...]) -> list[list[Any]]:
    """Return the recorded form of the decisions at each wake-up, from one hour before the first window."""
    now = BEGIN - HOUR
    core = FreezeSchedule(found, now)
    rows: list[list[Any]] = []
    for _ in range(MAX_WAKES):
        while (decision := core.next_decision(now)) is not None:
            match decision:
                case SetFreeze(zones):
                    rows.append([now, "hold", None if zones is None else sorted(zones)])
                case LogFreeze(event, fields):
                    rows.append([now, "log", event, fields])
        wake = core.wake_at()
        if wake is None:
            break
        now = max(now + 1, wake)
    return rows


def read_file(folder, text: str) -> tuple[tuple[Window, ...], str]:
    """Return the windows of a file with content `text`, or no window and the error."""
    path = folder / "freezes.xml"
    path.write_text(text)
    try:
        return windows(str(path)), ""
    except ConfigurationError as error:
        return (), str(error).replace(str(folder), "FOLDER")


def renamed(rows: list[list[Any]]) -> list[list[Any]]:
    """Return recorded decisions with the present names of events."""
    return [[RENAMED.get(value, value) if isinstance(value, str) else value for value in row] for row in rows]


def present_error(case: str, error: str) -> str:
    """Return a recorded error in its present wording."""
    for old, new in REWORDED.items():
        error = error.replace(old, new)
    return error.replace(
        "`last` is for windows that come again, and not before `from`; mend it",
        f"`last` ({REWORDED_LAST.get(case)}) requires `every` and must not be before `from`; "
        "correct `last`, or leave it out",
    )


def test_each_recorded_file_results_in_the_same_windows_or_the_same_error(record, tmp_path):
    rows = record("freezes")

    for row in rows:
        found, error = read_file(tmp_path, row["text"])
        assert error == present_error(row["case"], row["error"]), row["case"]
        assert [window_values(window) for window in found] == row["windows"], row["case"]

    assert len(rows) == 22
    assert sum(bool(row["error"]) for row in rows) == 12


def test_occurrences_and_decisions_of_each_recorded_file_are_the_same(record, tmp_path):
    rows = [row for row in record("freezes") if not row["error"]]

    for row in rows:
        found, _ = read_file(tmp_path, row["text"])
        times = [[list(pair) for pair in islice(occurrences(window, BEGIN), 6)] for window in found]
        assert times == row["occurrences"], row["case"]
        assert decisions(found) == renamed(row["decisions"]), row["case"]

    assert sum(len(row["decisions"]) for row in rows) > 100


def test_an_empty_path_results_in_no_windows():
    assert windows("") == ()


@pytest.mark.parametrize("name", ["none.xml"])
def test_the_error_for_a_missing_file_has_its_name(tmp_path, name):
    with pytest.raises(ConfigurationError, match=name):
        windows(str(tmp_path / name))
