"""The messages between proposers and acceptors, and among acceptors, as typed arrays.

Types only; the receiver checks values against bounds. Field order and tags are the wire format. The tags are
those of earlier versions, so that members of different versions can exchange messages. Durations are in
microseconds.
"""

from __future__ import annotations

from msgspec import Struct


class Acquire(Struct, array_like=True, frozen=True):
    """Request for a lease of one slot, for `duration` microseconds, under a term."""

    task: str
    slot: int
    term: int
    duration: int


class Relinquish(Struct, array_like=True, frozen=True):
    """Notice that the sender gives up a slot, and every request for it, up to and including a term."""

    task: str
    slot: int
    term: int


class StatusQuery(Struct, array_like=True, frozen=True):
    """Request for the status of a task with `slots` slots.

    `queue_position` is the sender's number in the queue; 0 if it has none yet.
    """

    task: str
    slots: int
    queue_position: int


class LeaseRequest(Struct, array_like=True, frozen=True, tag="round"):
    """One proposer's request for all of its tasks, the same to every acceptor except for `revision`.

    `revision` is the newest revision that the proposer has seen of the acceptor that receives the request.
    """

    number: int
    proposer: str
    generation: int
    revision: int
    acquires: list[Acquire]
    relinquishes: list[Relinquish]
    queries: list[StatusQuery]


class Granted(Struct, array_like=True, frozen=True):
    """A lease that an acceptor has granted or renewed."""

    task: str
    slot: int
    term: int


class Rejected(Struct, array_like=True, frozen=True):
    """A lease that an acceptor has rejected.

    `code` is the reason (see `errors`), `newest_term` the newest term that the acceptor has recorded for the
    slot.
    """

    task: str
    slot: int
    term: int
    code: str
    newest_term: int


class TaskStatus(Struct, array_like=True, frozen=True):
    """The status of a task at an acceptor.

    `newest_queue_position` is the highest number in the queue so far, `members_ahead` how many members wait
    before the sender of the query. The lists have one entry per slot: the newest term, the time left of
    another member's lease (0: free), and the holder of that lease.
    """

    task: str
    newest_queue_position: int
    members_ahead: int
    terms: list[int]
    remaining: list[int]
    holders: list[str]


class LeaseReply(Struct, array_like=True, frozen=True, tag="said"):
    """An acceptor's reply to one request.

    `code` is the reason if the acceptor rejects the request as a whole, else empty. `revision` counts the
    records that the acceptor has stored.
    """

    number: int
    acceptor: str
    generation: int
    revision: int
    code: str
    granted: list[Granted]
    rejected: list[Rejected]
    statuses: list[TaskStatus]


class RecoveryRequest(Struct, array_like=True, frozen=True, tag="recall"):
    """A recovering acceptor's request for the records of another one."""

    number: int
    acceptor: str
    generation: int


class SlotRecord(Struct, array_like=True, frozen=True):
    """An acceptor's record of one slot.

    The record holds the newest term and its holder, the newest term that was relinquished, and the time left
    of the lease. The time left is not stored: it is 0 in a record that is written to or read from a store.
    """

    task: str
    slot: int
    term: int
    holder: str
    relinquished_term: int
    remaining: int


class RecoveryReply(Struct, array_like=True, frozen=True, tag="table"):
    """All records of an acceptor, for a recovering one.

    `recovery` is the number of the sender's own recovery. `founding_recovery` is the number that the
    requesting acceptor's recovery had when the sender founded the quorum with it, both without records; 0 if
    the sender did not. `revision` is the newest revision that the sender has seen of the requesting acceptor.
    """

    number: int
    acceptor: str
    recovery: int
    founding_recovery: int
    generation: int
    confirmed_generation: int
    has_records: bool
    revision: int
    records: list[SlotRecord]
    newest_queue_positions: dict[str, int]


Message = LeaseRequest | LeaseReply | RecoveryRequest | RecoveryReply
