"""Evidence: selects the outcomes that count for or against a build.

The sources are this gateway's attempts, the platform's tallies and flags, and the counts of peers. Outcomes
of other gateways are used only if this gateway has too few of its own. No outcome is counted twice.
"""

from __future__ import annotations

from linenbridge.interface import Id, Outcome, Startup
from linenbridge.policy.change_detection import (
    MIN_PROMOTE_OUTCOMES,
    MIN_THRESHOLD,
    PROMOTE_WAIT,
    ChangeDetector,
)
from linenbridge.policy.gossip import GossipExchange
from linenbridge.policy.slow_start import SlowStart
from linenbridge.state.counters import Counts
from linenbridge.state.fleet import Fleet
from linenbridge.state.requests import Attempt
from linenbridge.state.traffic import Traffic

STALE_TALLY_PERIODS = 4  # without a tally, after which local outcomes count again
NEVER = -(1 << 60)  # microseconds; before any time of a host's clock


class EvidenceCollector:
    """Passes outcomes to the change detector, and local outcomes also to the gossip exchange."""

    def __init__(
        self,
        startup: Startup,
        fleet: Fleet,
        traffic: Traffic,
        slow_start: SlowStart,
        detector: ChangeDetector,
        gossip: GossipExchange,
    ) -> None:
        self.method_indices = {method.name: index for index, method in enumerate(startup.methods)}
        self.tally_period = startup.plan.tally_period  # microseconds
        self.fleet = fleet
        self.traffic = traffic
        self.slow_start = slow_start
        self.detector = detector
        self.gossip = gossip
        self.last_tally_at = NEVER

    def has_few_outcomes(self, now: int) -> bool:
        """Return whether this gateway gets too few requests for the outcomes that a vote to promote needs."""
        return self.traffic.is_below(MIN_PROMOTE_OUTCOMES, PROMOTE_WAIT, now)

    def on_attempt_finished(
        self, now: int, attempt: Attempt, outcome: Outcome, duration: int, method_index: int
    ) -> None:
        """Count a local outcome if it shows that the build executed the request.

        A lost connection, or a time-out at an instance that sent no response since the attempt, indicates a
        fault of the instance, not of the build. Response times of instances in slow start are not counted,
        because they depend on the warm-up.
        """
        succeeded = outcome == Outcome.OK
        if not succeeded and outcome != Outcome.ERROR:
            silent = self.fleet.is_silent_since(attempt.instance_index, attempt.sent_at)
            if outcome != Outcome.TIMED_OUT or silent or not self.detector.has_baseline(attempt.build):
                return
        timed = (
            succeeded and self.slow_start.capacity_fraction(attempt.instance_index, attempt.sent_at) >= 1.0
        )
        counts = Counts(1, 0 if succeeded else 1, 1 if timed else 0, duration if timed else 0)
        self.gossip.add_local(attempt.build, method_index, counts)
        # Without a baseline build, tallies can only be compared with the build's other methods, so local
        # outcomes are counted in addition to them.
        if (
            not self.has_few_outcomes(now)
            or now > self.last_tally_at + STALE_TALLY_PERIODS * self.tally_period
            or not self.detector.has_baseline(attempt.build)
        ):
            self.detector.add(attempt.build, method_index, counts, attempt.instance_index)

    def on_tally(
        self, now: int, build: int, method: str, attempts: int, failed: int, mean_time: int, ended_at: int
    ) -> None:
        """Add the platform's counts of a period if this gateway has few outcomes of its own.

        The counts include this gateway's outcomes and replace them. The mean response time is divided by the
        expected slowdown of the build's instances that were in slow start.
        """
        method_index = self.method_indices.get(method)
        if method_index is None or not 0 <= failed <= attempts or not self.has_few_outcomes(now):
            return
        self.last_tally_at = now
        sent_at = ended_at - self.tally_period // 2
        fractions = [
            self.slow_start.capacity_fraction(index, sent_at)
            for index in self.fleet.ready_by_build.get(build, ())
            if self.fleet.started_at[index] < sent_at
        ]
        slowdown = sum(1 / fraction for fraction in fractions) / len(fractions) if fractions else 1.0
        succeeded = attempts - failed
        counts = Counts(attempts, failed, succeeded, round(succeeded * mean_time / slowdown))
        self.detector.add(build, method_index, counts, None, MIN_THRESHOLD)

    def on_flag(self, instance: Id, method: str, sent_at: int) -> None:
        """Count a reported failure of an attempt that was sent at `sent_at`.

        An instance that has started since then may run another build, so the report is ignored.
        """
        instance_index = self.fleet.index.get(instance)
        if instance_index is not None and self.fleet.started_at[instance_index] <= sent_at:
            build = self.fleet.build[instance_index]
            self.detector.add(build, self.method_indices[method], Counts(1, 1, 0, 0), instance_index)

    def on_gossip(self, now: int, peer: int, payload: bytes) -> None:
        """Add the outcomes that a peer has counted, if this gateway has few outcomes of its own."""
        for build, method_index, counts in self.gossip.received(peer, payload):
            if self.has_few_outcomes(now):
                self.detector.add(build, method_index, counts)
