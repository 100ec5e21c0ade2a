"""Rule 5: the share of requests that a build on trial may get.

A token bucket per build keeps the attempts in any time window within the cap. A rollout freeze lowers the
cap.
"""

from __future__ import annotations

from math import inf

from linenbridge.interface import Idempotency, RolloutPhase, Startup
from linenbridge.policy.rollout_freeze import RolloutFreeze
from linenbridge.state.counters import TokenBucket
from linenbridge.state.rollout import RolloutState
from linenbridge.state.traffic import Traffic

CAP_FRACTION = 0.9  # fraction of the cap that is used; the rest is reserved for retries and late updates
NO_CAP = inf
ALL_METHODS = -1  # in place of a method index, for a bucket that all methods share


class ExposureLimits:
    """The caps in effect, and a token bucket per build, or per build and method if caps are per method."""

    def __init__(
        self, startup: Startup, rollout: RolloutState, freeze: RolloutFreeze, traffic: Traffic
    ) -> None:
        self.plan = startup.plan
        self.methods = startup.methods
        self.rollout = rollout
        self.freeze = freeze
        self.traffic = traffic
        self._buckets: dict[tuple[int, int], TokenBucket] = {}

    def allows(self, build: int, method_index: int) -> bool:
        """Return whether one more attempt of the method may be sent to the build now."""
        cap = self._cap(build)
        if cap == NO_CAP:
            return True
        if cap <= 0.0:
            return False
        is_closed = self._stage(build) < self.plan.closed_stages
        if is_closed and self.methods[method_index].idempotency != Idempotency.IDEMPOTENT:
            return False
        return self._bucket(build, method_index, cap).tokens >= 1.0

    def on_attempt_sent(self, build: int, method_index: int) -> None:
        """Take one token from the build's bucket if the build has a cap."""
        cap = self._cap(build)
        if cap != NO_CAP:
            self._bucket(build, method_index, cap).tokens -= 1.0

    def on_caps_changed(self) -> None:
        """Refill each bucket at the rate in effect until now, then set the rate of its new cap."""
        for (build, row), bucket in self._buckets.items():
            bucket.refill(self._admitted(row))
            bucket.share = self._tokens_per_request(self._cap(build))

    def _cap(self, build: int) -> float:
        """Return the cap of a build, lowered by a rollout freeze that covers the build."""
        cap = self._reported_cap(build)
        if cap == NO_CAP or not self.freeze.covers(build):
            return cap
        return self.freeze.limit(build, cap)

    def _reported_cap(self, build: int) -> float:
        """Return the last reported cap of a build, or the first stage's cap for a build not reported yet."""
        if self._is_unreported(build):
            return self.plan.caps[0]
        rollout = self.rollout
        if build < rollout.build or rollout.build < 0 or rollout.phase == RolloutPhase.RELEASED:
            return NO_CAP
        return rollout.cap

    def _stage(self, build: int) -> int:
        """Return the stage of a build that has a cap."""
        return 0 if self._is_unreported(build) else self.rollout.stage

    def _is_unreported(self, build: int) -> bool:
        """Return whether the endpoint list contains the build before any rollout update reports it."""
        reported = self.rollout.build
        return build > reported if reported >= 0 else build > self.rollout.lowest_build

    def _tokens_per_request(self, cap: float) -> float:
        """Return the tokens that one request adds to a bucket.

        A full cap is used without a reserve, because no instance of an earlier build may be left to take the
        remaining requests.
        """
        return 1.0 if cap >= 1.0 else CAP_FRACTION * cap

    def _bucket(self, build: int, method_index: int, cap: float) -> TokenBucket:
        """Return the bucket of a build with a cap, refilled up to now."""
        row = method_index if self.plan.per_method else ALL_METHODS
        admitted = self._admitted(row)
        bucket = self._buckets.get((build, row))
        if bucket is None:
            bucket = TokenBucket(self.plan.burst_attempts, admitted, self._tokens_per_request(cap))
            self._buckets[build, row] = bucket
        bucket.refill(admitted)
        return bucket

    def _admitted(self, row: int) -> int:
        return self.traffic.total if row == ALL_METHODS else self.traffic.by_method[row]
