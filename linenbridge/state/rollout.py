"""What the platform and the endpoint list report of builds.

Keeps state without I/O: which builds there are, the stage of the last one reported, and the clients' keys
that stay with a build.
"""

from __future__ import annotations

from linenbridge.interface import Id, RolloutPhase

NO_BUILD = -1


class RolloutState:
    """The last rollout update of the platform, and the builds known here."""

    def __init__(self) -> None:
        self.build = NO_BUILD  # of the last update
        self.stage = 0
        self.phase: int = RolloutPhase.WITHDRAWN
        self.cap = 0.0  # share of the requests that the build may get
        self.latest_build = NO_BUILD  # the highest that was listed or reported: the one under judgement
        self.lowest_build = NO_BUILD  # the lowest that was ever listed
        self.withdrawn = set[int]()

    def update(self, build: int, stage: int, phase: int, cap: float) -> bool:
        """Apply an update of the platform; returns whether it changes a stage that was reported before."""
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
        """Whether the latest build is on trial or released, as reported, or not reported yet."""
        if self.build < self.latest_build:
            return True
        return self.phase in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED)

    def on_listed(self, builds: dict[int, list[int]]) -> None:
        """Note the lowest of the builds listed as ready, given in ascending order."""
        lowest = min(builds)
        self.lowest_build = lowest if self.lowest_build < 0 else min(self.lowest_build, lowest)

    def observe(self, build: int) -> bool:
        """Note a build that was listed or reported; returns whether it is later than all before."""
        if build <= self.latest_build:
            return False
        self.latest_build = build
        return True


class KeyAffinity:
    """Which build a key's requests stay with, where releases only go forward."""

    def __init__(self, rollout: RolloutState, forward_only: bool) -> None:
        self.rollout = rollout
        self.forward_only = forward_only
        self.min_builds: dict[Id, int] = {}

    def on_response(self, key: Id | None, build: int) -> None:
        """A build has answered a request with that key."""
        if not self.forward_only or key is None:
            return
        if build >= self.rollout.build and build not in self.rollout.withdrawn:
            self.min_builds[key] = max(build, self.min_builds.get(key, 0))

    def on_rollout_update(self) -> None:
        """Forget the keys of builds before the reported one and of withdrawn ones."""
        self.min_builds = {
            key: build
            for key, build in self.min_builds.items()
            if build >= self.rollout.build and build not in self.rollout.withdrawn
        }

    def min_build(self, key: Id | None) -> int:
        """The lowest build that a request with that key may go to."""
        if not self.forward_only or key is None:
            return 0
        return self.min_builds.get(key, 0)
