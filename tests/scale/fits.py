"""Fits of a cost as a function of a size: least squares of the relative error, over one or two terms.

A form is named after its terms: `cost = sum(coefficient * term(size))`. The fit minimises the relative error
because the sizes of one slope differ by orders of magnitude. Coefficients have the unit of the cost.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import log2

from msgspec import Struct

Points = Sequence[tuple[float, float]]

DIGITS = 6  # significant digits of a written coefficient

FORMS: dict[str, tuple[Callable[[float], float], ...]] = {
    "constant": (lambda size: 1.0,),
    "proportional": (lambda size: size,),
    "linear": (lambda size: 1.0, lambda size: size),
    "n log n": (lambda size: 1.0, lambda size: size * log2(size + 1)),
    "quadratic": (lambda size: size, lambda size: size * size),
}


class Fit(Struct, frozen=True):
    """A fitted cost: its form, its coefficients, and the largest relative error at a measured point."""

    form: str
    coefficients: tuple[float, ...]
    worst_error: float

    def at(self, size: float) -> float:
        """Return the cost at a size, in the unit of the slope."""
        terms = FORMS[self.form]
        return sum(
            coefficient * term(size) for coefficient, term in zip(self.coefficients, terms, strict=True)
        )


def fitted(form: str, points: Points) -> Fit:
    """Return the fit of a form to the points.

    Costs are never negative: if a coefficient would be, the best fit with one term replaces the fit.
    """
    terms = FORMS[form]
    coefficients = _least_squares(terms, points)
    if min(coefficients) < 0.0:
        coefficients = _best_single_term(terms, points)
    rounded = tuple(float(f"{coefficient:.{DIGITS}g}") for coefficient in coefficients)
    return Fit(form, rounded, _worst_error(Fit(form, rounded, 0.0), points))


def _worst_error(fit: Fit, points: Points) -> float:
    worst = max(abs(fit.at(size) / cost - 1.0) if cost else 0.0 for size, cost in points)
    return round(worst, 3)


def _weights(points: Points) -> list[float]:
    return [1.0 / (cost * cost) if cost else 1.0 for _, cost in points]


def _least_squares(terms: tuple[Callable[[float], float], ...], points: Points) -> tuple[float, ...]:
    """Solve the normal equations for one or two terms, each point weighted by 1 / cost squared."""
    weights = _weights(points)
    if len(terms) == 1:
        return (_single_term(terms[0], points, weights),)
    first, second = terms
    weighed = list(zip(weights, points, strict=True))
    first_first = sum(weight * first(size) ** 2 for weight, (size, _) in weighed)
    first_second = sum(weight * first(size) * second(size) for weight, (size, _) in weighed)
    second_second = sum(weight * second(size) ** 2 for weight, (size, _) in weighed)
    first_cost = sum(weight * first(size) * cost for weight, (size, cost) in weighed)
    second_cost = sum(weight * second(size) * cost for weight, (size, cost) in weighed)
    determinant = first_first * second_second - first_second * first_second
    return (
        (first_cost * second_second - second_cost * first_second) / determinant,
        (second_cost * first_first - first_cost * first_second) / determinant,
    )


def _single_term(term: Callable[[float], float], points: Points, weights: list[float]) -> float:
    weighed = list(zip(weights, points, strict=True))
    product = sum(weight * term(size) * cost for weight, (size, cost) in weighed)
    return product / sum(weight * term(size) ** 2 for weight, (size, _) in weighed)


def _best_single_term(terms: tuple[Callable[[float], float], ...], points: Points) -> tuple[float, ...]:
    """Return the coefficients of the one-term fit with the least sum of squared relative errors."""
    weights = _weights(points)
    best: tuple[float, tuple[float, ...]] | None = None
    for chosen, term in enumerate(terms):
        coefficient = _single_term(term, points, weights)
        errors = sum(
            weight * (coefficient * term(size) - cost) ** 2
            for weight, (size, cost) in zip(weights, points, strict=True)
        )
        coefficients = tuple(coefficient if number == chosen else 0.0 for number in range(len(terms)))
        if best is None or errors < best[0]:
            best = errors, coefficients
    assert best is not None
    return best[1]
