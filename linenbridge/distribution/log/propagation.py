"""How far a region's changes are in force everywhere, as its relays say of all below them.

Keeps state without I/O. A relay that has not said so for a while is unreached, and so is whom it names. It
must never count silence as being in force: whoever is not reached is named instead.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from linenbridge.distribution.messages import Progress, SubtreeSummary

MAX_UNREACHED_NAMES = 64  # unreached names that are remembered
NO_BOUND = 1 << 62  # the least sequence in force where there is nobody to have it


@dataclass
class Propagation:
    """All that are reached have everything up to `sequence`; the rest is named and numbered."""

    sequence: int
    unreached: list[str] = field(default_factory=list)
    unreached_count: int = 0


class PropagationProgress:
    """The newest word of each relay of the region."""

    def __init__(self, region: str, relays: tuple[str, ...], silence: int) -> None:
        self.region, self.silence = region, silence
        self._last_progress_at: dict[str, int] = dict.fromkeys(relays, 0)
        self._positions: dict[str, int] = {}
        self._below: dict[str, SubtreeSummary] = {}
        self._wake_at: int | None = None

    def begin(self, now: int) -> None:
        """Each relay has the time of one silence to be heard."""
        self._last_progress_at = dict.fromkeys(self._last_progress_at, now)
        self._positions.clear()
        self._below.clear()

    def on_progress(self, now: int, relay: str, message: Progress) -> None:
        self._last_progress_at[relay] = now
        for position in message.positions:
            if position.region == self.region:
                self._positions[relay] = position.sequence
        for summary in message.below:
            if summary.region == self.region:
                self._below[relay] = summary

    def everywhere(self, now: int) -> Propagation | None:
        """None while nothing can be said: a relay has its time to be heard, or none was heard."""
        silent = [relay for relay, at in self._last_progress_at.items() if now - at >= self.silence]
        reached = [relay for relay in self._last_progress_at if relay not in silent]
        self._wake_at = min((self._last_progress_at[relay] + self.silence for relay in reached), default=None)
        if not reached or not all(relay in self._below or relay in self._positions for relay in reached):
            return None
        least = [sequence for relay in reached for sequence in self._in_force(relay)]
        found = Propagation(min(least, default=NO_BOUND), silent, len(silent))
        for relay in reached:
            if (summary := self._below.get(relay)) is not None:
                found.unreached += summary.unreached[: MAX_UNREACHED_NAMES - len(found.unreached)]
                found.unreached_count += summary.unreached_count
        return found

    def wake_at(self) -> int | None:
        """When another relay would count as silent, as of the last look."""
        return self._wake_at

    def _in_force(self, relay: str) -> list[int]:
        """Of the relay itself, where it says so, and the least of its followers, where it has any."""
        summary = self._below.get(relay)
        own = [self._positions[relay]] if relay in self._positions else []
        return own + ([summary.min_sequence] if summary is not None and summary.followers else [])
