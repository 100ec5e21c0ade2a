"""The file of freezes: the windows read from it, and an error line with place and advice per fault."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import pytest

from linenbridge.configuration.read import ConfigurationError
from linenbridge.fleet.freezes.configuration import windows
from linenbridge.fleet.freezes.windows import Window

HEAD = '<freezes xmlns="urn:linenbridge:premises:1">\n'


def read_windows(tmp_path: Path, elements: str) -> tuple[Window, ...]:
    """Return the windows read from a file with these elements."""
    path = tmp_path / "freezes.xml"
    path.write_text(f"{HEAD}{elements}\n</freezes>")
    return windows(str(path))


def test_windows_are_read_with_their_recurrence_length_and_zones(tmp_path):
    found = read_windows(
        tmp_path,
        '<window name="move" kind="hold" from="2026-12-08T02:00" until="2026-12-08T04:30" in="Asia/Seoul" '
        'every="2 weeks"/>'
        '<window name="west" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC" zones="w1 w2"/>',
    )

    assert (found[0].every, found[0].unit, found[0].time_zone.key) == (2, "week", "Asia/Seoul")
    assert found[1].end - found[1].begin == timedelta(hours=1)
    assert found[1].zones == {"w1", "w2"}


@pytest.mark.parametrize(
    ("elements", "line"),
    [
        (
            '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="Mars"/>',
            ":2:1: unknown time zone 'Mars'; set `in`",
        ),
        (
            '<window name="a" kind="hold" from="2026-12-08T02:00" in="UTC"/>',
            "either `until` or `for`; write exactly one",
        ),
        (
            '<window name="a" kind="hold" from="2026-12-08T02:00" until="2026-12-08T01:00" in="UTC"/>',
            "ends at 2026-12-08T01:00:00, which is not after `from` (2026-12-08T02:00); correct",
        ),
        (
            '<window name="a" kind="hold" from="2026-13-08T02:00" for="1h" in="UTC"/>',
            ":2:1: month must be in 1..12",
        ),
        ('<window name="a" kind="stop" from="2026-12-08T02:00" for="1h" in="UTC"/>', "attribute 'kind'"),
        (
            2 * '<window name="a" kind="hold" from="2026-12-08T02:00" for="1h" in="UTC"/>',
            ":2:73: two windows are named a",
        ),
    ],
)
def test_an_invalid_window_is_rejected_with_its_place_and_advice(tmp_path, elements, line):
    with pytest.raises(ConfigurationError) as error:
        read_windows(tmp_path, elements)

    assert line in str(error.value)
