"""Cumulative sums of a change detection test, and recent outcomes by build and method.

Keeps state without I/O. Levels and bounds are parameters; `linenbridge.policy.change_detection` sets them.
"""

from __future__ import annotations

from linenbridge.state.counters import BuildRecord, Counts

Key = tuple[int, str]  # method index and statistic


class CumulativeSums:
    """W = max(0, W) + Z for each key, with the contribution of each instance."""

    def __init__(self) -> None:
        self.sums: dict[Key, float] = {}
        self.contributions: dict[Key, dict[int, float]] = {}
        self.alarms: set[Key] = set()

    def add(self, key: Key, increment: float, instance_index: int | None, max_contribution: float) -> float:
        """Add an increment and return the new sum.

        What one instance adds is limited to `max_contribution` in all as long as the sum stays positive.
        """
        contributions = self.contributions.setdefault(key, {})
        before = max(0.0, self.sums.get(key, 0.0))
        if instance_index is not None and increment > 0.0:
            contributed = contributions.get(instance_index, 0.0)
            increment = max(0.0, min(increment, max_contribution - contributed))
            contributions[instance_index] = contributed + increment
        total = before + increment
        self.sums[key] = total
        if increment < 0.0:
            self.contributions[key] = (
                {index: amount * total / before for index, amount in contributions.items()}
                if total > 0.0
                else {}
            )
        return total

    def highest(self) -> float:
        """The largest sum; 0.0 where there is none."""
        return max(self.sums.values(), default=0.0)


class BuildRecords:
    """Recent outcomes by build and method index."""

    def __init__(self, memory: int) -> None:
        self.memory = memory  # outcomes
        self.records: dict[tuple[int, int], BuildRecord] = {}

    def add(self, build: int, method_index: int, counts: Counts) -> None:
        """Count outcomes of a method at a build."""
        self.records.setdefault((build, method_index), BuildRecord(self.memory)).add(counts)

    def baseline(self, method_index: int, build: int, withdrawn: set[int]) -> BuildRecord | None:
        """The method's record at the latest earlier build that is not withdrawn."""
        known = [
            earlier
            for earlier, recorded_method in self.records
            if recorded_method == method_index and earlier < build and earlier not in withdrawn
        ]
        return self.records[max(known), method_index] if known else None

    def other_failure_rates(self, build: int, method_index: int) -> list[float]:
        """The failure rate at the build of each other method with outcomes there."""
        return [
            record.failed / record.outcomes
            for (recorded_build, recorded_method), record in self.records.items()
            if recorded_build == build and recorded_method != method_index and record.outcomes
        ]
