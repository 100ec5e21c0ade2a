"""Up to which sequence a region's changes are in force, as its relays report for all followers below them.

A state machine without I/O. A relay that has not reported for `silence` microseconds counts as unreached, and
so do the followers that a relay reports as unreached. No change counts as in force at an unreached process:
the result names and counts these processes instead.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from linenbridge.distribution.messages import Progress, SubtreeSummary

MAX_UNREACHED_NAMES = 64  # names in one `Propagation`
NO_BOUND = 1 << 62  # the lowest sequence in force if there are no followers


@dataclass(slots=True)
class Propagation:
    """All reached relays and followers have the changes up to `sequence` in force.

    `unreached` names the other ones, up to a limit; `unreached_count` counts all of them.
    """

    sequence: int
    unreached: list[str] = field(default_factory=list)
    unreached_count: int = 0


class PropagationProgress:
    """The latest report of each relay of a region; `silence` is in microseconds."""

    def __init__(self, region: str, relays: tuple[str, ...], silence: int) -> None:
        self.region = region
        self.silence = silence
        self._last_report_at: dict[str, int] = dict.fromkeys(relays, 0)
        self._positions: dict[str, int] = {}
        self._subtrees: dict[str, SubtreeSummary] = {}
        self._wake_at: int | None = None

    def start_epoch(self, now: int) -> None:
        """Discard all reports. Each relay counts as reached until `silence` has passed without a new
        report."""
        self._last_report_at = dict.fromkeys(self._last_report_at, now)
        self._positions.clear()
        self._subtrees.clear()

    def on_progress(self, now: int, relay: str, message: Progress) -> None:
        """Record a relay's report on itself and on all followers below it."""
        self._last_report_at[relay] = now
        for position in message.positions:
            if position.region == self.region:
                self._positions[relay] = position.sequence
        for summary in message.below:
            if summary.region == self.region:
                self._subtrees[relay] = summary

    def current(self, now: int) -> Propagation | None:
        """Return up to where changes are in force.

        The result is None if all relays are silent, or if a relay that is not silent has not reported yet.
        """
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
        """Return the time at which the next relay counts as silent, in microseconds, as of the last call of
        `current`."""
        return self._wake_at

    def _sequences_in_force(self, relay: str) -> list[int]:
        """Return the relay's own sequence, if it reported one, and the lowest sequence of its followers, if
        it has any."""
        summary = self._subtrees.get(relay)
        own = [self._positions[relay]] if relay in self._positions else []
        return own + ([summary.min_sequence] if summary is not None and summary.followers else [])
