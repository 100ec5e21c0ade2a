"""The sums of the design's test at the build judged, and what was met of every build of late.

Keeps state without I/O. It must never say what a sum means: levels and alarms are told to it.
"""

from __future__ import annotations

from linenbridge.state.counters import BuildRecord, Counts

Key = tuple[int, str]  # a method's row and what it is judged by


class Sums:
    """W = max(0, W) + Z for each key, and each instance's part in it, for bounds."""

    def __init__(self) -> None:
        self.by_key: dict[Key, float] = {}
        self.parts: dict[Key, dict[int, float]] = {}
        self.alarms: set[Key] = set()

    def add(self, key: Key, z: float, i: int | None, most: float) -> float:
        """The new sum. What an instance `i` adds is bounded to `most` in all while the sum stands."""
        parts, before = self.parts.setdefault(key, {}), max(0.0, self.by_key.get(key, 0.0))
        if i is not None and z > 0.0:
            z = max(0.0, min(z, most - parts.get(i, 0.0)))
            parts[i] = parts.get(i, 0.0) + z
        w = self.by_key[key] = before + z
        if z < 0.0:
            self.parts[key] = {j: part * w / before for j, part in parts.items()} if w > 0.0 else {}
        return w

    def highest(self) -> float:
        return max(self.by_key.values(), default=0.0)


class Records:
    """What was met by (build, method), of late."""

    def __init__(self, memory: int) -> None:
        self.memory = memory
        self.rows: dict[tuple[int, int], BuildRecord] = {}

    def hear(self, build: int, m: int, counts: Counts) -> None:
        self.rows.setdefault((build, m), BuildRecord(self.memory)).hear(counts)

    def earlier(self, m: int, build: int, withdrawn: set[int]) -> BuildRecord | None:
        """The record of the latest build before that one, of those not withdrawn."""
        known = [b for b, row in self.rows if row == m and b < build and b not in withdrawn]
        return self.rows[max(known), m] if known else None

    def other_failures(self, build: int, m: int) -> list[float]:
        """The share that failed at the build of each other method that was met there."""
        rest = [r for (b, row), r in self.rows.items() if b == build and row != m and r.outcomes]
        return [r.failed / r.outcomes for r in rest]
