"""Figures with their certainty, rows of the page, and costs at a size.

A figure that is computed from several others has the certainty of the least certain. Units are seconds,
bytes, bytes per second, shares of a core, counts and counts per second.
"""

from __future__ import annotations

from enum import IntEnum
from math import exp, log
from typing import TypedDict

from msgspec import Struct

from tests.scale.slopes import Slope


MICROSECOND = 1e-6  # seconds
MILLISECOND = 1e-3  # seconds


class Known(IntEnum):
    """How a figure was obtained, from the most to the least certain."""

    COUNTED = 0  # computed from the stated size
    MEASURED = 1  # measured at exactly this size
    BETWEEN = 2  # interpolated between two measured sizes
    EXTRAPOLATED = 3  # computed by the fit, outside the measured sizes


KNOWN_LABELS = {
    Known.COUNTED: "counted",
    Known.MEASURED: "measured",
    Known.BETWEEN: "between measured sizes",
    Known.EXTRAPOLATED: "**extrapolated**",
}


class Figure(Struct, frozen=True):
    """A value in the unit of its row, and how it was obtained."""

    value: float
    known: Known = Known.COUNTED

    def __mul__(self, factor: float) -> Figure:
        return Figure(self.value * factor, self.known)

    def __add__(self, other: Figure) -> Figure:
        return Figure(self.value + other.value, max(self.known, other.known))


def times(figure: Figure | None, factor: float) -> Figure | None:
    """Return a figure times a factor, or None if the figure has not been measured."""
    return None if figure is None else figure * factor


def total(first: Figure | None, second: Figure | None) -> Figure | None:
    """Return the sum of two figures, or None if one of them has not been measured."""
    return None if first is None or second is None else first + second


class Row(Struct, frozen=True, kw_only=True):
    """One quantity of one role: its figures in an ordinary second and in a burst, budget and mechanism.

    A figure that is None has not been measured. `before` is the figure before a change to the code that `run`
    uses, and `after` is the figure of the tables that are off in `run`. The comparison shows them beside the
    larger of `ordinary` and `burst`.
    """

    role: str
    what: str
    unit: str
    mechanism: str
    ordinary: Figure | None
    burst: Figure | None = None
    burst_is: str = ""
    budget: float | None = None
    before: Figure | None = None
    after: Figure | None = None

    @property
    def largest(self) -> Figure | None:
        """The larger of `ordinary` and `burst`, or None if neither was measured."""
        found = [figure for figure in (self.ordinary, self.burst) if figure is not None]
        return max(found, key=lambda figure: figure.value, default=None)

    @property
    def factor(self) -> float | None:
        """The largest figure divided by the budget, or None without a figure or a budget."""
        largest = self.largest
        return None if largest is None or not self.budget else largest.value / self.budget

    @property
    def known(self) -> str:
        """The label of the least certain of the row's figures."""
        found = [figure.known for figure in (self.ordinary, self.burst) if figure is not None]
        return KNOWN_LABELS[max(found)] if found else "**not measured**"


class Versions(TypedDict):
    """The `before` and `after` fields of a Row."""

    before: Figure | None
    after: Figure | None


class Costs:
    """The measured costs, by role, measured quantity and state."""

    def __init__(self, slopes: list[Slope]) -> None:
        self.by_key = {slope.key: slope for slope in slopes}

    def at(self, role: str, what: str, size: float, state: str = "now") -> Figure | None:
        """Return the cost at a size in the unit of the slope, or None if it has not been measured."""
        slope = self.by_key.get((role, what, state))
        return None if slope is None else cost_at(slope, size)

    def scaled(self, role: str, what: str, size: float, factor: float, state: str = "now") -> Figure | None:
        """Return the cost at a size times a factor, such as a rate or a conversion of units."""
        return times(self.at(role, what, size, state), factor)

    def versions(self, role: str, what: str, size: float, factor: float = 1.0) -> Versions:
        """Return the cost before a change to the code that `run` uses, and that of tables off in `run`."""
        return Versions(
            before=self.scaled(role, what, size, factor, "before"),
            after=self.scaled(role, what, size, factor, "after"),
        )


def cost_at(slope: Slope, size: float) -> Figure:
    """Return the cost at a size.

    A measured point is returned unchanged. Between two points the cost is interpolated linearly in
    logarithms, and outside the measured sizes it is computed by the fit.
    """
    points = sorted(slope.points)
    for measured, cost in points:
        if measured == size:
            return Figure(cost, Known.MEASURED)
    for (low, low_cost), (high, high_cost) in zip(points, points[1:], strict=False):
        if low < size < high:
            return Figure(_between(size, low, low_cost, high, high_cost), Known.BETWEEN)
    return Figure(slope.fit.at(size), Known.EXTRAPOLATED)


def _between(size: float, low: float, low_cost: float, high: float, high_cost: float) -> float:
    """Interpolate in logarithms, or linearly if a value is not positive."""
    if min(low, low_cost, high_cost) <= 0.0:
        return low_cost + (high_cost - low_cost) * (size - low) / (high - low)
    part = log(size / low) / log(high / low)
    return exp(log(low_cost) + part * log(high_cost / low_cost))
