"""Hedging: repeats requests at another instance if theirs is suspected or their response was lost.

Only requests that may be repeated are hedged. A budget limits the attempts for lost responses.
"""

from __future__ import annotations

from collections.abc import Iterator

from linenbridge.decisions import CancelAttempt, SendAttempt
from linenbridge.interface import Idempotency, Startup
from linenbridge.policy.dispatch import Dispatcher
from linenbridge.policy.load_balancing import LoadBalancer
from linenbridge.policy.outlier_detection import OutlierDetector
from linenbridge.policy.safety_rules import SafetyRules
from linenbridge.state.counters import TokenBucket
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import OpenRequests, Request
from linenbridge.state.traffic import ResponseTimes, Traffic

LOST_AFTER = 4.0  # mean response times after which a response is lost if the instance has responded to others
BUDGET_SHARE = 0.1  # attempts that each admitted request adds to the budget
MAX_BUDGET = 5.0  # attempts


class Hedger:
    """The budget of attempts for lost responses, and the hedged or cancelled attempts of each sweep."""

    def __init__(
        self,
        startup: Startup,
        fleet: Fleet,
        requests: OpenRequests,
        traffic: Traffic,
        response_times: ResponseTimes,
        safety: SafetyRules,
        balancer: LoadBalancer,
        outliers: OutlierDetector,
        dispatcher: Dispatcher,
        sweep_period: int,
    ) -> None:
        allowances = startup.allowances
        self.max_attempts = allowances.max_attempts
        self.hedging_allowed = allowances.hedging_allowed
        self.cancel_allowed = allowances.cancel_allowed
        # By method index; methods that are idempotent by key are included.
        self.is_idempotent = [method.idempotency != Idempotency.NON_IDEMPOTENT for method in startup.methods]
        self.fleet = fleet
        self.requests = requests
        self.traffic = traffic
        self.response_times = response_times
        self.safety = safety
        self.balancer = balancer
        self.outliers = outliers
        self.dispatcher = dispatcher
        self.sweep_period = sweep_period  # microseconds
        self.budget = TokenBucket(MAX_BUDGET, 0, BUDGET_SHARE)

    def decisions(self, now: int) -> Iterator[SendAttempt | CancelAttempt]:
        """Eject silent instances, and hedge their requests and those whose response was lost.

        If hedging is not allowed but cancelling is, the attempt is cancelled and the request waits for its
        next one. Requests whose transport can do neither are left out.
        """
        budget = self.budget.refill(self.traffic.total)
        suspected = self.outliers.eject_silent(now)
        if not suspected and budget < 1.0:
            return
        for request in list(self.requests.values()):
            if request.ended or request.streaming or now > request.latency_objective:
                continue
            number = self._only_in_flight(request)
            if number is None or not self._may_repeat(request):
                continue
            attempt = request.attempts[number]
            lost = self.budget.tokens >= 1.0 and self._is_lost(request, number)
            if attempt.cancelled or not (lost or attempt.instance_index in suspected):
                continue
            if lost:
                self.budget.tokens -= 1.0
            if self.hedging_allowed:
                selected = (
                    self.balancer.select(now, request) if self.safety.may_attempt(now, request) else None
                )
                if selected is not None and selected != attempt.instance_index:
                    yield self.dispatcher.send(now, request, selected)
            elif self.cancel_allowed:
                attempt.cancelled = True
                yield CancelAttempt(request.id, number)

    def _only_in_flight(self, request: Request) -> int | None:
        """Return the number of the request's only attempt in flight; None if there are none or several."""
        found: int | None = None
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None:
                if found is not None:
                    return None
                found = number
        return found

    def _may_repeat(self, request: Request) -> bool:
        """Return whether the request has attempts left, and its method and transport allow a second one."""
        if not request.can_hedge:
            return False
        return self.is_idempotent[request.method_index] and len(request.attempts) < self.max_attempts

    def _is_lost(self, request: Request, number: int) -> bool:
        """Return whether the instance has responded to others long after the expected response time."""
        attempt = request.attempts[number]
        expected = max(
            self.sweep_period, self.response_times.mean[request.method_index] * max(1.0, request.cost)
        )
        return self.fleet.last_response_at[attempt.instance_index] > attempt.sent_at + LOST_AFTER * expected
