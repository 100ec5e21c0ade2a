"""The messages between proposers and acceptors, and between acceptors, as typed arrays.

Owns their form. It must never check more than the form: bounds are the cores'.
"""

from __future__ import annotations

from msgspec import Struct


class Acquire(Struct, array_like=True, frozen=True):
    """One place of a task, for so long, under a term."""

    task: str
    place: int
    term: int
    length: int


class Relinquish(Struct, array_like=True, frozen=True):
    """A place given back, or an ask for it taken back, up to a term."""

    task: str
    place: int
    term: int


class StatusQuery(Struct, array_like=True, frozen=True):
    """To be told how a task stands; `ticket` keeps the turn among those that wait (0: none yet)."""

    task: str
    places: int
    ticket: int


class LeaseRequest(Struct, array_like=True, frozen=True, tag="round"):
    """One proposer's round: everything it has to say, to every acceptor alike. `stamps` is the newest that
    it heard of the acceptor that it is sent to."""

    number: int
    proposer: str
    generation: int
    stamp: int
    acquires: list[Acquire]
    relinquishes: list[Relinquish]
    queries: list[StatusQuery]


class Granted(Struct, array_like=True, frozen=True):
    """An acceptor's yes."""

    task: str
    place: int
    term: int


class Rejected(Struct, array_like=True, frozen=True):
    """An acceptor's no: which refusal, and the newest term it knows of the place."""

    task: str
    place: int
    term: int
    code: str
    newest: int


class TaskStatus(Struct, array_like=True, frozen=True):
    """How a task stands at an acceptor: the newest ticket, the proposer's position among those that wait,
    and for each place the newest term, how long it is still another's, and whose."""

    task: str
    ticket: int
    position: int
    terms: list[int]
    left: list[int]
    holders: list[str]


class LeaseReply(Struct, array_like=True, frozen=True, tag="said"):
    """An acceptor's answer to one round. `code` is not empty where the acceptor says no to all of it."""

    number: int
    acceptor: str
    generation: int
    stamp: int
    code: str
    granted: list[Granted]
    rejected: list[Rejected]
    statuses: list[TaskStatus]


class RecoveryRequest(Struct, array_like=True, frozen=True, tag="recall"):
    """An acceptor that comes back asks what another remembers."""

    number: int
    acceptor: str
    generation: int


class PlaceRecord(Struct, array_like=True, frozen=True):
    """What an acceptor remembers of one place: newest term and whose, the term given back, what is left."""

    task: str
    place: int
    term: int
    holder: str
    closed: int
    left: int


class RecoveryReply(Struct, array_like=True, frozen=True, tag="table"):
    """All that an acceptor remembers. `own` is the number of its own return, `blank` that of the asking
    acceptor's return in which this one saw it without memory when it founded the quorum (0: it did not).
    `stamp` is the newest it heard of the acceptor that asked."""

    number: int
    acceptor: str
    own: int
    blank: int
    generation: int
    settled: int
    remembers: bool
    stamp: int
    places: list[PlaceRecord]
    tickets: dict[str, int]


Message = LeaseRequest | LeaseReply | RecoveryRequest | RecoveryReply
