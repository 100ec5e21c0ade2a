"""How far a region's changes are in force everywhere, as its relays report for all followers below them.

Keeps state without I/O. A relay that has not reported for a while counts as unreached, and so do the
followers that it names. Silence never counts as being in force: whoever is unreached is named instead.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from linenbridge.distribution.messages import Progress, SubtreeSummary

MAX_UNREACHED_NAMES = 64  # names in one `Propagation`
NO_BOUND = 1 << 62  # the lowest sequence in force where nobody follows


@dataclass(slots=True)
class Propagation:
    """All that are reached have everything up to `sequence` in force; the others are named and counted."""

    sequence: int
    unreached: list[str] = field(default_factory=list)
    unreached_count: int = 0


class PropagationProgress:
    """The latest report of each relay of a region. `silence` is in microseconds."""

    def __init__(self, region: str, relays: tuple[str, ...], silence: int) -> None:
        self.region = region
        self.silence = silence
        self._last_report_at: dict[str, int] = dict.fromkeys(relays, 0)
        self._positions: dict[str, int] = {}
        self._subtrees: dict[str, SubtreeSummary] = {}
        self._wake_at: int | None = None

    def start_epoch(self, now: int) -> None:
        """Discard all reports; each relay has the time of one silence to report again."""
        self._last_report_at = dict.fromkeys(self._last_report_at, now)
        self._positions.clear()
        self._subtrees.clear()

    def on_progress(self, now: int, relay: str, message: Progress) -> None:
        """A relay's report on itself and on all below it."""
        self._last_report_at[relay] = now
        for position in message.positions:
            if position.region == self.region:
                self._positions[relay] = position.sequence
        for summary in message.below:
            if summary.region == self.region:
                self._subtrees[relay] = summary

    def current(self, now: int) -> Propagation | None:
        """How far changes are in force; None while a relay may still report, or none has."""
        silent = [relay for relay, at in self._last_report_at.items() if now - at >= self.silence]
        reached = [relay for relay in self._last_report_at if relay not in silent]
        self._wake_at = min((self._last_report_at[relay] + self.silence for relay in reached), default=None)
        if not reached or not all(relay in self._subtrees or relay in self._positions for relay in reached):
            return None
        sequences = [sequence for relay in reached for sequence in self._sequences_in_force(relay)]
        found = Propagation(min(sequences, default=NO_BOUND), silent, len(silent))
        for relay in reached:
            summary = self._subtrees.get(relay)
            if summary is not None:
                found.unreached += summary.unreached[: MAX_UNREACHED_NAMES - len(found.unreached)]
                found.unreached_count += summary.unreached_count
        return found

    def wake_at(self) -> int | None:
        """When another relay counts as silent, as of the last call of `current`, in microseconds."""
        return self._wake_at

    def _sequences_in_force(self, relay: str) -> list[int]:
        """The relay's own sequence, where it reports one, and the lowest of its followers, where it has
        any."""
        summary = self._subtrees.get(relay)
        own = [self._positions[relay]] if relay in self._positions else []
        return own + ([summary.min_sequence] if summary is not None and summary.followers else [])
