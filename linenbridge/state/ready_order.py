"""The ready instances in their two orders: by index with the running sums of their sizes, and by rank.

Keeps state without I/O. It must never choose among instances, nor decide which of them is ready.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from itertools import accumulate, filterfalse

from linenbridge.interface import InstanceState


class ReadyOrder:
    """Kept up to date change by change: each costs two bisections and the moves that an insertion in a list
    costs. Where a list brings more changes than a bisection has steps, all are made in one pass at its end.

    The running sums are those of adding the sizes one by one in the order of `ready`, to the last bit: they
    are added anew from the first changed place on, once a list. `build`, `size`, `state` and `rank` are the
    arrays of the fleet, by index; no two ranks are equal.
    """

    def __init__(self, build: list[int], size: list[float], state: list[int], rank: list[int]) -> None:
        self.build, self.size, self.state, self.rank = build, size, state, rank
        self.ready: list[int] = []
        self.sizes = array("d")
        self.sums = array("d")
        self.near: dict[int, list[int]] = {}
        self.changed: set[int] = set()
        self.steps, self.first = 0, 0

    def begin(self) -> None:
        """A list begins."""
        self.steps, self.first = len(self.ready).bit_length(), len(self.ready)

    def remove(self, i: int) -> None:
        """The instance is ready no more, or not at this build: called while its build and rank still are what
        they were when it was added."""
        self.changed.add(i)
        if len(self.changed) > self.steps:
            return
        place = bisect_left(self.ready, i)
        del self.ready[place]
        del self.sizes[place]
        self.first = min(self.first, place)
        same = self.near[self.build[i]]
        del same[bisect_left(same, self.rank[i], key=self.rank.__getitem__)]
        if not same:
            del self.near[self.build[i]]

    def add(self, i: int) -> None:
        """The instance is ready, with its build, size and rank in force."""
        self.changed.add(i)
        if len(self.changed) > self.steps:
            return
        place = bisect_left(self.ready, i)
        self.ready.insert(place, i)
        self.sizes.insert(place, self.size[i])
        self.first = min(self.first, place)
        if self.build[i] not in self.near:
            self.near[self.build[i]] = []
            self._sort_builds()
        same = self.near[self.build[i]]
        same.insert(bisect_left(same, self.rank[i], key=self.rank.__getitem__), i)

    def resize(self, i: int) -> None:
        """An instance that was ready and stays so has another size."""
        if len(self.changed) > self.steps:
            return
        place = bisect_left(self.ready, i)
        self.sizes[place] = self.size[i]
        self.first = min(self.first, place)

    def finish(self) -> None:
        """The list is done."""
        if len(self.changed) > self.steps:
            self._remake()
        first = self.first
        if first == 0:
            self.sums[:] = array("d", accumulate(self.sizes))
        elif first < len(self.sums) or first < len(self.sizes):
            before = self.sums[first - 1]
            del self.sums[first - 1 :]
            self.sums.extend(accumulate(self.sizes[first:], initial=before))
        self.changed = set()

    def _remake(self) -> None:
        """All that a list has changed, at once. What it left alone stands in its order already."""
        self.first = 0
        self.ready[:] = [i for i, state in enumerate(self.state) if state == InstanceState.READY]
        self.sizes[:] = array("d", map(self.size.__getitem__, self.ready))
        for build, same in self.near.items():
            self.near[build] = list(filterfalse(self.changed.__contains__, same))
        for i in self.changed:
            if self.state[i] == InstanceState.READY:
                self.near.setdefault(self.build[i], []).append(i)
        for build in [build for build, same in self.near.items() if not same]:
            del self.near[build]
        for same in self.near.values():
            same.sort(key=self.rank.__getitem__)
        self._sort_builds()

    def _sort_builds(self) -> None:
        """The builds in ascending order."""
        builds = sorted(self.near.items())
        self.near.clear()
        self.near.update(builds)
