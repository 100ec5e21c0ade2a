"""Log messages of the decision module for operators: events with named fields.

docs/oncall.md lists the events and their fields. Hosts write the fields unchanged.
"""

from __future__ import annotations

from collections import deque

from linenbridge.decisions import LogMessage
from linenbridge.interface import RolloutPhase, Vote
from linenbridge.state.rollout import RolloutState


class LogMessages:
    """The messages that the host has not pulled yet, the oldest first."""

    def __init__(self) -> None:
        self.pending: deque[LogMessage] = deque()

    def rollout_freeze(self, zones: frozenset[str] | None, rollout: RolloutState) -> None:
        """Log that a freeze starts, changes or ends: an empty set of zones means everywhere, None the end."""
        self._add(
            "rollout_freeze",
            {
                "zones": None if zones is None else sorted(zones),
                "build": rollout.build,
                "stage": rollout.stage,
                "cap": rollout.cap,
            },
        )

    def rollout(self, build: int, stage: int, phase: int, cap: float) -> None:
        """Log that the platform reports another build, stage or phase."""
        self._add(
            "rollout", {"build": build, "stage": stage, "phase": RolloutPhase(phase).name.lower(), "cap": cap}
        )

    def alarm(
        self,
        *,
        raised: bool,
        method: str,
        statistic: str,
        build: int,
        value: float,
        threshold: float,
        baseline: float,
    ) -> None:
        """Log that a cumulative sum exceeds its threshold, or has fallen enough to clear the alarm."""
        self._add(
            "alarm" if raised else "alarm_cleared",
            {
                "method": method,
                "statistic": statistic,
                "build": build,
                "value": round(value, 1),
                "threshold": round(threshold, 1),
                "baseline": round(baseline, 3),
            },
        )

    def vote(
        self, vote: int, build: int, stage: int, reported_stage: int, outcomes: int, highest: float
    ) -> None:
        """Log that the gateway casts another vote; `highest` is the largest cumulative sum."""
        self._add(
            "vote",
            {
                "vote": Vote(vote).name.lower(),
                "build": build,
                "stage": stage,
                "reported_stage": reported_stage,
                "outcomes": outcomes,
                "value": round(highest, 1),
            },
        )

    def eject(self, instance: int | str, mean_response_gap: float, in_flight: int) -> None:
        """Log the third ejection of an instance in a row; `mean_response_gap` is in microseconds."""
        self._add(
            "eject",
            {
                "instance": instance,
                "mean_response_gap_ms": round(mean_response_gap / 1000),
                "in_flight": in_flight,
            },
        )

    def _add(self, event: str, fields: dict[str, object]) -> None:
        self.pending.append(LogMessage(event, fields))
