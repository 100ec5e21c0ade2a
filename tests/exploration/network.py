"""Simulated network of a small world, where the delivery of each message is a choice of the search.

Owns the messages between sending and delivery. A message is prompt, late by some ticks, lost, or duplicated.
The world decides which processes are partitioned from each other.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import NamedTuple


class Transit(NamedTuple):
    """One message in flight. `number` orders messages that are due at the same tick."""

    due: int
    number: int
    sender: str
    to: str
    message: object


class Network:
    """Messages whose delivery is not chosen yet, and messages in flight."""

    def __init__(self, late_ticks: tuple[int, ...], duplicate_after: int) -> None:
        """Set by how many ticks a message may be late, and after how many a duplicate is delivered."""
        self.late_ticks = late_ticks
        self.duplicate_after = duplicate_after
        self.undecided: list[tuple[str, str, object]] = []
        self.in_flight: list[Transit] = []
        self.last_number = 0

    def send(self, sender: str, to: str, message: object) -> None:
        """Queue a message; its delivery is chosen after those of the messages queued before."""
        self.undecided.append((sender, to, message))

    def delivery_options(self, faults: Collection[str], tick: int) -> Iterator[str]:
        """Yield the possible deliveries of the first queued message, the fault-free one first."""
        sender, to, message = self.undecided[0]
        label = f"{type(message).__name__} {sender}>{to} at {tick}"
        yield "prompt"
        if "late" in faults:
            yield from (f"late {ticks} {label}" for ticks in self.late_ticks)
        if "lost" in faults:
            yield f"lost {label}"
        if "duplicated" in faults:
            yield f"duplicated {label}"

    def choose_delivery(self, option: str) -> list[tuple[int, str, str, object]]:
        """Remove the first queued message; return each of its deliveries as delay in ticks, sender, receiver
        and message.

        Raises ValueError for an unknown option.
        """
        sender, to, message = self.undecided.pop(0)
        match option.split():
            case ["prompt", *_]:
                delays = [0]
            case ["duplicated", *_]:
                delays = [0, self.duplicate_after]
            case ["late", ticks, *_]:
                delays = [int(ticks)]
            case ["lost", *_]:
                delays = []
            case _:
                raise ValueError(f"unknown delivery of a message: {option}")
        return [(delay, sender, to, message) for delay in delays]

    def put_in_flight(self, due: int, sender: str, to: str, message: object) -> None:
        """Schedule the delivery of a message at tick `due`."""
        self.last_number += 1
        self.in_flight.append(Transit(due, self.last_number, sender, to, message))

    def take_due(self, now: int, paused: Collection[str]) -> Transit | None:
        """Remove and return the first message due at a process that is not paused, or None."""
        due = [transit for transit in self.in_flight if transit.due <= now and transit.to not in paused]
        if not due:
            return None
        first = min(due, key=lambda transit: transit[:2])
        self.in_flight.remove(first)
        return first
