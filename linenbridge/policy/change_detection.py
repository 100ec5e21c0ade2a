"""Change detection: cumulative sums over outcomes at the build under judgement, and when they alarm.

Decides without I/O. Source: "Bandwidth-Constrained Distributed Quickest Change Detection in Heterogeneous
Sensor Networks" (Li and Huang); docs/design.md lists what was chosen by measurement.
"""

from __future__ import annotations

from math import ceil, inf, log, sqrt

from linenbridge.interface import SECOND, Startup
from linenbridge.policy.log_messages import LogMessages
from linenbridge.state.counters import BuildRecord, Counts
from linenbridge.state.cusum import BuildRecords, CumulativeSums
from linenbridge.state.fleet import Fleet
from linenbridge.state.rollout import RolloutState

# Failures: two sums, for failure rates p1 = p0 + step.
FAILURES = "failures"
FAILURE_BURST = "failure_burst"
FAILURE_STEP = 0.05  # rate
FAILURE_BURST_STEP = 0.15  # rate
MIN_BASELINE_RATE = 0.01
MAX_BASELINE_RATE = 0.8
BASELINE_PRIOR = 20  # outcomes with which the baseline rate starts, at its minimum
# Tallies without an earlier build: the build's other methods are the baseline, in sums of their own.
OTHER_METHODS_SUFFIX = "_vs_other_methods"
MIN_OTHER_METHODS_RATE = 0.1
# Response times: a sum over their ratio to the baseline's mean.
LATENCY = "latency"
LATENCY_STEP = 1.0  # of the ratio
LATENCY_VARIANCE = 2.0  # variance of the ratio
MAX_LATENCY_RATIO = 4.0
LATENCY_DIVERGENCE = 0.75  # nats
# Levels.
MIN_THRESHOLD = 5.0  # nats
THRESHOLD_FACTOR = 10.0  # of the divergence
CLEAR_FRACTION = 0.2  # of its threshold at which an alarm clears
INSTANCE_CONTRIBUTION_FACTOR = 1.2  # of the threshold, over the square root of the number of instances
RECORD_MEMORY = 60  # outcomes
# When a vote to promote may be cast; also what counts as few outcomes.
MIN_PROMOTE_OUTCOMES = 20
PROMOTE_WAIT = 4 * SECOND  # microseconds


class ChangeDetector:
    """The sums of the build under judgement and the records of every build."""

    def __init__(self, startup: Startup, rollout: RolloutState, fleet: Fleet, log: LogMessages) -> None:
        self.methods = startup.methods
        self.rollback_votes = startup.plan.rollback_votes
        self.rollout = rollout
        self.fleet = fleet
        self.log = log
        self.sums = CumulativeSums()
        self.records = BuildRecords(RECORD_MEMORY)
        self.outcomes = 0  # that the sums have taken
        self.shares_evidence = False  # with other gateways: the sums hold their outcomes too

    def restart(self) -> None:
        """A later build begins with empty sums."""
        self.outcomes = 0
        self.shares_evidence = False
        self.sums = CumulativeSums()

    def has_baseline(self, build: int) -> bool:
        """Whether an earlier instance is ready: only then do response times and time-outs tell the build's
        faults from those of the hour.
        """
        latest = self.rollout.latest_build
        return build < latest or min(self.fleet.ready_by_build, default=build) < latest

    def has_alarm(self) -> bool:
        """Whether a sum is above its threshold, or has not cleared since."""
        return bool(self.sums.alarms)

    def add(
        self,
        build: int,
        method_index: int,
        counts: Counts,
        instance_index: int | None = None,
        max_increment: float = inf,
    ) -> None:
        """Add outcomes: own ones one by one with their instance, those of other gateways in one.

        A tally limits the increment: one moment is no evidence against a build. Response times count beside
        failures: a build that needs more work fails nothing.
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
        """Add to the sums of failures: log(p1 / p0) for each, log((1 - p1) / (1 - p0)) for each success."""
        rate = MIN_BASELINE_RATE
        if baseline is not None:
            prior = MIN_BASELINE_RATE * BASELINE_PRIOR
            rate = (baseline.failed + prior) / (baseline.outcomes + BASELINE_PRIOR)
        suffix = ""
        if instance_index is None and not has_baseline:
            # Tallies count time-outs as errors: the build's best other method shows what hits all.
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
        """Add to the sum of response times, in units of the baseline's mean."""
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
        """W = max(0, W) + Z, with an alarm above max(5, divergence x factor).

        Gateways that share evidence raise their alarms together: their level is that of all the votes needed
        to roll back. One faulty instance is not the build: its contribution to W is limited, so that an alarm
        needs about the square root of the number of the build's instances.
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
        """Raise the alarm above the threshold, clear it well below; both are logged."""
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
