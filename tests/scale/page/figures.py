"""A figure, how it is known, and a row of the page.

A figure that rests on several others is known as badly as the worst of them. Units are plain: seconds,
bytes, bytes a second, a share of a core, a number, a number a second.
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
    """How a figure is known, from the best to the worst."""

    COUNTED = 0  # arithmetic on the stated size
    MEASURED = 1  # at a measured size
    BETWEEN = 2  # between two measured sizes
    EXTRAPOLATED = 3  # by the fit, beyond the measured sizes


KNOWN_LABELS = {
    Known.COUNTED: "counted",
    Known.MEASURED: "measured",
    Known.BETWEEN: "between measured sizes",
    Known.EXTRAPOLATED: "**extrapolated**",
}


class Figure(Struct, frozen=True):
    """A value in the unit of its row, and how it is known."""

    value: float
    known: Known = Known.COUNTED

    def __mul__(self, factor: float) -> Figure:
        return Figure(self.value * factor, self.known)

    def __add__(self, other: Figure) -> Figure:
        return Figure(self.value + other.value, max(self.known, other.known))


def times(figure: Figure | None, factor: float) -> Figure | None:
    """A figure times a factor; None if it has not been measured."""
    return None if figure is None else figure * factor


def total(first: Figure | None, second: Figure | None) -> Figure | None:
    """The sum of two figures; None if one of them has not been measured."""
    return None if first is None or second is None else first + second


class Row(Struct, frozen=True, kw_only=True):
    """One quantity of one role: on an ordinary second, at a burst, its budget, and the mechanism.

    A figure that is None has not been measured. `before` is the figure of the text before a change to what
    `run` uses, `after` that of the tables which are off in `run`; each stands beside the larger of the two.
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
        """The larger of the two figures; None where neither was measured."""
        found = [figure for figure in (self.ordinary, self.burst) if figure is not None]
        return max(found, key=lambda figure: figure.value, default=None)

    @property
    def factor(self) -> float | None:
        """The largest figure over its budget; None without a figure or a budget."""
        largest = self.largest
        return None if largest is None or not self.budget else largest.value / self.budget

    @property
    def known(self) -> str:
        """How the row's figures are known, in words."""
        found = [figure.known for figure in (self.ordinary, self.burst) if figure is not None]
        return KNOWN_LABELS[max(found)] if found else "**not measured**"


class Versions(TypedDict):
    """The figures beside a row's own, by the names of Row."""

    before: Figure | None
    after: Figure | None


class Costs:
    """The measured costs, looked up by role and what they measure."""

    def __init__(self, slopes: list[Slope]) -> None:
        self.by_key = {slope.key: slope for slope in slopes}

    def at(self, role: str, what: str, size: float, state: str = "now") -> Figure | None:
        """The cost at a size in the slope's own unit; None where nobody measured it."""
        slope = self.by_key.get((role, what, state))
        return None if slope is None else cost_at(slope, size)

    def scaled(self, role: str, what: str, size: float, factor: float, state: str = "now") -> Figure | None:
        """The cost at a size times a factor, such as a rate or a change of unit."""
        return times(self.at(role, what, size, state), factor)

    def versions(self, role: str, what: str, size: float, factor: float = 1.0) -> Versions:
        """The same cost of the text before a change, and of the tables that are off in `run`."""
        return Versions(
            before=self.scaled(role, what, size, factor, "before"),
            after=self.scaled(role, what, size, factor, "after"),
        )


def cost_at(slope: Slope, size: float) -> Figure:
    """A measured point as it is, a size between two points on the line between them in logarithms, and a
    size outside of them by the fit."""
    points = sorted(slope.points)
    for measured, cost in points:
        if measured == size:
            return Figure(cost, Known.MEASURED)
    for (low, low_cost), (high, high_cost) in zip(points, points[1:], strict=False):
        if low < size < high:
            return Figure(_between(size, low, low_cost, high, high_cost), Known.BETWEEN)
    return Figure(slope.fit.at(size), Known.EXTRAPOLATED)


def _between(size: float, low: float, low_cost: float, high: float, high_cost: float) -> float:
    if min(low, low_cost, high_cost) <= 0.0:
        return low_cost + (high_cost - low_cost) * (size - low) / (high - low)
    part = log(size / low) / log(high / low)
    return exp(log(low_cost) + part * log(high_cost / low_cost))
