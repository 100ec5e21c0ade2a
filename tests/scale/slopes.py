"""The measured slopes: costs at several sizes with their fit, stored in docs/capacity/slopes.json.

The programs under `tests/scale/measure/` write their own rows to the file, which is not edited by hand. The
key of a row is its role, what it measures and its state, so that a program that runs again replaces its rows.
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

    `size` names the things that a size counts, `unit` is the unit of the cost. `state` is `now` for code that
    `run` uses, `before` for code that `run` used before a change, and `after` for tables that are off in
    `run`. `text` is whether the measured modules were compiled or interpreted.
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
        """The key by which `merge` replaces a row."""
        return self.role, self.what, self.state

    @property
    def largest(self) -> float:
        """The largest measured size; a figure beyond it is an extrapolation."""
        return max(size for size, _ in self.points)

    @property
    def line(self) -> str:
        """The slope as one line for a terminal."""
        points = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in self.points)
        return f"{self.role} | {self.what} | {self.unit} by {self.size} ({self.text}): {points}"


def slope(form: str, points: list[tuple[float, float]], **fields: str) -> Slope:
    """Return a slope with its fit; its costs are rounded to six significant digits."""
    rounded = tuple((float(size), float(f"{cost:.6g}")) for size, cost in points)
    return Slope(points=rounded, fit=fitted(form, rounded), **fields)


def load(path: Path = SLOPES) -> list[Slope]:
    """Return all rows of a file; none if the file does not exist."""
    return msgspec.json.decode(path.read_bytes(), type=list[Slope]) if path.exists() else []


def merge(rows: list[Slope], path: Path = SLOPES) -> None:
    """Write rows to a file in place of those with the same key, and print them; other rows stay."""
    merged = {row.key: row for row in load(path)}
    merged.update((row.key, row) for row in rows)
    ordered = sorted(merged.values(), key=lambda row: row.key)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(ordered), indent=1) + b"\n")
    for row in rows:
        print(row.line)


def record(rows: list[Slope]) -> None:
    """Write the rows of a measuring program to the file of slopes, as the last step of the program.

    The command line option `--state before` marks rows of an earlier version of the code, measured in a
    checkout of it; `--slopes FILE` writes the rows to another file.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--state", choices=STATES)
    parser.add_argument("--slopes", type=Path, default=SLOPES)
    arguments = parser.parse_args()
    if arguments.state is not None:
        rows = [msgspec.structs.replace(row, state=arguments.state) for row in rows]
    merge(rows, arguments.slopes)


if __name__ == "__main__":
    # `python -m tests.scale.slopes FILE` merges the rows of another file, such as one of another branch.
    merge(load(Path(sys.argv[1])))
