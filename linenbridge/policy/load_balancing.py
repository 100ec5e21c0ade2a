"""Load balancing: selects a build, then the less loaded of two random instances of the build.

The build is drawn by the size of its instances. The two instances are drawn from this gateway's subset of
them. Only instances that the safety rules, exposure limits and slow start allow are selected.
"""

from __future__ import annotations

from math import ceil
from random import Random

from linenbridge.interface import SECOND, Startup
from linenbridge.policy.concurrency_limits import ConcurrencyLimits
from linenbridge.policy.exposure import ExposureLimits
from linenbridge.policy.outlier_detection import MAX_FAILURE_RATE, OutlierDetector
from linenbridge.policy.safety_rules import SafetyRules
from linenbridge.policy.slow_start import SlowStart
from linenbridge.state.counters import DecayingRate
from linenbridge.state.fleet import Fleet, draw, draw_two
from linenbridge.state.requests import Request
from linenbridge.state.rollout import KeyAffinity, RolloutState

USES_PER_IDLE_TIMEOUT = (
    3.0  # requests to each instance of the subset within the idle timeout of its connection
)
MIN_SUBSET = 3  # instances
RATE_TIME_CONSTANT = 3 * SECOND  # microseconds; of the request rate
LOAD_REPORT_TIME_CONSTANT = 1 * SECOND  # microseconds; of the load that other gateways cause
MIN_SUCCESS_RATE = 0.05  # lower bound in the load score


class LoadBalancer:
    """Selects the instance of each attempt."""

    def __init__(
        self,
        startup: Startup,
        fleet: Fleet,
        rollout: RolloutState,
        affinity: KeyAffinity,
        safety: SafetyRules,
        exposure: ExposureLimits,
        slow_start: SlowStart,
        limits: ConcurrencyLimits,
        outliers: OutlierDetector,
        random: Random,
    ) -> None:
        self.connection_idle_timeout = startup.allowances.idle_timeout  # microseconds
        self.slow_start_duration = startup.allowances.slow_start_duration  # microseconds
        self.fleet = fleet
        self.rollout = rollout
        self.affinity = affinity
        self.safety = safety
        self.exposure = exposure
        self.slow_start = slow_start
        self.limits = limits
        self.outliers = outliers
        self.random = random
        self.request_rate = DecayingRate(RATE_TIME_CONSTANT)

    def on_request(self, now: int) -> None:
        """Count a request: the size of the subset depends on the request rate."""
        self.request_rate.add(now, 1.0)

    def select(self, now: int, request: Request) -> int | None:
        """Return the index of the instance for the next attempt, or None if no instance has capacity.

        The preferred build is that of an instance drawn by size. If this instance is in slow start and has no
        allowance, the other build is preferred to other instances of the same build. Retries prefer the
        earlier build.
        """
        fleet = self.fleet
        min_build = self.affinity.min_build(request.key)
        builds = [
            build
            for build in fleet.ready_by_build
            if build >= min_build and self.exposure.allows(build, request.method_index)
        ]
        if not builds:
            return None
        drawn = draw(self.random, fleet.ready, fleet.cumulative_sizes)
        has_allowance = self.slow_start.has_allowance(now, drawn)
        if len(builds) > 1:
            if request.attempts:
                latest = self.rollout.latest_build
                earlier = [build for build in builds if build != latest]
                builds = earlier + [build for build in builds if build == latest]
            else:
                drawn_build = fleet.build[drawn]
                first = [build for build in builds if (build == drawn_build) == has_allowance]
                builds = first + [build for build in builds if (build == drawn_build) != has_allowance]
        any_healthy = self._has_healthy(builds, now)
        for build in builds:
            instance_index = self._select_from(now, request, build, any_healthy)
            if instance_index is not None:
                return instance_index
        return None

    def _has_healthy(self, builds: list[int], now: int) -> bool:
        for build in builds:
            for instance_index in self.fleet.ready_by_build[build]:
                if self.outliers.is_healthy(instance_index, now):
                    return True
        return False

    def _subset_size(self, now: int, build: int) -> int:
        """Return how many instances of the build get enough requests to keep their connections open."""
        fleet = self.fleet
        uses = (
            self.request_rate.per_second(now) * self.connection_idle_timeout / SECOND / USES_PER_IDLE_TIMEOUT
        )
        return ceil(max(MIN_SUBSET, uses * len(fleet.ready_by_build[build]) / len(fleet.ready)))

    def _select_from(self, now: int, request: Request, build: int, any_healthy: bool) -> int | None:
        """Return the less loaded of two candidates drawn by size, or None if there is no candidate.

        The candidates are the first instances of the build in this gateway's order, as many as its subset
        has. Unhealthy and full instances are skipped, and the next ones take their places.
        """
        fleet = self.fleet
        subset_size = self._subset_size(now, build)
        ejected_until = fleet.ejected_until
        failure_rate = fleet.failure_rate
        warm_before = now - self.slow_start_duration
        is_retry = bool(request.attempts)
        candidates = list[int]()
        # The cheapest conditions come first, because many instances are checked per request.
        for index in fleet.ready_by_build[build]:
            healthy = ejected_until[index] <= now and failure_rate[index] < MAX_FAILURE_RATE
            if not healthy and any_healthy and not self.outliers.is_healthy(index, now):
                continue
            if not self.limits.has_capacity(index, request.method_index):
                continue
            if is_retry and not self.safety.is_repeat_safe_at(request, index):
                continue
            if fleet.started_at[index] <= warm_before or self.slow_start.has_allowance(now, index):
                candidates.append(index)
            if len(candidates) >= subset_size:
                break
        if is_retry:
            tried = {attempt.instance_index for attempt in request.attempts}
            candidates = [index for index in candidates if index not in tried] or candidates
        if not candidates:
            return None
        first, second = draw_two(self.random, candidates, [fleet.size[index] for index in candidates])
        return first if self._load_score(first, now) <= self._load_score(second, now) else second

    def _load_score(self, instance_index: int, now: int) -> float:
        """Return the load per unit of size.

        Failures raise the score, so that an instance that fails quickly does not appear to be idle.
        """
        fleet = self.fleet
        success_rate = max(MIN_SUCCESS_RATE, 1 - self.outliers.failure_rate(instance_index, now))
        load = fleet.in_flight[instance_index] + fleet.expected_external_load(
            instance_index, now, LOAD_REPORT_TIME_CONSTANT
        )
        return (load + 1) / (fleet.size[instance_index] * success_rate * success_rate)
