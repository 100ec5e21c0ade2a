"""What goes wrong with leases, and what acceptors refuse.

Owns the words only. It must never decide when one of them applies.
"""

from __future__ import annotations

from linenbridge.fleet.errors import FleetError, Refusal


class LeaseError(FleetError):
    """Anything about leases."""


class HeldByAnother(Refusal):
    code = "held"
    advice = "nothing to do: the place is free again when its holder leaves or its lease runs out"


class BehindOthers(Refusal):
    code = "behind"
    advice = "nothing to do: members that asked earlier come first"


class OlderTerm(Refusal):
    code = "older"
    advice = "nothing to do: the member asks again with a newer term"


class LeaseTooLong(Refusal):
    code = "too-long"
    advice = "set the same `lease` in the settings of all members"


class AcceptorAside(Refusal):
    code = "aside"
    advice = (
        "wait for the longest lease after the acceptor's start; "
        "if it stays so, look at the acceptor's own log"
    )


class OtherGeneration(Refusal):
    code = "generation"
    advice = "hand the newer settings to all members and send each SIGHUP"


class QuorumLost(LeaseError):
    """No majority of the quorum answers: nothing is granted."""

    formerly = "CouncilLost"
    advice = (
        "start the quorum's members that are down, or mend the links to them; tasks stay unheld until then"
    )


class MemoryLost(LeaseError):
    """An acceptor without memory can't hear enough others that have theirs."""

    advice = (
        "start the other acceptors with their stores; if all stores are gone, set `first-term` above every "
        "term that was ever used and start all acceptors anew"
    )


class DiskWentBack(LeaseError):
    """An acceptor's store is older than what others have heard from it."""

    advice = (
        "the acceptor stands aside and learns anew; find out who restored its store, and never restore one"
    )


class StoreUnusable(LeaseError):
    """Promises can't be kept on disk: the acceptor grants nothing."""

    advice = (
        "give the store a disk that can be written, with room; the acceptor takes part again after a restart"
    )


class StoreTorn(LeaseError):
    """The store can't be read whole."""

    advice = "move the damaged file away and restart: the acceptor learns anew from the others"
