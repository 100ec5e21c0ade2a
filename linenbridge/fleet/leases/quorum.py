"""The acceptors that are asked, and what is a majority of them.

Decides without I/O. While the quorum changes by one acceptor, a majority of the earlier list and one of
the present list are needed.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple


class Quorum(NamedTuple):
    """The acceptors by name, in order. `previous` is the list of the earlier generation; it differs by one
    name at most."""

    generation: int
    acceptors: tuple[str, ...]
    previous: tuple[str, ...]

    def all_acceptors(self) -> tuple[str, ...]:
        """All acceptors of both lists, without repetitions."""
        return self.acceptors + tuple(
            acceptor for acceptor in self.previous if acceptor not in self.acceptors
        )

    def is_changing(self) -> bool:
        """Whether the quorum is changing from one list to the other."""
        return self.acceptors != self.previous


def majority(acceptors: Collection[str]) -> int:
    """How many of those acceptors are a majority."""
    return len(acceptors) // 2 + 1


def has_majority(quorum: Quorum, answered: Collection[str]) -> bool:
    """Whether those that answered are a majority of both lists."""
    lists = (quorum.acceptors, quorum.previous)
    return all(
        sum(acceptor in answered for acceptor in acceptors) >= majority(acceptors) for acceptors in lists
    )


def majority_impossible(quorum: Quorum, rejected_by: Collection[str]) -> bool:
    """Whether no majority is left without those that have refused."""
    return not has_majority(
        quorum, [acceptor for acceptor in quorum.all_acceptors() if acceptor not in rejected_by]
    )


def enough_for_recovery(quorum: Quorum, acceptor: str, with_records: Collection[str]) -> bool:
    """Whether every majority that this acceptor was part of has another member among `with_records`: then
    whatever it may have lost is among their records."""
    others = sum(other in with_records for other in quorum.acceptors if other != acceptor)
    return others > len(quorum.acceptors) - majority(quorum.acceptors)


def majority_sent_at(quorum: Quorum, sent_at: dict[str, int]) -> int | None:
    """The latest time such that a majority has granted a request sent then or later; None if no majority
    has granted one. `sent_at` maps each acceptor to the latest such time."""
    found = []
    for acceptors in (quorum.acceptors, quorum.previous):
        times = sorted((sent_at[acceptor] for acceptor in acceptors if acceptor in sent_at), reverse=True)
        if len(times) < majority(acceptors):
            return None
        found.append(times[majority(acceptors) - 1])
    return min(found)
