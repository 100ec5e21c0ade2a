"""A freeze of releases, as operators declare it for zones or everywhere.

Decides without I/O. It names the builds that a freeze covers and limits their share; rollbacks stay free.
"""

from __future__ import annotations

from linenbridge.policy.log_messages import LogMessages
from linenbridge.state.fleet import Fleet
from linenbridge.state.rollout import RolloutState


class RolloutFreeze:
    """The zones in which releases are frozen, and the caps when the freeze began."""

    def __init__(self, rollout: RolloutState, fleet: Fleet, log: LogMessages) -> None:
        self.rollout = rollout
        self.fleet = fleet
        self.log = log
        self.zones: frozenset[str] | None = None
        self.caps_at_start: dict[int, float] = {}

    def change(self, zones: frozenset[str] | None) -> None:
        """Releases are frozen in these zones from now on, everywhere where none is named; None: no longer."""
        if self.zones is None and zones is not None:
            self.caps_at_start = {self.rollout.build: self.rollout.cap}
        if zones != self.zones:
            self.log.rollout_freeze(zones, self.rollout)
        self.zones = zones

    def covers(self, build: int) -> bool:
        """Whether the build has ready instances where releases are frozen."""
        zones = self.zones
        if zones is None:
            return False
        if not zones:
            return True
        zone = self.fleet.zone
        return any(zone[index] in zones for index in self.fleet.ready_by_build.get(build, ()))

    def limit(self, build: int, cap: float) -> float:
        """The cap of a covered build: no more than when the freeze began, none at a later build while an
        earlier one is ready.
        """
        max_cap = self.caps_at_start.get(build)
        if max_cap is None:
            has_earlier = min(self.fleet.ready_by_build, default=build) < build
            max_cap = 0.0 if has_earlier else cap
        return min(cap, max_cap)
