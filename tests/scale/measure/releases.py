"""Processor time to evaluate one outcome in release decisions, by the instances of the build on trial."""

from __future__ import annotations

from linenbridge.policy import DecisionModule, dispatch
from linenbridge.interface import RolloutPhase
from linenbridge.state.counters import Counts

from tests.helpers import entry, startup
from tests.scale.measure.costs import execution_mode, processor_time
from tests.scale.slopes import Slope, record, slope

ROLE = "gateway: release decisions"
MEASURED_BY = "tests.scale.measure.releases"
SIZES = (20, 200, 2_000)
EARLIER_BUILD = 1
ON_TRIAL_BUILD = 2
SUCCEEDED = Counts(attempts=1, failed=0, timed=1, total_time=5_000)
FAILED = Counts(attempts=1, failed=1, timed=0, total_time=0)


def outcome_time(instances: int) -> float:
    """Return the microseconds per outcome: every instance of the build fails once, then succeeds once."""
    gateway = DecisionModule(startup(gateway_count=3_200), seed=7, now=0)
    entries = [entry(n, EARLIER_BUILD if n % 2 else ON_TRIAL_BUILD) for n in range(2 * instances)]
    gateway.on_endpoint_list(0, entries, is_snapshot=True, is_poll_response=True)
    gateway.on_rollout_update(
        0, ON_TRIAL_BUILD, 1, RolloutPhase.ON_TRIAL, 1.0, is_vote_response=False, is_valid=True
    )
    gateway.detector.add(EARLIER_BUILD, 0, Counts(100, 1, 99, 99 * 5_000))
    on_trial = gateway.fleet.ready_by_build[ON_TRIAL_BUILD]

    def evaluate_all() -> None:
        for instance_index in on_trial:
            gateway.detector.add(ON_TRIAL_BUILD, 0, FAILED, instance_index)
        for instance_index in on_trial:
            gateway.detector.add(ON_TRIAL_BUILD, 0, SUCCEEDED, instance_index)

    return processor_time(evaluate_all, max(1, 200 // instances), 3) / (2 * instances)


def rows() -> list[Slope]:
    """Measure release decisions at all sizes."""
    return [
        slope(
            "linear",
            [(n, outcome_time(n)) for n in SIZES],
            role=ROLE,
            what="one outcome weighed",
            size="instances on trial",
            unit="us",
            measured_by=MEASURED_BY,
            text=execution_mode(dispatch),
            note="every second outcome a failure, each instance in turn",
        )
    ]


if __name__ == "__main__":
    record(rows())
