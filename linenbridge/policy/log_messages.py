"""The lines that the decision module writes for operators: an event with named fields each.

Owns the events' names and fields (listed in docs/oncall.md). Hosts write the fields as they are.
"""

from __future__ import annotations

from collections import deque

from linenbridge.decisions import LogMessage
from linenbridge.interface import RolloutPhase, Vote
from linenbridge.state.rollout import RolloutState


class LogMessages:
    """The messages that no host has taken yet, the oldest first."""

    def __init__(self) -> None:
        self.pending: deque[LogMessage] = deque()

    def rollout_freeze(self, zones: frozenset[str] | None, rollout: RolloutState) -> None:
        """A freeze begins, changes or ends. An empty list of zones is everywhere; None is the end."""
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
        """The platform reports another build, stage or phase."""
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
        """A cumulative sum crosses its threshold, or falls back far enough to clear the alarm."""
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
        """The gateway casts another vote; `highest` is the largest cumulative sum."""
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
        """An instance is ejected for the third time in a row; the gap is given in microseconds."""
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
