"""The acceptors that are asked, and what is a majority of them.

Decides without I/O. While the quorum changes by one acceptor, a majority of the earlier list and one of
the present list are needed.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple


class Quorum(NamedTuple):
    """The acceptors by name, in order. `before` is the list of the earlier generation; it differs by one
    name at most."""

    generation: int
    now: tuple[str, ...]
    before: tuple[str, ...]

    def everyone(self) -> tuple[str, ...]:
        """All acceptors of both lists, without repetitions."""
        return self.now + tuple(acceptor for acceptor in self.before if acceptor not in self.now)

    def changes(self) -> bool:
        """Whether the quorum is changing from one list to the other."""
        return self.now != self.before


def majority(acceptors: Collection[str]) -> int:
    """How many of those acceptors are a majority."""
    return len(acceptors) // 2 + 1


def carries(quorum: Quorum, answered: Collection[str]) -> bool:
    """Whether those that answered are a majority of both lists."""
    parts = (quorum.now, quorum.before)
    return all(sum(acceptor in answered for acceptor in part) >= majority(part) for part in parts)


def hopeless(quorum: Quorum, against: Collection[str]) -> bool:
    """Whether no majority is left without those that have refused."""
    return not carries(quorum, [acceptor for acceptor in quorum.everyone() if acceptor not in against])


def enough_to_return(quorum: Quorum, acceptor: str, remembering: Collection[str]) -> bool:
    """Whether every majority that this acceptor was part of has another member among `remembering`: then
    whatever it may have lost is among their records."""
    others = sum(other in remembering for other in quorum.now if other != acceptor)
    return others > len(quorum.now) - majority(quorum.now)


def supported_until(quorum: Quorum, sent: dict[str, int]) -> int | None:
    """The latest time such that a majority has granted a request sent then or later; None if no majority
    has granted one. `sent` maps each acceptor to the latest such time."""
    found = []
    for part in (quorum.now, quorum.before):
        times = sorted((sent[acceptor] for acceptor in part if acceptor in sent), reverse=True)
        if len(times) < majority(part):
            return None
        found.append(times[majority(part) - 1])
    return min(found)
