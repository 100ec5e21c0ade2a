"""Concurrency limits: adjusts the limit of each instance by additive increase, multiplicative decrease.

Durations are compared with the latency objective of the strictest method.
"""

from __future__ import annotations

from linenbridge.interface import Idempotency, Outcome, Startup
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import Attempt, Request

INITIAL_LIMIT = 3.0  # attempts in flight at one instance
MIN_LIMIT = 1.0  # attempts
MAX_LIMIT = 64.0  # attempts
MIN_UTILIZATION = 0.7  # fraction of the limit that has to be in use for the limit to grow
EARLY_FRACTION = 0.25  # of the latency objective; faster responses raise the limit
LATE_FRACTION = 0.4  # of the latency objective; slower responses reduce the limit
REDUCTION_FACTOR = 0.8


class ConcurrencyLimits:
    """The limit on the attempts that this gateway has in flight at each instance."""

    def __init__(self, startup: Startup, fleet: Fleet) -> None:
        self.fleet = fleet
        self.objective = min(method.latency_objective for method in startup.methods)  # microseconds
        # By method index; methods that are idempotent by key are included.
        self.is_idempotent = [method.idempotency != Idempotency.NON_IDEMPOTENT for method in startup.methods]

    def has_capacity(self, instance_index: int, method_index: int) -> bool:
        """Return whether the instance may get one more attempt.

        After an ejection, an instance gets a single attempt of a method that may be repeated until it
        responds.
        """
        fleet = self.fleet
        if fleet.consecutive_failures[instance_index]:
            return self.is_idempotent[method_index] and not fleet.in_flight[instance_index]
        return fleet.in_flight[instance_index] < fleet.concurrency_limit[instance_index]

    def on_attempt_finished(
        self, now: int, attempt: Attempt, outcome: Outcome, duration: int, request: Request
    ) -> None:
        """Adjust the instance's limit; attempts sent before its last reduction do not reduce it again."""
        fleet = self.fleet
        index = attempt.instance_index
        objective = self.objective * max(1.0, request.cost)
        limit = fleet.concurrency_limit[index]
        early = outcome == Outcome.OK and duration < EARLY_FRACTION * objective
        if early and fleet.in_flight[index] + 1 >= MIN_UTILIZATION * limit:
            fleet.concurrency_limit[index] = min(MAX_LIMIT, limit + 1 / limit)
            return
        late = outcome in (Outcome.OVERLOADED, Outcome.TIMED_OUT) or duration > LATE_FRACTION * objective
        if late and attempt.sent_at >= fleet.limit_reduced_at[index]:
            fleet.concurrency_limit[index] = max(MIN_LIMIT, limit * REDUCTION_FACTOR)
            fleet.limit_reduced_at[index] = now
