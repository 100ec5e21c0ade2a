"""Open requests and the outcomes of their attempts.

Keeps state without I/O. A request ends when `linenbridge.policy` ends it, not by itself.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from linenbridge.interface import NOT_EXECUTED, Id, Outcome


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at an instance; `outcome` is None while it is in flight."""

    instance_index: int
    build: int
    sent_at: int
    outcome: Outcome | None = None
    cancelled: bool = False


@dataclass(slots=True)
class Request:
    """A request that this gateway has admitted and not yet answered. Times are microseconds."""

    id: str
    method_index: int
    arrived_at: int
    latency_objective: int  # when the response is late
    deadline: int
    cost: float  # in requests of mean work
    weight: float
    key: Id | None
    attempts: list[Attempt] = field(default_factory=list)
    streaming: bool = False
    ended: bool = False

    def first_possible_execution(self) -> Attempt | None:
        """The first attempt that the instance may have executed; one in flight may be executed too."""
        for attempt in self.attempts:
            if attempt.outcome is None or attempt.outcome not in NOT_EXECUTED:
                return attempt
        return None

    def in_flight(self) -> int:
        """How many attempts are in flight."""
        return sum(attempt.outcome is None for attempt in self.attempts)

    def count(self, outcome: Outcome) -> int:
        """How many attempts have had that outcome."""
        return sum(attempt.outcome == outcome for attempt in self.attempts)


class OpenRequests(dict[str, Request]):
    """Open requests by id, and when each needs its final answer."""

    def __init__(self) -> None:
        super().__init__()
        self.due: list[tuple[int, str]] = []

    def add(self, request: Request, due: int) -> None:
        """Admit a request that needs its final answer at `due`."""
        self[request.id] = request
        heapq.heappush(self.due, (due, request.id))

    def end(self, request: Request) -> None:
        """The request is over for the client; it stays in the table while an attempt is in flight."""
        request.ended = True
        if not request.in_flight():
            self.pop(request.id, None)

    def used_indices(self) -> set[int]:
        """The indices of the instances of all attempts: none of them may be assigned anew."""
        return {attempt.instance_index for request in self.values() for attempt in request.attempts}

    def next_due(self) -> int | None:
        """When the first request that is not ended needs its final answer."""
        while self.due:
            request = self.get(self.due[0][1])
            if request is not None and not request.ended:
                return self.due[0][0]
            heapq.heappop(self.due)
        return None

    def overdue(self, now: int) -> Iterator[Request]:
        """Requests that need their final answer by now, each once; streaming ones are answered already."""
        while self.due and self.due[0][0] <= now:
            request = self.get(heapq.heappop(self.due)[1])
            if request and not request.ended and not request.streaming:
                yield request
