"""The decisions of proposers and acceptors, which the host carries out in the order given."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from linenbridge.fleet.leases.messages import Message, SlotRecord


class Send(Struct, frozen=True):
    """Send a message to a member."""

    to: str
    message: Message


class Persist(Struct, frozen=True):
    """Store the records and the acceptor's present facts durably, then carry out `then`, if it is given.

    If the store fails, `then` is dropped and the acceptor's `on_store_failed` is called.
    """

    records: tuple[SlotRecord, ...]
    then: Send | None


class LeaseAcquired(Struct, frozen=True):
    """The member holds a slot of a task from now on."""

    task: str
    slot: int
    term: int


class LeaseLost(Struct, frozen=True):
    """The member does not hold the slot any more: the lease expired, or was given back."""

    task: str
    slot: int
    term: int


class LogEvent(Struct, frozen=True):
    """Write one line of the log."""

    name: str
    fields: Mapping[str, object]


ProposerDecision = Send | LeaseAcquired | LeaseLost | LogEvent
AcceptorDecision = Send | Persist | LogEvent
