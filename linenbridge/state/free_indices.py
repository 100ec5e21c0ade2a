"""Indices that a new instance may take: those of removed instances, the lowest first."""

from __future__ import annotations

import heapq

from linenbridge.interface import InstanceState


class FreeIndices:
    """The indices of removed instances, assigned in ascending order within one list update.

    Three kinds of freed indices wait for the next update: those at or before the last one assigned in this
    update, those that this update has added to the table, and those in use. A freed index whose instance is
    listed again stays in the heap and is dropped when it is reached. Each index is in the heap at most once.
    """

    def __init__(self) -> None:
        self.heap: list[int] = []
        self.queued: set[int] = set()  # in the heap or deferred
        self.deferred: list[int] = []
        self.last_assigned = -1
        self.initial_index_count = 0

    def begin(self, index_count: int) -> None:
        """Begin an update of a table with `index_count` indices."""
        self.last_assigned = -1
        self.initial_index_count = index_count

    def assign(self, states: list[int], used: set[int]) -> int | None:
        """Return the lowest free index after the last one assigned, or None if the table has none."""
        while self.heap:
            index = heapq.heappop(self.heap)
            if index in used and states[index] == InstanceState.REMOVED:
                self.deferred.append(index)
                continue
            self.queued.discard(index)
            if states[index] == InstanceState.REMOVED:
                self.last_assigned = index
                return index
        self.last_assigned = self.initial_index_count
        return None

    def release(self, index: int) -> None:
        """Make the index of a removed instance available for assignment."""
        if index in self.queued:
            return
        self.queued.add(index)
        if self.last_assigned < index < self.initial_index_count:
            heapq.heappush(self.heap, index)
        else:
            self.deferred.append(index)

    def finish(self) -> None:
        """End the update: make the deferred indices available from the next update on."""
        for index in self.deferred:
            heapq.heappush(self.heap, index)
        self.deferred.clear()
