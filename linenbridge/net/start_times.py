"""Start times of instances: converts Unix times of discovery to the gateway's clock.

This module owns the start time of each listed instance. The wall clock may be stepped: a process that is
already known keeps its start time, and a new one is never taken for older than it may be, so that it gets its
slow start.
"""

from __future__ import annotations

from collections.abc import Callable, Container

from linenbridge.startup import LONG_AGO


class StartTimes:
    """Start times by instance; `now` and `wall_clock` return microseconds on the two clocks."""

    def __init__(self, now: Callable[[], int], wall_clock: Callable[[], int]) -> None:
        self.now = now
        self.wall_clock = wall_clock
        self._first_offset = now() - wall_clock()
        self._known: dict[str, tuple[float, int]] = {}

    def convert(self, instance: str, since_ms: float | None) -> int:
        """Return when an instance's process has started; `since_ms` is Unix time, none for long ago.

        Of the offsets at this process's start and now, the one that gives the later time applies.
        """
        if not since_ms:
            self._known.pop(instance, None)
            return LONG_AGO
        known = self._known.get(instance)
        if known is not None and known[0] == since_ms:
            return known[1]
        now = self.now()
        offset = max(self._first_offset, now - self.wall_clock())
        started_at = min(now, round(since_ms * 1000) + offset)
        self._known[instance] = (since_ms, started_at)
        return started_at

    def retain(self, instances: Container[str]) -> None:
        """Forget all instances but these."""
        self._known = {name: known for name, known in self._known.items() if name in instances}
