"""Open requests and the outcomes of their attempts.

This module holds state and does no I/O. `linenbridge.policy` decides when a request ends.
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
    """A request that this gateway has admitted and not yet answered. Times are in microseconds."""

    id: str
    method_index: int
    arrived_at: int
    latency_objective: int  # time after which the response is late
    deadline: int
    cost: float  # in requests of mean work
    weight: float
    key: Id | None
    can_hedge: bool = True  # whether its transport can send an attempt while another one is in flight
    attempts: list[Attempt] = field(default_factory=list)
    streaming: bool = False
    ended: bool = False

    def first_possible_execution(self) -> Attempt | None:
        """Return the first attempt that may have been executed, or None; one in flight may be executed."""
        for attempt in self.attempts:
            if attempt.outcome is None or attempt.outcome not in NOT_EXECUTED:
                return attempt
        return None

    def in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return sum(attempt.outcome is None for attempt in self.attempts)

    def count(self, outcome: Outcome) -> int:
        """Return the number of attempts with this outcome."""
        return sum(attempt.outcome == outcome for attempt in self.attempts)


class OpenRequests(dict[str, Request]):
    """Open requests by id, with a heap of the times at which their final answers are due."""

    def __init__(self) -> None:
        super().__init__()
        self.due: list[tuple[int, str]] = []

    def add(self, request: Request, due: int) -> None:
        """Add a request whose final answer is due at `due`."""
        self[request.id] = request
        heapq.heappush(self.due, (due, request.id))

    def end(self, request: Request) -> None:
        """Mark the request as ended for the client; it stays in the table while an attempt is in flight."""
        request.ended = True
        if not request.in_flight():
            self.pop(request.id, None)

    def used_indices(self) -> set[int]:
        """Return the instance indices of all attempts; none of them may be assigned to a new instance."""
        return {attempt.instance_index for request in self.values() for attempt in request.attempts}

    def next_due(self) -> int | None:
        """Return the earliest due time of a final answer to a request that has not ended, or None."""
        while self.due:
            request = self.get(self.due[0][1])
            if request is not None and not request.ended:
                return self.due[0][0]
            heapq.heappop(self.due)
        return None

    def overdue(self, now: int) -> Iterator[Request]:
        """Yield each request whose final answer is due by `now`, once.

        Streaming requests are left out, since they are being answered already.
        """
        while self.due and self.due[0][0] <= now:
            request = self.get(heapq.heappop(self.due)[1])
            if request and not request.ended and not request.streaming:
                yield request
