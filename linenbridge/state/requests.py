"""Open RPCs and what became of their picks.

Keeps state without I/O. It must never end an RPC on its own.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from linenbridge.interface import NOT_EXECUTED, Id


@dataclass(slots=True)
class Pick:
    """One send of an RPC; `outcome` is None while it is out."""

    instance: int
    build: int
    sent: int
    outcome: str | None = None
    cancelled: bool = False


@dataclass(slots=True)
class Rpc:
    """An RPC that this gateway has taken and not yet answered."""

    id: str
    method: int
    arrived: int
    latency_objective: int
    deadline: int
    cost: float
    utility: float
    key: Id | None
    picks: list[Pick] = field(default_factory=list)
    streaming: bool = False
    ended: bool = False

    def first_that_may_have_run(self) -> Pick | None:
        """The one fact behind the second rule: a pick still out may have run too."""
        return next((pick for pick in self.picks if pick.outcome not in NOT_EXECUTED), None)

    def out(self) -> int:
        return sum(pick.outcome is None for pick in self.picks)


class OpenRpcs(dict[str, Rpc]):
    """Open RPCs by id, and when each must have had its final answer."""

    def __init__(self) -> None:
        super().__init__()
        self.due: list[tuple[int, str]] = []

    def add(self, rpc: Rpc, due: int) -> None:
        self[rpc.id] = rpc
        heapq.heappush(self.due, (due, rpc.id))

    def end(self, rpc: Rpc) -> None:
        """Over for the client; kept while a pick is still out."""
        rpc.ended = True
        if not rpc.out():
            self.pop(rpc.id, None)

    def instances(self) -> set[int]:
        """Where any of them has been: their indices must go on meaning the same."""
        return {pick.instance for rpc in self.values() for pick in rpc.picks}

    def next_due(self) -> int | None:
        """When the first that is still open must have had its answer."""
        while self.due and ((rpc := self.get(self.due[0][1])) is None or rpc.ended):
            heapq.heappop(self.due)
        return self.due[0][0] if self.due else None

    def overdue(self, now: int) -> Iterator[Rpc]:
        while self.due and self.due[0][0] <= now:
            rpc = self.get(heapq.heappop(self.due)[1])
            if rpc and not rpc.ended and not rpc.streaming:
                yield rpc
