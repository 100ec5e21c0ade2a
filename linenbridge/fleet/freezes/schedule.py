"""Decide which rollouts are frozen now: no rollout advances where a window of kind `hold` is open.

Decides without I/O. Each member uses its own copy of the windows and its own wall clock, so a freeze begins
and continues without any other member. A freeze ends only when its window is over, shortened or cancelled.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from linenbridge.fleet.freezes.windows import Occurrence, Window, occurrences

ROLLOUT_FREEZE_KIND = "hold"  # the value of `kind` in the file
SECOND = 1_000_000  # microseconds


@dataclass(frozen=True, slots=True)
class SetFreeze:
    """Rollouts are frozen in these zones from now on: everywhere if the set is empty, nowhere if None."""

    zones: frozenset[str] | None


@dataclass(frozen=True, slots=True)
class LogFreeze:
    """Write one line of the log: a window has opened or ended."""

    event: str
    fields: dict[str, object]


Decision = SetFreeze | LogFreeze


class FreezeSchedule:
    """Tracks which of the announced windows are open. Times are in Unix microseconds."""

    def __init__(self, windows: tuple[Window, ...], now: int) -> None:
        """Start with these windows; the first decisions are due at once."""
        self.windows = windows
        self.decisions: deque[Decision] = deque()
        self.open_until: dict[str, int] = {}  # by the window's name
        self.frozen_zones: frozenset[str] | None = None
        self.next_change_at: int | None = now

    def on_windows(self, now: int, windows: tuple[Window, ...]) -> None:
        """Replace the windows: some may be new, extended, shortened or cancelled."""
        self.windows = windows
        self.next_change_at = now

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision that is due, or None."""
        if self.next_change_at is not None and now >= self.next_change_at:
            self._update(now)
        return self.decisions.popleft() if self.decisions else None

    def wake_at(self) -> int | None:
        """Return when the next window begins or ends; None if there is none."""
        return self.next_change_at

    def _update(self, now: int) -> None:
        current = self._current_occurrences(now)
        open_windows = [window for window in self.windows if self._is_open(current.get(window.name), now)]
        open_until = {window.name: current[window.name].end for window in open_windows}
        self._log_changes(now, open_until)
        self.open_until = open_until
        self.next_change_at = min(
            (found.begin if found.begin > now else found.end for found in current.values()), default=None
        )
        zones = self._zones(open_windows)
        if zones != self.frozen_zones:
            self.frozen_zones = zones
            self.decisions.append(SetFreeze(zones))

    def _current_occurrences(self, now: int) -> dict[str, Occurrence]:
        """Return, by window name, the occurrence of each rollout freeze that is open or comes next."""
        found = {
            window.name: next(occurrences(window, now), None)
            for window in self.windows
            if window.kind == ROLLOUT_FREEZE_KIND
        }
        return {name: occurrence for name, occurrence in found.items() if occurrence is not None}

    @staticmethod
    def _is_open(occurrence: Occurrence | None, now: int) -> bool:
        return occurrence is not None and occurrence.begin <= now < occurrence.end

    @staticmethod
    def _zones(open_windows: list[Window]) -> frozenset[str] | None:
        """Return the zones of all open windows; the empty set for everywhere, None for nowhere."""
        if not open_windows:
            return None
        if any(not window.zones for window in open_windows):
            return frozenset()
        return frozenset[str]().union(*(window.zones for window in open_windows))

    def _log_changes(self, now: int, open_until: dict[str, int]) -> None:
        for name in sorted(open_until.keys() - self.open_until.keys()):
            seconds = (open_until[name] - now) // SECOND
            self.decisions.append(LogFreeze("rollout_freeze.opened", {"window": name, "seconds": seconds}))
        for name in sorted(self.open_until.keys() - open_until.keys()):
            is_early = now < self.open_until[name]
            self.decisions.append(LogFreeze("rollout_freeze.ended", {"window": name, "early": is_early}))
