"""The types of an acceptor's durable state."""

from __future__ import annotations

from typing import NamedTuple

from linenbridge.fleet.leases.messages import SlotRecord


class AcceptorFacts(NamedTuple):
    """The facts that an acceptor stores beside the records of slots."""

    has_records: bool = False  # whether the records are complete since the quorum was founded
    confirmed_generation: int = 0  # the newest generation of the quorum in which the acceptor could grant
    revision: int = 0  # the number of records that were ever stored
    max_lease: int = 0  # microseconds; the longest lease that any settings have allowed


class StoredState(NamedTuple):
    """The content of an acceptor's store when the process starts."""

    facts: AcceptorFacts = AcceptorFacts()
    records: tuple[SlotRecord, ...] = ()
