"""The messages between proposers and acceptors, and among acceptors, as typed arrays.

Types only: values are checked against bounds by the receiver. Field order and tags are the wire format;
the tags are those of earlier versions, so that members of two versions understand each other. Times are
microseconds.
"""

from __future__ import annotations

from msgspec import Struct


class Acquire(Struct, array_like=True, frozen=True):
    """Request for a lease of one place, for `length` microseconds, under a term."""

    task: str
    slot: int
    term: int
    duration: int


class Relinquish(Struct, array_like=True, frozen=True):
    """The sender gives up a place, and every request for it, up to and including a term."""

    task: str
    slot: int
    term: int


class StatusQuery(Struct, array_like=True, frozen=True):
    """Request for the status of a task. `ticket` is the sender's position in the queue (0: none yet)."""

    task: str
    slots: int
    queue_position: int


class LeaseRequest(Struct, array_like=True, frozen=True, tag="round"):
    """One proposer's request for all of its tasks, the same to every acceptor. `revision` is the newest
    revision that it has seen of the acceptor that it is sent to."""

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
    """A lease that an acceptor has refused: the reason, and the newest term it knows of the place."""

    task: str
    slot: int
    term: int
    code: str
    newest_term: int


class TaskStatus(Struct, array_like=True, frozen=True):
    """The status of a task at an acceptor: the newest ticket, how many wait before the sender, and for
    each place the newest term, the time left of another member's lease, and its holder."""

    task: str
    newest_queue_position: int
    members_ahead: int
    terms: list[int]
    remaining: list[int]
    holders: list[str]


class LeaseReply(Struct, array_like=True, frozen=True, tag="said"):
    """An acceptor's answer to one request. `code` is the reason if the acceptor refuses the whole
    request, else empty."""

    number: int
    acceptor: str
    generation: int
    revision: int
    code: str
    granted: list[Granted]
    rejected: list[Rejected]
    statuses: list[TaskStatus]


class RecoveryRequest(Struct, array_like=True, frozen=True, tag="recall"):
    """An acceptor that recovers asks another for its records."""

    number: int
    acceptor: str
    generation: int


class SlotRecord(Struct, array_like=True, frozen=True):
    """An acceptor's record of one place: newest term and its holder, the last term given back, the time
    left."""

    task: str
    slot: int
    term: int
    holder: str
    relinquished_term: int
    remaining: int


class RecoveryReply(Struct, array_like=True, frozen=True, tag="table"):
    """All records of an acceptor. `recovery` is the number of its own recovery. `founding_recovery`
    is the number of the
    asking acceptor's recovery in which the sender saw it without records when it founded the quorum (0:
    it did not). `revision` is the newest revision that the sender has seen of the asking acceptor."""

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
