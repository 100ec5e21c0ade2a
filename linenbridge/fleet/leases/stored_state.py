"""What an acceptor stores durably."""

from __future__ import annotations

from typing import NamedTuple

from linenbridge.fleet.leases.messages import SlotRecord


class AcceptorFacts(NamedTuple):
    """What an acceptor stores beside the records of slots."""

    has_records: bool = False  # whether the store goes back to the founding of the quorum
    confirmed_generation: int = 0  # the newest generation of the quorum in which the acceptor could grant
    revision: int = 0  # counts all records that were ever stored
    max_lease: int = 0  # microseconds; the longest lease that any settings have allowed


class StoredState(NamedTuple):
    """The content of an acceptor's store when the process starts."""

    facts: AcceptorFacts = AcceptorFacts()
    records: tuple[SlotRecord, ...] = ()
