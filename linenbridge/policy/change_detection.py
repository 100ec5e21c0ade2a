"""Change detection: raises alarms from cumulative sums over the outcomes of the latest build.

Source: "Bandwidth-Constrained Distributed Quickest Change Detection in Heterogeneous Sensor Networks" (Li and
Huang). docs/design.md describes the choice of the parameters.
"""

from __future__ import annotations

from math import ceil, inf, log, sqrt

from linenbridge.interface import SECOND, Startup
from linenbridge.policy.log_messages import LogMessages
from linenbridge.state.counters import BuildRecord, Counts
from linenbridge.state.cusum import BuildRecords, CumulativeSums
from linenbridge.state.fleet import Fleet
from linenbridge.state.rollout import RolloutState

# Failures: two sums test the baseline's failure rate p0 against p1 = p0 + step.
FAILURES = "failures"
FAILURE_BURST = "failure_burst"
FAILURE_STEP = 0.05  # failure rate
FAILURE_BURST_STEP = 0.15  # failure rate
MIN_BASELINE_RATE = 0.01
MAX_BASELINE_RATE = 0.8
BASELINE_PRIOR = 20  # outcomes at the minimum rate that a baseline starts with
# Without a ready earlier build, tallies are tested against the build's other methods, in separate sums.
OTHER_METHODS_SUFFIX = "_vs_other_methods"
MIN_OTHER_METHODS_RATE = 0.1
# Response times: one sum over the ratio of the response time to the baseline's mean.
LATENCY = "latency"
LATENCY_STEP = 1.0  # increase of the ratio to detect
LATENCY_VARIANCE = 2.0  # variance of the ratio
MAX_LATENCY_RATIO = 4.0
LATENCY_DIVERGENCE = 0.75  # nats
# Alarm thresholds.
MIN_THRESHOLD = 5.0  # nats
THRESHOLD_FACTOR = 10.0  # threshold per unit of divergence
CLEAR_FRACTION = 0.2  # fraction of its threshold at which an alarm clears
INSTANCE_CONTRIBUTION_FACTOR = 1.2  # of the threshold divided by the square root of the instance count
RECORD_MEMORY = 60  # outcomes; decay constant of the records
# Outcomes and time before a vote to promote; also the request rate below which a gateway has few outcomes.
MIN_PROMOTE_OUTCOMES = 20
PROMOTE_WAIT = 4 * SECOND  # microseconds


class ChangeDetector:
    """The cumulative sums of the latest build and the outcome records of every build."""

    def __init__(self, startup: Startup, rollout: RolloutState, fleet: Fleet, log: LogMessages) -> None:
        self.methods = startup.methods
        self.rollback_votes = startup.plan.rollback_votes
        self.rollout = rollout
        self.fleet = fleet
        self.log = log
        self.sums = CumulativeSums()
        self.records = BuildRecords(RECORD_MEMORY)
        self.outcomes = 0  # added to the sums
        self.shares_evidence = False  # whether the sums include outcomes of other gateways

    def restart(self) -> None:
        """Clear the sums for a new latest build."""
        self.outcomes = 0
        self.shares_evidence = False
        self.sums = CumulativeSums()

    def has_baseline(self, build: int) -> bool:
        """Return whether an earlier build has ready instances, or the build itself is an earlier one.

        Without ready instances of an earlier build, response times and time-outs do not show whether the
        latest build or a temporary condition of the whole service is the cause.
        """
        latest = self.rollout.latest_build
        return build < latest or min(self.fleet.ready_by_build, default=build) < latest

    def has_alarm(self) -> bool:
        """Return whether an alarm of any sum is raised."""
        return bool(self.sums.alarms)

    def add(
        self,
        build: int,
        method_index: int,
        counts: Counts,
        instance_index: int | None = None,
        max_increment: float = inf,
    ) -> None:
        """Add outcomes of a method at a build.

        Outcomes of a known instance are added one at a time with `instance_index`; totals from tallies and
        peers have none. `max_increment` limits the effect of a tally, because a single period is not enough
        evidence against a build. Response times are tested as well as failures, because a build that needs
        more work per request may not fail any.
        """
        latest = self.rollout.latest_build
        if build != latest and build not in self.fleet.build:
            return
        if build == latest and self.rollout.lowest_build < build:
            self.shares_evidence = self.shares_evidence or instance_index is None
            self.outcomes += counts.attempts
            baseline = self.records.baseline(method_index, build, self.rollout.withdrawn)
            has_baseline = self.has_baseline(build)
            self._add_failures(
                build, method_index, counts, instance_index, max_increment, baseline, has_baseline
            )
            if counts.timed and has_baseline and baseline and baseline.outcomes >= BASELINE_PRIOR:
                self._add_response_times(method_index, counts, instance_index, max_increment, baseline)
        self.records.add(build, method_index, counts)

    def _add_failures(
        self,
        build: int,
        method_index: int,
        counts: Counts,
        instance_index: int | None,
        max_increment: float,
        baseline: BuildRecord | None,
        has_baseline: bool,
    ) -> None:
        """Add log(p1 / p0) per failure and log((1 - p1) / (1 - p0)) per success to the sums of failures."""
        rate = MIN_BASELINE_RATE
        if baseline is not None:
            prior = MIN_BASELINE_RATE * BASELINE_PRIOR
            rate = (baseline.failed + prior) / (baseline.outcomes + BASELINE_PRIOR)
        suffix = ""
        if instance_index is None and not has_baseline:
            # Tallies count time-outs as errors. The lowest failure rate among the build's other methods shows
            # how much of it affects all methods alike.
            suffix = OTHER_METHODS_SUFFIX
            others = self.records.other_failure_rates(build, method_index)
            rate = max(rate, MIN_OTHER_METHODS_RATE, min(others, default=MAX_BASELINE_RATE))
        rate = min(max(MIN_BASELINE_RATE, rate), MAX_BASELINE_RATE)
        succeeded = counts.attempts - counts.failed
        for statistic, step in ((FAILURES, FAILURE_STEP), (FAILURE_BURST, FAILURE_BURST_STEP)):
            failure_increment = log((rate + step) / rate)
            success_increment = log((1 - rate - step) / (1 - rate))
            increment = counts.failed * failure_increment + succeeded * success_increment
            divergence = (rate + step) * failure_increment + (1 - rate - step) * success_increment
            key = (method_index, statistic + suffix)
            self._add_to_sum(key, min(increment, max_increment), divergence, instance_index, rate)

    def _add_response_times(
        self,
        method_index: int,
        counts: Counts,
        instance_index: int | None,
        max_increment: float,
        baseline: BuildRecord,
    ) -> None:
        """Add response times to their sum, as a ratio to the baseline's mean."""
        ratio = min(counts.total_time / counts.timed / (baseline.mean_time or inf), MAX_LATENCY_RATIO)
        increment = counts.timed * (ratio - 1 - LATENCY_STEP / 2) * LATENCY_STEP / LATENCY_VARIANCE
        key = (method_index, LATENCY)
        self._add_to_sum(key, min(increment, max_increment), LATENCY_DIVERGENCE, instance_index, ratio)

    def _add_to_sum(
        self,
        key: tuple[int, str],
        increment: float,
        divergence: float,
        instance_index: int | None,
        baseline: float,
    ) -> None:
        """Set W = max(0, W) + Z and raise an alarm if W exceeds max(5, divergence x factor).

        Gateways that share evidence raise their alarms at the same time, so a single gateway's threshold has
        to be as strict as all the votes that a rollback requires: it grows by the logarithm of their number.
        The contribution of each instance to W is limited, so that one faulty instance does not cause an
        alarm: about the square root of the number of the build's instances have to contribute.
        """
        threshold = max(MIN_THRESHOLD, THRESHOLD_FACTOR * divergence)
        if self.shares_evidence:
            threshold += log(max(1, self.rollback_votes))
        instance_count = 0
        if instance_index is not None:
            instance_count = len(self.fleet.ready_by_build.get(self.fleet.build[instance_index], ()))
        max_contribution = INSTANCE_CONTRIBUTION_FACTOR * threshold / max(1, ceil(sqrt(instance_count)))
        value = self.sums.add(key, increment, instance_index, max_contribution)
        self._update_alarm(key, value, threshold, baseline)

    def _update_alarm(self, key: tuple[int, str], value: float, threshold: float, baseline: float) -> None:
        """Raise and log the alarm above the threshold, clear and log it well below the threshold."""
        alarms = self.sums.alarms
        if key not in alarms:
            if value <= threshold:
                return
            alarms.add(key)
        elif value <= CLEAR_FRACTION * threshold:
            alarms.discard(key)
        else:
            return
        method = self.methods[key[0]].name
        self.log.alarm(
            raised=key in alarms,
            method=method,
            statistic=key[1],
            build=self.rollout.latest_build,
            value=value,
            threshold=threshold,
            baseline=baseline,
        )
