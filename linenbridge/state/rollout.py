"""The known builds, the stage of the last reported build, and the lowest build for each client's key.

This module holds state and does no I/O. The platform and the endpoint list report the builds.
"""

from __future__ import annotations

from linenbridge.interface import Id, RolloutPhase

NO_BUILD = -1


class RolloutState:
    """The last rollout update from the platform, and the builds known to this gateway."""

    def __init__(self) -> None:
        self.build = NO_BUILD  # of the last update
        self.stage = 0
        self.phase: int = RolloutPhase.WITHDRAWN
        self.cap = 0.0  # share of the requests that the build may receive
        self.latest_build = NO_BUILD  # the highest that was ever listed or reported; votes are about it
        self.lowest_build = NO_BUILD  # the lowest that was ever listed as ready
        self.withdrawn = set[int]()

    def update(self, build: int, stage: int, phase: int, cap: float) -> bool:
        """Apply a rollout update and return whether it changes a build, stage or phase reported before."""
        changed = self.build >= 0 and (build != self.build or stage != self.stage or phase != self.phase)
        self.build = build
        self.stage = stage
        self.phase = phase
        self.cap = cap
        if phase in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED):
            self.withdrawn.discard(build)
        else:
            self.withdrawn.add(build)
        return changed

    def is_latest_in_use(self) -> bool:
        """Return whether the latest build is reported as on trial or released, or not reported yet."""
        if self.build < self.latest_build:
            return True
        return self.phase in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED)

    def on_listed(self, builds: dict[int, list[int]]) -> None:
        """Update the lowest build from the ready instances by build, which must not be empty."""
        lowest = min(builds)
        self.lowest_build = lowest if self.lowest_build < 0 else min(self.lowest_build, lowest)

    def observe(self, build: int) -> bool:
        """Record a build that was listed or reported; return whether it is higher than all earlier ones."""
        if build <= self.latest_build:
            return False
        self.latest_build = build
        return True


class KeyAffinity:
    """The lowest build that each key's requests may go to, if `forward_only` rules out earlier builds.

    Keys are kept by their hash, so that long ones take no more memory; two keys with one hash are restricted
    together. Once no earlier build is ready, one build is kept for all keys in place of one for each.
    """

    def __init__(self, rollout: RolloutState, forward_only: bool) -> None:
        self.rollout = rollout
        self.forward_only = forward_only
        self.min_builds: dict[int, int] = {}  # by the hash of the key
        self.min_build_of_all = 0  # 0 allows all builds

    def on_response(self, key: Id | None, build: int) -> None:
        """Record that a build has answered a request with this key."""
        if not self.forward_only or key is None or build <= self.min_build_of_all:
            return
        if self._is_in_effect(build):
            hashed = hash(key)
            self.min_builds[hashed] = max(build, self.min_builds.get(hashed, 0))

    def on_rollout_update(self) -> None:
        """Forget the keys whose build is withdrawn or lower than the reported one."""
        if not self._is_in_effect(self.min_build_of_all):
            self.min_build_of_all = 0
        self.min_builds = {
            hashed: build for hashed, build in self.min_builds.items() if self._is_in_effect(build)
        }

    def on_ready_builds(self, lowest: int) -> None:
        """Restrict all keys to a released build once no earlier one is ready; `lowest` is the lowest ready.

        Which keys it has answered then makes no difference, and need not be kept.
        """
        build = self.rollout.build
        if not self.forward_only or self.rollout.phase != RolloutPhase.RELEASED or lowest < build:
            return
        if build != self.min_build_of_all:
            self.min_build_of_all = build
            self.min_builds = {hashed: kept for hashed, kept in self.min_builds.items() if kept > build}

    def min_build(self, key: Id | None) -> int:
        """Return the lowest build that a request with this key may go to; 0 allows all builds."""
        if not self.forward_only or key is None:
            return 0
        return max(self.min_build_of_all, self.min_builds.get(hash(key), 0))

    def _is_in_effect(self, build: int) -> bool:
        """Return whether keys that a build has answered may not go to an earlier one."""
        return build >= self.rollout.build and build not in self.rollout.withdrawn
