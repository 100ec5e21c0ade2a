"""The messages of a small world, each with a fate that is chosen when the message is sent.

Owns the messages between their sending and their delivery. A message is prompt, late by some ticks, lost, or
delivered twice. Which processes reach each other is up to the world.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import NamedTuple


class Transit(NamedTuple):
    """One message on its way. `number` orders messages that are due at the same tick."""

    due: int
    number: int
    sender: str
    to: str
    message: object


class Network:
    """Messages whose fate is not chosen yet, and those in flight."""

    def __init__(self, late_ticks: tuple[int, ...], duplicate_after: int) -> None:
        """Take by how many ticks a message may be late, and after how many one is delivered again."""
        self.late_ticks = late_ticks
        self.duplicate_after = duplicate_after
        self.undecided: list[tuple[str, str, object]] = []
        self.in_flight: list[Transit] = []
        self.last_number = 0

    def send(self, sender: str, to: str, message: object) -> None:
        """Send a message; its fate is the next choice, after those of messages sent before."""
        self.undecided.append((sender, to, message))

    def delivery_options(self, faults: Collection[str], tick: int) -> Iterator[str]:
        """Yield what may happen to the first message sent, the first if nothing goes wrong."""
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
        """Return the deliveries of the first message sent: ticks until then, sender, receiver, message."""
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
                raise ValueError(f"no such fate: {option}")
        return [(delay, sender, to, message) for delay in delays]

    def put_in_flight(self, due: int, sender: str, to: str, message: object) -> None:
        """Let a message be delivered at a tick."""
        self.last_number += 1
        self.in_flight.append(Transit(due, self.last_number, sender, to, message))

    def take_due(self, now: int, paused: Collection[str]) -> Transit | None:
        """Remove and return the first message that is due to a process that runs; None if there is none."""
        due = [transit for transit in self.in_flight if transit.due <= now and transit.to not in paused]
        if not due:
            return None
        first = min(due, key=lambda transit: transit[:2])
        self.in_flight.remove(first)
        return first
