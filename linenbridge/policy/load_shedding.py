"""Load shedding: rejects a share of the new requests immediately; the share grows with each late response.

While requests are shed, only responses well within the latency objective lower the share.
"""

from __future__ import annotations

from collections import deque
from random import Random

from linenbridge.interface import Outcome, Startup
from linenbridge.policy.change_detection import MIN_PROMOTE_OUTCOMES, PROMOTE_WAIT
from linenbridge.policy.concurrency_limits import MIN_LIMIT
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import Attempt, Request
from linenbridge.state.traffic import ResponseTimes, Traffic

LEVEL_STEP_UP = 0.15  # added to the level for each late response
LEVEL_STEP_DOWN = 0.015  # subtracted from the level for each timely response, times their number in a row
MAX_STREAK = 8  # timely responses in a row that count
MIN_SHEDDING_LEVEL = 0.3  # level up to which no request is shed
MAX_SHARE = 0.95  # maximum share of the new requests that is shed
OBJECTIVE_FRACTION = 0.75  # of the latency objective; responses within it are timely while requests are shed
WEIGHT_WINDOW = 30  # latest requests, among which a new request is ranked by weight
RANK_OFFSET = 1.5  # the share is multiplied by this minus the rank: the lowest weights are shed first


class LoadShedder:
    """The level of load shedding, 0.0 to 1.0, and the random rejection of requests by this level.

    Load shedding is active if concurrency limits alone do not keep queues short: at gateways with few
    requests, which do not reach their limits, and where the minimum limits of all gateways, one request each,
    already cause queues longer than a latency objective.
    """

    def __init__(
        self, startup: Startup, fleet: Fleet, traffic: Traffic, response_times: ResponseTimes, random: Random
    ) -> None:
        self.objectives = [float(method.latency_objective) for method in startup.methods]
        self.gateways = startup.allowances.gateway_count
        self.fleet = fleet
        self.traffic = traffic
        self.response_times = response_times
        self.random = random
        self.level = 0.0
        self._streak = 0
        self._weights: deque[float] = deque([0.0], maxlen=WEIGHT_WINDOW)

    def sheds(self, now: int, weight: float) -> bool:
        """Return whether to reject a new request, at random; requests of low weight are rejected first."""
        if not self._is_active(now):
            return False
        lower_count = 0
        for other in self._weights:
            lower_count += other < weight
        rank = lower_count / len(self._weights)
        self._weights.append(weight)
        share = min(
            MAX_SHARE, (self.level - MIN_SHEDDING_LEVEL) / (1 - MIN_SHEDDING_LEVEL) * (RANK_OFFSET - rank)
        )
        if share <= 0.0 or self.random.random() >= share:
            return False
        # A shed request lowers the level too: if nearly all of few requests are shed, there are too few
        # responses to lower the level.
        self.level -= LEVEL_STEP_DOWN
        return True

    def _is_active(self, now: int) -> bool:
        """Return whether concurrency limits alone do not keep queues short."""
        if self.traffic.is_below(MIN_PROMOTE_OUTCOMES, PROMOTE_WAIT, now):
            return True
        queue = 0.0
        for method_index, objective in enumerate(self.objectives):
            queue = max(queue, self.response_times.lowest[method_index] / objective)
        return self.gateways * MIN_LIMIT * queue > 1.0

    def on_attempt_finished(self, now: int, attempt: Attempt, outcome: Outcome, request: Request) -> None:
        """Count the outcome of an attempt as timely, as late, or not at all.

        A time-out at an instance that has sent no response since the attempt indicates a fault of the
        instance rather than load, and is not counted: a pause of an instance would cause shedding otherwise.
        If all instances are silent at once, only rejections and late responses raise the level.
        """
        overloaded = outcome == Outcome.OVERLOADED
        succeeded = outcome == Outcome.OK
        late = overloaded or outcome == Outcome.TIMED_OUT
        if succeeded:
            fraction = OBJECTIVE_FRACTION if self.level > MIN_SHEDDING_LEVEL else 1.0
            late = now > request.arrived_at + self.objectives[request.method_index] * fraction
        if succeeded or overloaded or (late and not self._is_silent(attempt)):
            self.add_response(late=late)

    def _is_silent(self, attempt: Attempt) -> bool:
        return self.fleet.is_silent_since(attempt.instance_index, attempt.sent_at)

    def add_response(self, *, late: bool) -> None:
        """Adjust the level by one response.

        Each further timely response in a row counts more, so that the level falls soon after the load does.
        """
        if late:
            self._streak = 0
            change = LEVEL_STEP_UP
        else:
            self._streak = min(self._streak + 1, MAX_STREAK)
            change = -LEVEL_STEP_DOWN * self._streak
        self.level = min(1.0, max(0.0, self.level + change))
