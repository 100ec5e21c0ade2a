"""Dispatch: queues requests and sends, rejects or fails each of them.

A request that finds no instance with capacity waits only until it can no longer meet its latency objective.
Each request gets its final response by its deadline.
"""

from __future__ import annotations

from collections.abc import Iterator

from linenbridge.decisions import Fail, Reject, SendAttempt
from linenbridge.interface import Outcome, Startup
from linenbridge.policy.exposure import ExposureLimits
from linenbridge.policy.load_balancing import LoadBalancer
from linenbridge.policy.load_shedding import LoadShedder
from linenbridge.policy.safety_rules import SafetyRules
from linenbridge.policy.slow_start import SlowStart
from linenbridge.policy.timing import FINAL_RESPONSE_MARGIN
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import Attempt, Request
from linenbridge.state.traffic import ResponseTimes

MAX_OVERLOADED_ATTEMPTS = 2  # rejections by overloaded instances after which a request is given up


def queue_sort_key(request: Request) -> tuple[float, int]:
    """Return the sort key of a queued request: the highest weight first, then the earliest arrival."""
    return -request.weight, request.arrived_at


class Dispatcher:
    """The queue of waiting requests. Every attempt, including hedged requests, is sent by `send`."""

    def __init__(
        self,
        startup: Startup,
        fleet: Fleet,
        safety: SafetyRules,
        exposure: ExposureLimits,
        slow_start: SlowStart,
        shedder: LoadShedder,
        balancer: LoadBalancer,
        response_times: ResponseTimes,
    ) -> None:
        self.max_attempts = startup.allowances.max_attempts
        self.fleet = fleet
        self.safety = safety
        self.exposure = exposure
        self.slow_start = slow_start
        self.shedder = shedder
        self.balancer = balancer
        self.response_times = response_times
        self._waiting: list[Request] = []

    def enqueue(self, request: Request) -> None:
        """Add a request that waits for its next attempt."""
        self._waiting.append(request)

    def decisions(self, now: int) -> Iterator[SendAttempt | Reject | Fail]:
        """Yield the decisions on the waiting requests, the highest weight first."""
        queue = [request for request in self._waiting if not request.ended]
        queue.sort(key=queue_sort_key)
        self._waiting = []
        saturated: set[int] = set()  # indices of methods for which no instance has capacity
        for request in queue:
            first = not request.attempts
            new = request.arrived_at == now
            late = now + self.response_times.mean[request.method_index] > request.latency_objective
            if first and not late and not new and request.method_index in saturated:
                self._waiting.append(request)
                continue
            if self._is_given_up(now, request, new):
                yield self.safety.final_response(now, request)
                continue
            if new:
                self.slow_start.admit(request.cost)
            selected = None
            if not first or request.method_index not in saturated:
                selected = self.balancer.select(now, request)
            if selected is not None:
                yield self.send(now, request, selected)
            elif late:
                yield self.safety.final_response(now, request)
            else:
                self._waiting.append(request)
                if first:
                    saturated.add(request.method_index)

    def _is_given_up(self, now: int, request: Request, new: bool) -> bool:
        """Return whether the request gets no further attempt.

        Its time or its attempts are used up, it is shed, or another attempt would not be safe.
        """
        if now >= request.deadline - FINAL_RESPONSE_MARGIN or len(request.attempts) >= self.max_attempts:
            return True
        if request.attempts and request.count(Outcome.OVERLOADED) >= MAX_OVERLOADED_ATTEMPTS:
            return True
        if new and self.shedder.sheds(now, request.weight):
            return True
        return not self.safety.may_attempt(now, request)

    def send(self, now: int, request: Request, instance_index: int) -> SendAttempt:
        """Return the decision to send an attempt to the instance, counted against every limit on it."""
        fleet = self.fleet
        build = fleet.build[instance_index]
        request.attempts.append(Attempt(instance_index, build, now))
        fleet.on_sent(instance_index, now)
        self.exposure.on_attempt_sent(build, request.method_index)
        self.slow_start.on_attempt_sent(now, instance_index, request.cost)
        return SendAttempt(request.id, fleet.ids[instance_index], max(1, request.deadline - now))
