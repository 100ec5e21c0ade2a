"""Open RPCs and what became of their picks."""

from __future__ import annotations

from dataclasses import dataclass, field

from linenbridge.interface import NEVER_RAN


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
    soft_deadline: int
    deadline: int
    cost: float
    utility: float
    key: int | None
    picks: list[Pick] = field(default_factory=list)
    streaming: bool = False
    ended: bool = False

    def first_that_may_have_run(self) -> Pick | None:
        """The one fact behind the second rule: a pick still out may have run too."""
        return next((pick for pick in self.picks if pick.outcome not in NEVER_RAN), None)

    def out(self) -> int:
        return sum(pick.outcome is None for pick in self.picks)
