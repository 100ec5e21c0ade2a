"""The messages between askers and seats, and between seats, as typed arrays.

Owns their form. It must never check more than the form: bounds are the cores'.
"""

from __future__ import annotations

from msgspec import Struct


class Take(Struct, array_like=True, frozen=True):
    """One place of a task, for so long, under a term."""

    task: str
    place: int
    term: int
    length: int


class Give(Struct, array_like=True, frozen=True):
    """A place given back, or an ask for it taken back, up to a term."""

    task: str
    place: int
    term: int


class Want(Struct, array_like=True, frozen=True):
    """To be told how a task stands; `ticket` keeps the turn among those that wait (0: none yet)."""

    task: str
    places: int
    ticket: int


class Round(Struct, array_like=True, frozen=True, tag="round"):
    """One asker's round: everything it has to say, to every seat alike. `stamps` is the newest that it heard
    of the seat that it is sent to."""

    number: int
    asker: str
    generation: int
    stamp: int
    takes: list[Take]
    gives: list[Give]
    wants: list[Want]


class Taken(Struct, array_like=True, frozen=True):
    """A seat's yes."""

    task: str
    place: int
    term: int


class No(Struct, array_like=True, frozen=True):
    """A seat's no: which refusal, and the newest term it knows of the place."""

    task: str
    place: int
    term: int
    code: str
    newest: int


class Stands(Struct, array_like=True, frozen=True):
    """How a task stands at a seat: the newest ticket, the asker's position among those that wait, and for
    each place the newest term, how long it is still another's, and whose."""

    task: str
    ticket: int
    position: int
    terms: list[int]
    left: list[int]
    holders: list[str]


class Said(Struct, array_like=True, frozen=True, tag="said"):
    """A seat's answer to one round. `code` is not empty where the seat says no to all of it."""

    number: int
    seat: str
    generation: int
    stamp: int
    code: str
    taken: list[Taken]
    refused: list[No]
    stands: list[Stands]


class Recall(Struct, array_like=True, frozen=True, tag="recall"):
    """A seat that comes back asks what another remembers."""

    number: int
    seat: str
    generation: int


class Place(Struct, array_like=True, frozen=True):
    """What a seat remembers of one place: newest term and whose, the term given back, what is left."""

    task: str
    place: int
    term: int
    holder: str
    closed: int
    left: int


class Table(Struct, array_like=True, frozen=True, tag="table"):
    """All that a seat remembers. `own` is the number of its own return, `blank` that of the asking seat's
    return in which this one saw it without memory when it founded the council (0: it did not). `stamp` is
    the newest it heard of the seat that asked."""

    number: int
    seat: str
    own: int
    blank: int
    generation: int
    settled: int
    remembers: bool
    stamp: int
    places: list[Place]
    tickets: dict[str, int]


Word = Round | Said | Recall | Table
