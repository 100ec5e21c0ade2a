"""Periods and weights that several components share."""

from __future__ import annotations

from linenbridge.interface import Method

SWEEP_PERIOD = 50_000  # microseconds at most between two looks at silent instances and overdue requests
SWEEPS_PER_OBJECTIVE = 15  # in the strictest latency objective at least
FINAL_RESPONSE_MARGIN = 12_000  # microseconds before its deadline by which a request gets its final answer
RESPONSE_WEIGHT = 0.05  # of a new value in the mean response times, loads and work
INITIAL_RESPONSE_TIME_FRACTION = 0.25  # of a method's latency objective


def sweep_period(methods: tuple[Method, ...]) -> int:
    """Microseconds between two sweeps while requests are open: short enough for the strictest objective."""
    strictest = min(method.latency_objective for method in methods)
    return min(SWEEP_PERIOD, strictest // SWEEPS_PER_OBJECTIVE)
