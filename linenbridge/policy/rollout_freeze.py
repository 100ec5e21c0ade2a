"""Rollout freezes, which operators declare for zones or everywhere.

A freeze limits the share of requests of the builds that it covers. It does not prevent rollbacks.
"""

from __future__ import annotations

from linenbridge.policy.log_messages import LogMessages
from linenbridge.state.fleet import Fleet
from linenbridge.state.rollout import RolloutState


class RolloutFreeze:
    """The zones in which rollouts are frozen, and the cap of the reported build when the freeze started."""

    def __init__(self, rollout: RolloutState, fleet: Fleet, log: LogMessages) -> None:
        self.rollout = rollout
        self.fleet = fleet
        self.log = log
        self.zones: frozenset[str] | None = None
        self.caps_at_start: dict[int, float] = {}

    def change(self, zones: frozenset[str] | None) -> None:
        """Freeze rollouts in these zones, or everywhere if the set is empty; None lifts the freeze."""
        if self.zones is None and zones is not None:
            self.caps_at_start = {self.rollout.build: self.rollout.cap}
        if zones != self.zones:
            self.log.rollout_freeze(zones, self.rollout)
        self.zones = zones

    def covers(self, build: int) -> bool:
        """Return whether rollouts are frozen everywhere or in a zone with ready instances of the build."""
        zones = self.zones
        if zones is None:
            return False
        if not zones:
            return True
        zone = self.fleet.zone
        return any(zone[index] in zones for index in self.fleet.ready_by_build.get(build, ()))

    def limit(self, build: int, cap: float) -> float:
        """Return the cap of a build that the freeze covers.

        It does not exceed the cap that the build had when the freeze started. A build without a recorded cap
        gets no requests while an earlier build has ready instances.
        """
        max_cap = self.caps_at_start.get(build)
        if max_cap is None:
            has_earlier = min(self.fleet.ready_by_build, default=build) < build
            max_cap = 0.0 if has_earlier else cap
        return min(cap, max_cap)
