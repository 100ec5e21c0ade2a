"""Cumulative sums for change detection, and recent outcomes by build and method.

This module holds state and does no I/O. `linenbridge.policy.change_detection` sets the levels and bounds.
"""

from __future__ import annotations

from linenbridge.state.counters import BuildRecord, Counts

Key = tuple[int, str]  # method index and statistic


class CumulativeSums:
    """The cumulative sum W = max(0, W) + Z of each key, with the contribution of each instance.

    Z is the increment that is passed to `add`.
    """

    def __init__(self) -> None:
        self.sums: dict[Key, float] = {}
        self.contributions: dict[Key, dict[int, float]] = {}
        self.alarms: set[Key] = set()

    def add(self, key: Key, increment: float, instance_index: int | None, max_contribution: float) -> float:
        """Add an increment and return the new sum.

        The total contribution of one instance is limited to `max_contribution` while the sum stays positive.
        A negative increment scales all contributions down by the same factor as the sum, and clears them once
        the sum is no longer positive.
        """
        contributions = self.contributions.setdefault(key, {})
        previous = max(0.0, self.sums.get(key, 0.0))
        if instance_index is not None and increment > 0.0:
            contributed = contributions.get(instance_index, 0.0)
            increment = max(0.0, min(increment, max_contribution - contributed))
            contributions[instance_index] = contributed + increment
        total = previous + increment
        self.sums[key] = total
        if increment < 0.0:
            self.contributions[key] = (
                {index: amount * total / previous for index, amount in contributions.items()}
                if total > 0.0
                else {}
            )
        return total

    def highest(self) -> float:
        """Return the largest sum, or 0.0 if there are no sums."""
        return max(self.sums.values(), default=0.0)


class BuildRecords:
    """Recent outcomes by build and method index."""

    def __init__(self, memory: int) -> None:
        self.memory = memory  # time constant of the decay, in outcomes
        self.records: dict[tuple[int, int], BuildRecord] = {}

    def add(self, build: int, method_index: int, counts: Counts) -> None:
        """Add outcomes of a method at a build."""
        self.records.setdefault((build, method_index), BuildRecord(self.memory)).add(counts)

    def baseline(self, method_index: int, build: int, withdrawn: set[int]) -> BuildRecord | None:
        """Return the method's record at the latest earlier build that is not withdrawn, or None."""
        earlier_builds = [
            earlier
            for earlier, recorded_method in self.records
            if recorded_method == method_index and earlier < build and earlier not in withdrawn
        ]
        return self.records[max(earlier_builds), method_index] if earlier_builds else None

    def other_failure_rates(self, build: int, method_index: int) -> list[float]:
        """Return the failure rate at the build of each other method that has outcomes there."""
        return [
            record.failed / record.outcomes
            for (recorded_build, recorded_method), record in self.records.items()
            if recorded_build == build and recorded_method != method_index and record.outcomes
        ]
