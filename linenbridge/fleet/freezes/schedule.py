"""What is held at this moment: no release moves on where a window of kind `hold` is open.

Decides without I/O. Each member goes by the windows that it was handed and its own wall clock, so that a
hold needs no contact when it counts: it begins, and goes on, whoever else has stalled. It must never end a
hold for any other reason than that its window is over, shortened or cancelled.

Decisions, as plain tuples:

    (HOLD, zones)         releases are held in these zones, everywhere where it is empty; None: nowhere
    (LOG, name, fields)   one line for each step of a window's life
"""

from __future__ import annotations

from collections import deque

from linenbridge.fleet.freezes.windows import Window, occurrences

HOLD, LOG = "hold", "log"
KIND = "hold"


class FreezeSchedule:
    """Times are Unix microseconds: windows are written by the wall clock."""

    def __init__(self, windows: tuple[Window, ...], now: int) -> None:
        self.windows, self.out = windows, deque[tuple]()
        self.open: dict[str, int] = {}  # by the window's name, when it is over
        self.told: frozenset[str] | None = None
        self.next_at: int | None = now

    def on_windows(self, now: int, windows: tuple[Window, ...]) -> None:
        """Announced, extended, shortened or cancelled: as they are written now."""
        self.windows, self.next_at = windows, now

    def next_decision(self, now: int) -> tuple | None:
        if self.next_at is not None and now >= self.next_at:
            self._look(now)
        return self.out.popleft() if self.out else None

    def wake_at(self) -> int | None:
        """When the next window begins or ends."""
        return self.next_at

    def _look(self, now: int) -> None:
        held, changes = dict[str, int](), list[int]()
        zones, everywhere = set[str](), False
        for window in self.windows:
            if window.kind != KIND:
                continue
            begin, end = next(occurrences(window, now), (0, 0))
            if begin <= now < end:
                held[window.name] = end
                zones |= window.zones
                everywhere = everywhere or not window.zones
            if end:
                changes.append(begin if begin > now else end)
        for name in sorted(held.keys() - self.open.keys()):
            self.out.append((LOG, "hold.open", {"window": name, "seconds": (held[name] - now) // 1_000_000}))
        for name in sorted(self.open.keys() - held.keys()):
            early = now < self.open[name]
            self.out.append((LOG, "hold.over", {"window": name, "early": early}))
        self.open, self.next_at = held, min(changes, default=None)
        found = None if not held else frozenset() if everywhere else frozenset(zones)
        if found != self.told:
            self.told = found
            self.out.append((HOLD, found))
