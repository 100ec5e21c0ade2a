"""Periods and weights that several components share."""

from __future__ import annotations

from linenbridge.interface import Method

SWEEP_PERIOD = 50_000  # microseconds; maximum between two checks for silent instances and overdue requests
SWEEPS_PER_OBJECTIVE = 15  # minimum number of sweeps within the strictest latency objective
FINAL_RESPONSE_MARGIN = 12_000  # microseconds before its deadline when a request gets its final response
RESPONSE_WEIGHT = 0.05  # weight of a new value in mean response times, loads and work
INITIAL_RESPONSE_TIME_FRACTION = 0.25  # of the latency objective; assumed before the first response


def sweep_period(methods: tuple[Method, ...]) -> int:
    """Return the time in microseconds between two sweeps while requests are open.

    It is short enough for the strictest latency objective.
    """
    strictest = min(method.latency_objective for method in methods)
    return min(SWEEP_PERIOD, strictest // SWEEPS_PER_OBJECTIVE)
