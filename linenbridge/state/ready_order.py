"""The ready instances in two orders: by index with cumulative sums of their sizes, and by rank per build."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from itertools import accumulate, filterfalse

from linenbridge.interface import InstanceState


class ReadyOrder:
    """Both orders of the ready instances, updated incrementally.

    Each change costs two bisections and the moves of two list insertions or deletions. If an update brings
    more changes than a bisection has steps, all of them are applied in one pass at the end of the update.

    The cumulative sums equal, to the last bit, those of adding the sizes one by one in the order of `ready`:
    each update recomputes them once, from the first changed position on. `builds`, `sizes`, `states` and
    `ranks` are the columns of the fleet, by instance index; no two ranks are equal.
    """

    def __init__(self, builds: list[int], sizes: list[float], states: list[int], ranks: list[int]) -> None:
        self.builds = builds
        self.sizes = sizes
        self.states = states
        self.ranks = ranks
        self.ready: list[int] = []
        self.ready_sizes = array("d")
        self.cumulative_sizes = array("d")
        self.by_build: dict[int, list[int]] = {}
        self.changed: set[int] = set()
        self.max_changes = 0  # that are applied one by one; a larger number is applied in one pass
        self.first_changed = 0  # position in `ready`

    def begin(self) -> None:
        """Begin an update, with a new limit on the changes that are applied one by one."""
        self.max_changes = len(self.ready).bit_length()
        self.first_changed = len(self.ready)

    def remove(self, instance_index: int) -> None:
        """Remove an instance that is no longer ready at its build.

        The instance's build and rank must still be those with which it was added.
        """
        self.changed.add(instance_index)
        if len(self.changed) > self.max_changes:
            return
        position = bisect_left(self.ready, instance_index)
        del self.ready[position]
        del self.ready_sizes[position]
        self.first_changed = min(self.first_changed, position)
        ranked = self.by_build[self.builds[instance_index]]
        del ranked[bisect_left(ranked, self.ranks[instance_index], key=self.ranks.__getitem__)]
        if not ranked:
            del self.by_build[self.builds[instance_index]]

    def add(self, instance_index: int) -> None:
        """Add a ready instance, whose build, size and rank must already be set in the columns."""
        self.changed.add(instance_index)
        if len(self.changed) > self.max_changes:
            return
        position = bisect_left(self.ready, instance_index)
        self.ready.insert(position, instance_index)
        self.ready_sizes.insert(position, self.sizes[instance_index])
        self.first_changed = min(self.first_changed, position)
        build = self.builds[instance_index]
        if build not in self.by_build:
            self.by_build[build] = []
            self._sort_builds()
        ranked = self.by_build[build]
        rank = self.ranks[instance_index]
        ranked.insert(bisect_left(ranked, rank, key=self.ranks.__getitem__), instance_index)

    def resize(self, instance_index: int) -> None:
        """Apply the new size of an instance that was ready and stays ready."""
        if len(self.changed) > self.max_changes:
            return
        position = bisect_left(self.ready, instance_index)
        self.ready_sizes[position] = self.sizes[instance_index]
        self.first_changed = min(self.first_changed, position)

    def finish(self) -> None:
        """End the update: apply the changes not yet applied and recompute the cumulative sums."""
        if len(self.changed) > self.max_changes:
            self._rebuild()
        first = self.first_changed
        if first == 0:
            self.cumulative_sizes[:] = array("d", accumulate(self.ready_sizes))
        elif first < len(self.cumulative_sizes) or first < len(self.ready_sizes):
            before = self.cumulative_sizes[first - 1]
            del self.cumulative_sizes[first - 1 :]
            self.cumulative_sizes.extend(accumulate(self.ready_sizes[first:], initial=before))
        self.changed = set()

    def _rebuild(self) -> None:
        """Apply all changes of an update in one pass; unchanged instances keep their relative order."""
        self.first_changed = 0
        self.ready[:] = [index for index, state in enumerate(self.states) if state == InstanceState.READY]
        self.ready_sizes[:] = array("d", map(self.sizes.__getitem__, self.ready))
        for build, ranked in self.by_build.items():
            self.by_build[build] = list(filterfalse(self.changed.__contains__, ranked))
        for index in self.changed:
            if self.states[index] == InstanceState.READY:
                self.by_build.setdefault(self.builds[index], []).append(index)
        for build in [build for build, ranked in self.by_build.items() if not ranked]:
            del self.by_build[build]
        for ranked in self.by_build.values():
            ranked.sort(key=self.ranks.__getitem__)
        self._sort_builds()

    def _sort_builds(self) -> None:
        """Put the builds in ascending order."""
        builds = sorted(self.by_build.items())
        self.by_build.clear()
        self.by_build.update(builds)
