"""Indices that may be given to a new instance: those whose instance is gone, the lowest first.

Keeps state without I/O. It must never give away an index that is still in use.
"""

from __future__ import annotations

import heapq

from linenbridge.interface import InstanceState


class FreeIndices:
    """The indices of instances that are gone, given out in ascending order within one list.

    Within a list an index that is freed at or before the last one given out waits for the next list, as do
    the indices that the list has added and those in use. An index that was freed stays in the heap when its
    instance comes back, and is dropped from it when it is met; each stands there once at most.
    """

    def __init__(self) -> None:
        self.heap: list[int] = []
        self.known: set[int] = set()  # in the heap or put off
        self.put_off: list[int] = []
        self.last, self.end = -1, 0

    def begin(self, indices: int) -> None:
        """A list begins, with that many indices there are."""
        self.last, self.end = -1, indices

    def take(self, state: list[int], used: set[int]) -> int | None:
        """The lowest free index after the last one given out, None where there is none up to the end."""
        while self.heap:
            i = heapq.heappop(self.heap)
            if i in used and state[i] == InstanceState.REMOVED:
                self.put_off.append(i)
                continue
            self.known.discard(i)
            if state[i] == InstanceState.REMOVED:
                self.last = i
                return i
        self.last = self.end
        return None

    def release(self, i: int) -> None:
        """The instance of this index is gone."""
        if i in self.known:
            return
        self.known.add(i)
        if self.last < i < self.end:
            heapq.heappush(self.heap, i)
        else:
            self.put_off.append(i)

    def finish(self) -> None:
        """The list is done: what was put off may be given out from the next one on."""
        for i in self.put_off:
            heapq.heappush(self.heap, i)
        self.put_off.clear()
