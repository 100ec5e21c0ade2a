"""Outlier detection by accrual: ejects instances whose silence far exceeds their mean response gap.

The ejection time grows with each consecutive failure. Ejected instances stay in the fleet: only the endpoint
list removes an instance.
"""

from __future__ import annotations

from collections.abc import Mapping

from linenbridge.interface import SECOND, Outcome
from linenbridge.policy.log_messages import LogMessages
from linenbridge.policy.timing import RESPONSE_WEIGHT
from linenbridge.state.fleet import Fleet

SUSPICION_GAPS = 8.0  # mean response gaps of silence after which an instance is suspected
INITIAL_GAP = 8  # sweep periods; mean response gap of an instance without a response yet
GAP_WEIGHT = 0.1  # weight of a new response gap in the mean
BASE_EJECTION = 10  # sweep periods; the first ejection, doubled with each consecutive failure
MAX_EJECTION = 80  # sweep periods
MAX_CONSECUTIVE_FAILURES = 8  # further ones are not counted
LOGGED_FAILURES = 3  # consecutive failures at which an ejection is logged
FAILURE_WEIGHT = 0.15  # weight of a new response in the failure rate
FAILURE_RATE_TIME_CONSTANT = 5 * SECOND  # microseconds
MAX_FAILURE_RATE = 0.5  # of a healthy instance


class OutlierDetector:
    """Ejections and failure rates of the instances.

    `sweep_period` (microseconds) is the unit of the initial response gap and of ejection times.
    """

    def __init__(self, fleet: Fleet, sweep_period: int, log: LogMessages) -> None:
        self.fleet = fleet
        self.sweep_period = sweep_period
        self.log = log
        self.initial_gap = float(INITIAL_GAP * sweep_period)  # microseconds

    def on_attempt_finished(
        self, now: int, instance_index: int, outcome: Outcome, load: Mapping[str, float]
    ) -> None:
        """Record the outcome of an attempt, and the load report if the instance sent one."""
        fleet = self.fleet
        fleet.on_finished(instance_index)
        if load:
            in_flight = load.get("in_flight", load.get("waiting"))
            if in_flight is not None:
                fleet.on_load_report(instance_index, now, in_flight, RESPONSE_WEIGHT)
        if outcome == Outcome.OK:
            self._on_response(now, instance_index, 0)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT):
            self._eject(now, instance_index)
        elif outcome in (Outcome.ERROR, Outcome.OVERLOADED, Outcome.MALFORMED_RESPONSE):
            # Rejections count as failures: an instance that drains before the endpoint list shows it rejects
            # every request immediately and would appear to be idle.
            self._on_response(now, instance_index, 1)

    def _on_response(self, now: int, instance_index: int, failed: int) -> None:
        fleet = self.fleet
        fleet.on_response(instance_index, now, GAP_WEIGHT)
        fleet.failure_rate[instance_index] += (failed - fleet.failure_rate[instance_index]) * FAILURE_WEIGHT

    def _eject(self, now: int, instance_index: int) -> None:
        """Eject an instance unless it is ejected already."""
        fleet = self.fleet
        if now < fleet.ejected_until[instance_index]:
            return
        failures = fleet.consecutive_failures[instance_index]
        fleet.ejected_until[instance_index] = (
            now + min(BASE_EJECTION << failures, MAX_EJECTION) * self.sweep_period
        )
        failures = min(failures + 1, MAX_CONSECUTIVE_FAILURES)
        fleet.consecutive_failures[instance_index] = failures
        if failures == LOGGED_FAILURES:
            gap = fleet.mean_response_gap[instance_index]
            self.log.eject(fleet.ids[instance_index], gap, fleet.in_flight[instance_index])

    def eject_silent(self, now: int) -> set[int]:
        """Eject the instances that have been silent too long for their attempts in flight.

        Return the indices of the instances ejected.
        """
        fleet = self.fleet
        suspected = set[int]()
        for instance_index, in_flight in enumerate(fleet.in_flight):
            if not in_flight or now < fleet.ejected_until[instance_index]:
                continue
            gap = fleet.mean_response_gap[instance_index] / fleet.concurrency(instance_index, in_flight)
            if fleet.silence(instance_index, now) > SUSPICION_GAPS * max(gap, self.sweep_period):
                self._eject(now, instance_index)
                suspected.add(instance_index)
        return suspected

    def is_healthy(self, instance_index: int, now: int) -> bool:
        """Return whether the instance is not ejected and most of its recent responses succeeded."""
        fleet = self.fleet
        return (
            fleet.ejected_until[instance_index] <= now
            and fleet.recent_failure_rate(instance_index, now, FAILURE_RATE_TIME_CONSTANT) < MAX_FAILURE_RATE
        )

    def failure_rate(self, instance_index: int, now: int) -> float:
        """Return the share of the instance's recent responses that failed, 0.0 to 1.0."""
        return self.fleet.recent_failure_rate(instance_index, now, FAILURE_RATE_TIME_CONSTANT)
