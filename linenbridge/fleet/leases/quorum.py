"""Counting acceptors: who sits on the quorum now, who did before, and what is a majority of both.

Decides without I/O. While the quorum changes by one acceptor both lists count; it must never let one list
speak for the other.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple


class Quorum(NamedTuple):
    """The acceptors by name, in order. `before` differs from `now` by one acceptor at most."""

    generation: int
    now: tuple[str, ...]
    before: tuple[str, ...]

    def everyone(self) -> tuple[str, ...]:
        """All acceptors that may be asked, in a lasting order."""
        return self.now + tuple(acceptor for acceptor in self.before if acceptor not in self.now)

    def changes(self) -> bool:
        return self.now != self.before


def majority(acceptors: Collection[str]) -> int:
    return len(acceptors) // 2 + 1


def carries(quorum: Quorum, answered: Collection[str]) -> bool:
    """Whether those are a majority of the quorum, of both lists while it changes."""
    parts = (quorum.now, quorum.before)
    return all(sum(acceptor in answered for acceptor in part) >= majority(part) for part in parts)


def hopeless(quorum: Quorum, against: Collection[str]) -> bool:
    """Whether no majority is left once those have refused."""
    return not carries(quorum, [acceptor for acceptor in quorum.everyone() if acceptor not in against])


def enough_to_return(quorum: Quorum, acceptor: str, remembering: Collection[str]) -> bool:
    """Whether every majority that this acceptor was part of has another member among those heard: then what
    the acceptor may have forgotten, alone or with no other, is among what they tell."""
    others = sum(other in remembering for other in quorum.now if other != acceptor)
    return others > len(quorum.now) - majority(quorum.now)


def supported_until(quorum: Quorum, sent: dict[str, int]) -> int | None:
    """The latest time such that a majority of the quorum has taken an ask sent then or later; None where no
    majority has taken one. `sent` holds the latest such time by acceptor."""
    found = []
    for part in (quorum.now, quorum.before):
        times = sorted((sent[acceptor] for acceptor in part if acceptor in sent), reverse=True)
        if len(times) < majority(part):
            return None
        found.append(times[majority(part) - 1])
    return min(found)
