"""Counting seats: who sits on the council now, who did before, and what is a majority of both.

Decides without I/O. While the council changes by one seat both lists count; it must never let one list speak
for the other.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple


class Council(NamedTuple):
    """The seats by name, in order. `before` differs from `now` by one seat at most."""

    generation: int
    now: tuple[str, ...]
    before: tuple[str, ...]

    def everyone(self) -> tuple[str, ...]:
        """All seats that may be asked, in a lasting order."""
        return self.now + tuple(seat for seat in self.before if seat not in self.now)

    def changes(self) -> bool:
        return self.now != self.before


def majority(seats: Collection[str]) -> int:
    return len(seats) // 2 + 1


def carries(council: Council, said: Collection[str]) -> bool:
    """Whether those are a majority of the council, of both lists while it changes."""
    return all(sum(seat in said for seat in part) >= majority(part) for part in (council.now, council.before))


def hopeless(council: Council, against: Collection[str]) -> bool:
    """Whether no majority is left once those have refused."""
    return not carries(council, [seat for seat in council.everyone() if seat not in against])


def enough_to_return(council: Council, seat: str, remembering: Collection[str]) -> bool:
    """Whether every majority that this seat was part of has another member among those heard: then what the
    seat may have forgotten, alone or with no other, is among what they tell."""
    others = sum(other in remembering for other in council.now if other != seat)
    return others > len(council.now) - majority(council.now)


def supported_until(council: Council, sent: dict[str, int]) -> int | None:
    """The latest time such that a majority of the council has taken an ask sent then or later; None where no
    majority has taken one. `sent` holds the latest such time by seat."""
    found = []
    for part in (council.now, council.before):
        times = sorted((sent[seat] for seat in part if seat in sent), reverse=True)
        if len(times) < majority(part):
            return None
        found.append(times[majority(part) - 1])
    return min(found)
