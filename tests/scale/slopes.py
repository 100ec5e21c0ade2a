"""The measured slopes: costs at several sizes with their fit, kept in docs/capacity/slopes.json.

The programs under `tests/scale/measure/` write their own rows here; nobody edits the file by hand. A row
is known by its role, what it measures and its text, so that a program that runs again replaces its rows.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import msgspec
from msgspec import Struct

from tests.scale.fits import Fit, fitted

STATES = ("before", "now", "after")
SLOPES = Path(__file__).parents[2] / "docs" / "capacity" / "slopes.json"


class Slope(Struct, frozen=True, kw_only=True):
    """One cost at several sizes.

    `size` names what a size counts, `unit` is the unit of the cost. `state` is `now` for what `run` uses,
    `before` for what it used before a change, and `after` for tables that are off in `run`. `text` says
    whether the measured modules were compiled.
    """

    role: str
    what: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]
    fit: Fit
    measured_by: str
    text: str
    state: str = "now"
    note: str = ""

    @property
    def key(self) -> tuple[str, str, str]:
        """What a row is known by."""
        return self.role, self.what, self.state

    @property
    def largest(self) -> float:
        """The largest size that was measured; beyond it a figure is an extrapolation."""
        return max(size for size, _ in self.points)

    @property
    def line(self) -> str:
        """The slope on one line."""
        points = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in self.points)
        return f"{self.role} | {self.what} | {self.unit} by {self.size} ({self.text}): {points}"


def slope(form: str, points: list[tuple[float, float]], **fields: str) -> Slope:
    """A slope with its fit; costs are kept with six significant digits."""
    rounded = tuple((float(size), float(f"{cost:.6g}")) for size, cost in points)
    return Slope(points=rounded, fit=fitted(form, rounded), **fields)


def load(path: Path = SLOPES) -> list[Slope]:
    """All rows, none where the file is not there."""
    return msgspec.json.decode(path.read_bytes(), type=list[Slope]) if path.exists() else []


def merge(rows: list[Slope], path: Path = SLOPES) -> None:
    """Puts the rows in the place of those with the same key; others stay."""
    merged = {row.key: row for row in load(path)}
    merged.update((row.key, row) for row in rows)
    ordered = sorted(merged.values(), key=lambda row: row.key)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(ordered), indent=1) + b"\n")
    for row in rows:
        print(row.line)


def record(rows: list[Slope]) -> None:
    """The end of each measuring program: its rows go to the file of slopes, or where the command line says.

    `--state before` marks rows of an earlier text, measured in a checkout of it; `--slopes FILE` is another
    file.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--state", choices=STATES)
    parser.add_argument("--slopes", type=Path, default=SLOPES)
    arguments = parser.parse_args()
    if arguments.state is not None:
        rows = [msgspec.structs.replace(row, state=arguments.state) for row in rows]
    merge(rows, arguments.slopes)


if __name__ == "__main__":
    # `python -m tests.scale.slopes FILE`: the rows of another file, as of another branch, into this one.
    merge(load(Path(sys.argv[1])))
