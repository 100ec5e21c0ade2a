"""The acceptors that grant leases, and the rules for a majority of them.

Decides without I/O. While the quorum changes by one acceptor, majorities of both the previous and the present
list are required.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple


class Quorum(NamedTuple):
    """The names of the acceptors, in order.

    `previous` is the list of the previous generation; it differs from `acceptors` by one name at most.
    """

    generation: int
    acceptors: tuple[str, ...]
    previous: tuple[str, ...]

    def all_acceptors(self) -> tuple[str, ...]:
        """Return the acceptors of both lists, each once."""
        return self.acceptors + tuple(name for name in self.previous if name not in self.acceptors)

    def is_changing(self) -> bool:
        """Return whether the quorum is changing from one list to the other."""
        return self.acceptors != self.previous


def majority(acceptors: Collection[str]) -> int:
    """Return the smallest number of the acceptors that is a majority."""
    return len(acceptors) // 2 + 1


def has_majority(quorum: Quorum, names: Collection[str]) -> bool:
    """Return whether the named acceptors are a majority of both lists."""
    return all(
        sum(acceptor in names for acceptor in acceptors) >= majority(acceptors)
        for acceptors in (quorum.acceptors, quorum.previous)
    )


def majority_impossible(quorum: Quorum, rejected_by: Collection[str]) -> bool:
    """Return whether so many acceptors have rejected a request that no majority can grant it."""
    return not has_majority(quorum, [name for name in quorum.all_acceptors() if name not in rejected_by])


def enough_for_recovery(quorum: Quorum, acceptor: str, with_records: Collection[str]) -> bool:
    """Return whether every majority with this acceptor has another member among `with_records`.

    If so, the records of those members contain all that this acceptor may have lost.
    """
    others = sum(other in with_records for other in quorum.acceptors if other != acceptor)
    return others > len(quorum.acceptors) - majority(quorum.acceptors)


def majority_sent_at(quorum: Quorum, sent_at: Mapping[str, int]) -> int | None:
    """Return the latest time such that a majority has granted a request sent then or later.

    `sent_at` has, for each acceptor that has granted a request, when the latest of these requests was
    sent. Return None without a majority.
    """
    found = []
    for acceptors in (quorum.acceptors, quorum.previous):
        times = sorted((sent_at[acceptor] for acceptor in acceptors if acceptor in sent_at), reverse=True)
        if len(times) < majority(acceptors):
            return None
        found.append(times[majority(acceptors) - 1])
    return min(found)
