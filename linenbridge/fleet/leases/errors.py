"""Errors of leases, and the reasons for which acceptors reject a request.

Types only; the proposer and the acceptor decide when one of them applies.
"""

from __future__ import annotations

from linenbridge.errors import ControlPlaneError, Rejection


class LeaseError(ControlPlaneError):
    """The base class of the errors of leases."""


class HeldByAnother(Rejection):
    """The slot is leased to another member."""

    code = "held"
    advice = "nothing to do: the place is free again when its holder leaves or its lease runs out"


class BehindOthers(Rejection):
    """Members with lower positions in the queue wait for the task."""

    code = "behind"
    advice = "nothing to do: members that asked earlier come first"


class OlderTerm(Rejection):
    """The requested term is not above the newest that the acceptor has recorded."""

    code = "older"
    advice = "nothing to do: the member asks again with a newer term"


class LeaseTooLong(Rejection):
    """The requested duration is above the acceptor's `longest`."""

    code = "too-long"
    advice = "set the same `lease` in the settings of all members"


class AcceptorAside(Rejection):
    """The acceptor has not recovered yet, or its store failed."""

    code = "aside"
    advice = (
        "wait for the longest lease after the acceptor's start; "
        "if it stays so, look at the acceptor's own log"
    )


class OtherGeneration(Rejection):
    """Proposer and acceptor have different generations of the quorum."""

    code = "generation"
    advice = "hand the newer settings to all members and send each SIGHUP"


class QuorumLost(LeaseError):
    """No majority of the acceptors replies: nothing is granted."""

    advice = (
        "start the quorum's members that are down, or mend the links to them; tasks stay unheld until then"
    )


class MemoryLost(LeaseError):
    """An acceptor without records can't reach enough other acceptors that have records."""

    advice = (
        "start the other acceptors with their stores; if all stores are gone, set `first-term` above every "
        "term that was ever used and start all acceptors anew"
    )


class DiskWentBack(LeaseError):
    """An acceptor's store is older than what other members have seen of it: it was restored from a copy."""

    advice = (
        "the acceptor stands aside and learns anew; find out who restored its store, and never restore one"
    )


class StoreUnusable(LeaseError):
    """The store can't be opened or written: the acceptor grants nothing."""

    advice = (
        "give the store a disk that can be written, with room; the acceptor takes part again after a restart"
    )


class StoreTorn(LeaseError):
    """The store is damaged: it can't be read completely."""

    advice = "move the damaged file away and restart: the acceptor learns anew from the others"
