"""One seat of the council: it grants places, each to one member at a time, and keeps what it promised.

Decides without I/O. Every yes waits until what it promises is kept. A seat grants alone and trusts nobody:
that a majority is needed is the asker's to count, so two majorities always share a seat that said yes to
one only. It must never grant a place that it keeps for another, nor a term that is not newer than all it
knows.

Decisions, as plain tuples:

    (KEEP, rows, to, word)    keep the rows (task, place, term, holder, closed) for good, then send the word
    (SAY, to, word)           send a word to a member
    (LOG, name, fields)       one line of the log
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from linenbridge.fleet.errors import FleetError
from linenbridge.fleet.leases.errors import (
    BehindOthers, HeldByAnother, LeaseTooLong, OlderTerm, OtherGeneration, Refusal, SeatAside, StoreUnusable,
)  # fmt: skip
from linenbridge.fleet.leases.guards import Guards, Key
from linenbridge.fleet.leases.queues import Queues
from linenbridge.fleet.leases.quorum import Council
from linenbridge.fleet.leases.returning import Returning
from linenbridge.fleet.leases.terms import Pace, heard_left, patience
from linenbridge.fleet.leases.words import (
    Give, No, Place, Recall, Round, Said, Stands, Table, Take, Taken, Want,
)  # fmt: skip

KEEP, SAY, LOG = "keep", "say", "log"
TASKS_MOST, PLACES_MOST, NAME_MOST = 1_000, 64, 64  # what one round may hold, and each of its names
SEAT_MOST = 10_000  # tasks that one seat ever hears of


class Kept(NamedTuple):
    """What a seat's store held when it started."""

    remembers: bool = False  # whether there was a store with the council's founding in it
    settled: int = 0  # the newest generation that this seat has settled in
    stamp: int = 0  # counts all that was ever kept
    longest: int = 0  # the longest lease that was ever to be waited for
    places: tuple[Place, ...] = ()


class Seat:
    """`name` sits on `council`; `kept` is what its store held. `trusted`: the store can't have gone back, so
    nothing is to be waited for after a start. `life` is another number for each start."""

    def __init__(
        self, name: str, council: Council, pace: Pace, kept: Kept, now: int, first_term: int = 1,
        trusted: bool = False, life: int = 1,
    ) -> None:  # fmt: skip
        self.name, self.council, self.pace, self.first_term = name, council, pace, first_term
        self.guards, self.queues, self.out = Guards(), Queues(), deque[tuple]()
        for place in kept.places:
            self.guards.merge(place, now)
        self.stamp, self.broken = kept.stamp, ""
        wait = pace._replace(longest=max(pace.longest, kept.longest))
        self.returning = Returning(name, council, wait, kept.remembers, kept.settled, now, life, trusted)
        self.heard: dict[str, int] = {}  # the newest stamp of each other seat

    # ---- inputs ------------------------------------------------------------------------------------

    def on_round(self, now: int, word: Round) -> None:
        """An asker's round is answered as a whole, once what it brings about is kept."""
        if not self._well_formed(word):
            return
        if word.stamp > self.stamp:
            self._went_back(now, word.asker, word.stamp)
        code = self._aside(word)
        taken, refused, stands, rows = list[Taken](), list[No](), list[Stands](), list[Key]()
        if not code:
            for give in word.gives:
                self._give(word.asker, give, rows)
            for want in word.wants:
                self.queues.of(want.task).hear(now, word.asker, want.ticket, patience(self.pace))
            for take in word.takes:
                self._take(now, word.asker, take, taken, refused, rows)
            stands = [self._stands(now, word.asker, want) for want in word.wants]
        answer = Said(
            word.number,
            self.name,
            self.council.generation,
            self.stamp + len(rows),
            code,
            taken,
            refused,
            stands,
        )
        self._answer(now, word.asker, answer, rows)

    def on_recall(self, now: int, word: Recall) -> None:
        """Another seat asks what this one remembers, whether or not this one has returned itself. One that
        has gone back itself says nothing: what it lacks would pass for memory."""
        self.returning.meets(word.seat, word.generation)
        if self.returning.doubted or self.broken:
            return
        back, places = self.returning, self.guards.rows(now)
        table = Table(
            word.number, self.name, back.number, back.founded_with.get(word.seat, 0),
            self.council.generation, back.settled, back.remembers, self.heard.get(word.seat, 0),
            places, self.queues.newest(),
        )  # fmt: skip
        self.out.append((SAY, word.seat, table))

    def on_table(self, now: int, word: Table) -> None:
        """What another seat remembers: taken in while this one returns, for what it tells of terms at any
        time."""
        if word.stamp > self.stamp:
            self._went_back(now, word.seat, word.stamp)
        if not self.returning.takes(word):
            return
        rows = list[Key]()
        for place in word.places:
            if self.guards.merge(place, now + heard_left(self.pace, place.left)):
                rows.append((place.task, place.place))
        for task, ticket in word.tickets.items():
            self.queues.meet(task, ticket)
        if rows:
            self._keep(now, rows, "", None)

    def on_stamp(self, now: int, seat: str, stamp: int) -> None:
        """How much another seat has kept, as it says itself."""
        self.heard[seat] = max(stamp, self.heard.get(seat, 0))

    def on_council(self, now: int, council: Council) -> None:
        """New settings. Nothing is granted until majorities of both lists are known to be there."""
        if council.generation <= self.council.generation:
            return
        self.council = council
        self.returning.moves(now, council)
        self.out.append(
            (LOG, "council.moves", {"generation": council.generation, "seats": list(council.now)})
        )

    def on_store_failed(self, now: int, why: str) -> None:
        """What was to be kept could not be: this seat grants nothing any more until it starts anew."""
        if not self.broken:
            self.broken = why
            self._log("store.failed", StoreUnusable(why, self.name))

    # ---- decisions ---------------------------------------------------------------------------------

    def next_decision(self, now: int) -> tuple | None:
        if not self.out and not self.broken:
            self._come_back(now)
        return self.out.popleft() if self.out else None

    def wake_at(self) -> int | None:
        """When this seat has something to do by itself: only while it returns."""
        return None if self.broken else self.returning.wake_at()

    def grants(self) -> bool:
        return not self.broken and self.returning.done

    def _come_back(self, now: int) -> None:
        for other, word in self.returning.asks(now):
            self.out.append((SAY, other, word))
        if (grounds := self.returning.returned(now)) is not None:
            self._keep(now, [], "", None)
            fields = {
                "grounds": grounds,
                "generation": self.council.generation,
                "places": len(self.guards.term),
            }
            self.out.append((LOG, "seat.returned", fields))
        for error in self.returning.notes(now):
            self._log("seat.aside", error)

    def _log(self, name: str, error: FleetError) -> None:
        self.out.append((LOG, name, error.fields()))

    def _well_formed(self, word: Round) -> bool:
        sizes = max(len(word.takes), len(word.gives), len(word.wants)) <= TASKS_MOST
        rows = (*word.takes, *word.gives, *word.wants)
        names = len(word.asker) <= NAME_MOST and all(len(row.task) <= NAME_MOST for row in rows)
        places = all(0 <= row.place < PLACES_MOST for row in (*word.takes, *word.gives))
        wants = all(1 <= want.places <= PLACES_MOST for want in word.wants)
        known = self.queues.rows
        room = (
            len(known) + len(rows) <= SEAT_MOST or len(known.keys() | {row.task for row in rows}) <= SEAT_MOST
        )
        return sizes and names and places and wants and room

    def _aside(self, word: Round) -> str:
        if self.broken or not self.returning.done:
            return SeatAside.code
        return OtherGeneration.code if word.generation != self.council.generation else ""

    def _went_back(self, now: int, by: str, stamp: int) -> None:
        """Somebody has heard of more than this seat's store holds: it was put back as it was earlier."""
        if self.returning.doubt(now, by, self.stamp, stamp):
            self.stamp = stamp

    def _give(self, asker: str, give: Give, rows: list[Key]) -> None:
        self.queues.leave(give.task, asker)
        if self.guards.give_back((give.task, give.place), give.term, asker):
            rows.append((give.task, give.place))

    def _take(
        self, now: int, asker: str, take: Take, taken: list[Taken], refused: list[No], rows: list[Key]
    ) -> None:
        key = (take.task, take.place)
        if (no := self._refusal(now, asker, take)) is not None:
            newest = max(self.guards.newest(key), self.first_term - 1)
            refused.append(No(take.task, take.place, take.term, no.code, newest))
            return
        if self.guards.grant(key, take.term, asker, now + take.length):
            rows.append(key)
        self.queues.leave(take.task, asker)
        taken.append(Taken(take.task, take.place, take.term))

    def _refusal(self, now: int, asker: str, take: Take) -> type[Refusal] | None:
        """The one rule of the council; None where the place is granted."""
        guards, key = self.guards, (take.task, take.place)
        if not 0 < take.length <= self.pace.longest:
            return LeaseTooLong
        own, left = guards.holder.get(key) == asker, guards.left(key, now)
        if left and not own:
            return HeldByAnother
        same = own and take.term == guards.term.get(key, 0) > guards.closed.get(key, 0)
        if not same and take.term <= max(guards.newest(key), self.first_term - 1):
            return OlderTerm
        renews = same or (own and left)
        if not renews and self.queues.of(take.task).ahead(now, asker, patience(self.pace)) >= self._free(
            now, take
        ):
            return BehindOthers
        return None

    def _free(self, now: int, take: Take) -> int:
        """How many places of the task that are known here are free, this one among them."""
        known = {place for task, place in self.guards.term if task == take.task} | {take.place}
        return sum(not self.guards.left((take.task, place), now) for place in known)

    def _stands(self, now: int, asker: str, want: Want) -> Stands:
        keys = [(want.task, place) for place in range(want.places)]
        guards, least = self.guards, self.first_term - 1
        left = [guards.left(key, now) for key in keys]
        return Stands(
            want.task, self.queues.of(want.task).newest,
            self.queues.of(want.task).ahead(now, asker, patience(self.pace)),
            [max(guards.newest(key), least) for key in keys], left,
            [guards.holder.get(key, "") if time else "" for key, time in zip(keys, left, strict=True)],
        )  # fmt: skip

    def _answer(self, now: int, to: str, word: Said, rows: list[Key]) -> None:
        if rows:
            self._keep(now, rows, to, word)
        else:
            self.out.append((SAY, to, word))

    def _keep(self, now: int, keys: list[Key], to: str, word: Said | None) -> None:
        """`keys` as they stand now are kept before the word goes out; the stamp counts them."""
        guards = self.guards
        self.stamp += len(keys)
        rows = [
            (*key, guards.term.get(key, 0), guards.holder.get(key, ""), guards.closed.get(key, 0))
            for key in keys
        ]
        self.out.append((KEEP, rows, to, word))

    def facts(self) -> dict[str, int]:
        """What is kept beside the places: see `Kept`."""
        back = self.returning
        return {
            "remembers": int(back.remembers), "settled": back.settled, "stamp": self.stamp,
            "longest": back.pace.longest,
        }  # fmt: skip
