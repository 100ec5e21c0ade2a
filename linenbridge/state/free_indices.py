"""Indices that a new instance may take: those of removed instances, the lowest first."""

from __future__ import annotations

import heapq

from linenbridge.interface import InstanceState


class FreeIndices:
    """The indices of removed instances, assigned in ascending order within one list update.

    Within an update an index that is freed at or before the last one assigned waits for the next update, as
    do the indices that the update has added and those in use. An index that was freed stays in the heap when
    its instance comes back, and is dropped when it is reached; each is in the heap once at most.
    """

    def __init__(self) -> None:
        self.heap: list[int] = []
        self.known: set[int] = set()  # in the heap or deferred
        self.deferred: list[int] = []
        self.last_assigned = -1
        self.end = 0

    def begin(self, index_count: int) -> None:
        """Begin an update of a table with that many indices."""
        self.last_assigned = -1
        self.end = index_count

    def assign(self, states: list[int], used: set[int]) -> int | None:
        """The lowest free index after the last one assigned; None where there is none before the end."""
        while self.heap:
            index = heapq.heappop(self.heap)
            if index in used and states[index] == InstanceState.REMOVED:
                self.deferred.append(index)
                continue
            self.known.discard(index)
            if states[index] == InstanceState.REMOVED:
                self.last_assigned = index
                return index
        self.last_assigned = self.end
        return None

    def release(self, index: int) -> None:
        """The instance with this index is removed."""
        if index in self.known:
            return
        self.known.add(index)
        if self.last_assigned < index < self.end:
            heapq.heappush(self.heap, index)
        else:
            self.deferred.append(index)

    def finish(self) -> None:
        """End the update: the deferred indices may be assigned from the next one on."""
        for index in self.deferred:
            heapq.heappush(self.heap, index)
        self.deferred.clear()
