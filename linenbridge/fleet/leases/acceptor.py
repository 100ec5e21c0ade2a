"""One acceptor of the quorum: it grants the places of tasks, each to one member at a time, and records what
it granted.

Decides without I/O. A grant is sent only after its record is durable. An acceptor decides by its own tables
alone; counting a majority is up to the proposer, and any two majorities share an acceptor, which has granted
the place to one of the two only. It must never grant a place that it has granted to another member, nor a
term that is not above every term it knows of the place.

Decisions, as plain tuples:

    (KEEP, rows, to, message)  store the rows (task, place, term, holder, closed), then send the message
    (SAY, to, message)         send a message to a member
    (LOG, name, fields)        one line of the log
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from linenbridge.errors import ControlPlaneError
from linenbridge.fleet.leases.errors import (
    AcceptorAside,
    BehindOthers,
    HeldByAnother,
    LeaseTooLong,
    OlderTerm,
    OtherGeneration,
    Rejection,
    StoreUnusable,
)  # fmt: skip
from linenbridge.fleet.leases.granted_leases import Guards, Key
from linenbridge.fleet.leases.messages import (
    Acquire,
    Granted,
    LeaseReply,
    LeaseRequest,
    PlaceRecord,
    RecoveryReply,
    RecoveryRequest,
    Rejected,
    Relinquish,
    StatusQuery,
    TaskStatus,
)  # fmt: skip
from linenbridge.fleet.leases.queues import Queues
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.recovery import Returning
from linenbridge.fleet.leases.timing import Pace, heard_left, patience

KEEP, SAY, LOG = "keep", "say", "log"
TASKS_MOST, PLACES_MOST, NAME_MOST = 1_000, 64, 64  # what one round may hold, and each of its names
TASKS_HEARD_MOST = 10_000  # tasks that one acceptor ever hears of


class Kept(NamedTuple):
    """What an acceptor's store held when the process started."""

    remembers: bool = False  # whether there was a store with the quorum's founding in it
    settled: int = 0  # the newest generation that this acceptor has settled in
    stamp: int = 0  # counts all that was ever kept
    longest: int = 0  # the longest lease that was ever to be waited for
    places: tuple[PlaceRecord, ...] = ()


class Acceptor:
    """The acceptor `name` of `quorum`. `kept` is the content of its store. `trusted` says that the store
    can't have been restored from an older copy, so that nothing is waited for after a restart. `life`
    differs for each start of the process."""

    def __init__(
        self, name: str, quorum: Quorum, pace: Pace, kept: Kept, now: int, first_term: int = 1,
        trusted: bool = False, life: int = 1,
    ) -> None:  # fmt: skip
        self.name, self.quorum, self.pace, self.first_term = name, quorum, pace, first_term
        self.guards, self.queues, self.out = Guards(), Queues(), deque[tuple]()
        for place in kept.places:
            self.guards.merge(place, now)
        self.stamp, self.broken = kept.stamp, ""
        wait = pace._replace(longest=max(pace.longest, kept.longest))
        self.returning = Returning(name, quorum, wait, kept.remembers, kept.settled, now, life, trusted)
        self.heard: dict[str, int] = {}  # the newest stamp of each other acceptor

    # ---- inputs ------------------------------------------------------------------------------------

    def on_request(self, now: int, message: LeaseRequest) -> None:
        """A proposer's request. It is answered as a whole, after the changes that it makes are stored."""
        if not self._well_formed(message):
            return
        if message.stamp > self.stamp:
            self._went_back(now, message.proposer, message.stamp)
        code = self._aside(message)
        granted, rejected, statuses, rows = list[Granted](), list[Rejected](), list[TaskStatus](), list[Key]()
        if not code:
            for relinquish in message.relinquishes:
                self._relinquish(message.proposer, relinquish, rows)
            for query in message.queries:
                self.queues.of(query.task).hear(now, message.proposer, query.ticket, patience(self.pace))
            for acquire in message.acquires:
                self._acquire(now, message.proposer, acquire, granted, rejected, rows)
            statuses = [self._status(now, message.proposer, query) for query in message.queries]
        answer = LeaseReply(
            message.number,
            self.name,
            self.quorum.generation,
            self.stamp + len(rows),
            code,
            granted,
            rejected,
            statuses,
        )
        self._answer(now, message.proposer, answer, rows)

    def on_recovery_request(self, now: int, message: RecoveryRequest) -> None:
        """Another acceptor asks for this one's records; it is answered even while this one recovers
        itself. If this one's store was restored from an older copy it does not answer, as its records
        would pass for complete."""
        self.returning.meets(message.acceptor, message.generation)
        if self.returning.doubted or self.broken:
            return
        back, places = self.returning, self.guards.rows(now)
        reply = RecoveryReply(
            message.number, self.name, back.number, back.founded_with.get(message.acceptor, 0),
            self.quorum.generation, back.settled, back.remembers, self.heard.get(message.acceptor, 0),
            places, self.queues.newest(),
        )  # fmt: skip
        self.out.append((SAY, message.acceptor, reply))

    def on_recovery_reply(self, now: int, message: RecoveryReply) -> None:
        """Another acceptor's records. They are merged while this one recovers; a newer stamp of this
        acceptor's own store is noticed at any time."""
        if message.stamp > self.stamp:
            self._went_back(now, message.acceptor, message.stamp)
        if not self.returning.accepts(message):
            return
        rows = list[Key]()
        for place in message.places:
            if self.guards.merge(place, now + heard_left(self.pace, place.left)):
                rows.append((place.task, place.place))
        for task, ticket in message.tickets.items():
            self.queues.meet(task, ticket)
        if rows:
            self._keep(now, rows, "", None)

    def on_stamp(self, now: int, acceptor: str, stamp: int) -> None:
        """How many records another acceptor says that it has stored."""
        self.heard[acceptor] = max(stamp, self.heard.get(acceptor, 0))

    def on_quorum(self, now: int, quorum: Quorum) -> None:
        """New settings. Nothing is granted until majorities of both lists are known to have them."""
        if quorum.generation <= self.quorum.generation:
            return
        self.quorum = quorum
        self.returning.moves(now, quorum)
        self.out.append(
            (
                LOG,
                "council.moves",
                {
                    "generation": quorum.generation,
                    "acceptors": list(quorum.now),
                    "seats": list(quorum.now),
                },
            )
        )

    def on_store_failed(self, now: int, why: str) -> None:
        """A write failed: this acceptor grants nothing until the process is restarted."""
        if not self.broken:
            self.broken = why
            self._log("store.failed", StoreUnusable(why, self.name))

    # ---- decisions ---------------------------------------------------------------------------------

    def next_decision(self, now: int) -> tuple | None:
        """The next decision to carry out, or None."""
        if not self.out and not self.broken:
            self._come_back(now)
        return self.out.popleft() if self.out else None

    def wake_at(self) -> int | None:
        """When this acceptor has something to do without an input, in microseconds; only while it
        recovers."""
        return None if self.broken else self.returning.wake_at()

    def grants(self) -> bool:
        """Whether this acceptor answers requests at present."""
        return not self.broken and self.returning.done

    def _come_back(self, now: int) -> None:
        for other, message in self.returning.asks(now):
            self.out.append((SAY, other, message))
        if (grounds := self.returning.returned(now)) is not None:
            self._keep(now, [], "", None)
            fields = {
                "grounds": grounds,
                "generation": self.quorum.generation,
                "places": len(self.guards.term),
            }
            self.out.append((LOG, "seat.returned", fields))
        for error in self.returning.notes(now):
            self._log("seat.aside", error)

    def _log(self, name: str, error: ControlPlaneError) -> None:
        self.out.append((LOG, name, error.fields()))

    def _well_formed(self, message: LeaseRequest) -> bool:
        sizes = max(len(message.acquires), len(message.relinquishes), len(message.queries)) <= TASKS_MOST
        rows = (*message.acquires, *message.relinquishes, *message.queries)
        names = len(message.proposer) <= NAME_MOST and all(len(row.task) <= NAME_MOST for row in rows)
        places = all(0 <= row.place < PLACES_MOST for row in (*message.acquires, *message.relinquishes))
        queries = all(1 <= query.places <= PLACES_MOST for query in message.queries)
        known = self.queues.rows
        room = (
            len(known) + len(rows) <= TASKS_HEARD_MOST
            or len(known.keys() | {row.task for row in rows}) <= TASKS_HEARD_MOST
        )
        return sizes and names and places and queries and room

    def _aside(self, message: LeaseRequest) -> str:
        if self.broken or not self.returning.done:
            return AcceptorAside.code
        return OtherGeneration.code if message.generation != self.quorum.generation else ""

    def _went_back(self, now: int, by: str, stamp: int) -> None:
        """Somebody has seen a newer stamp than this store holds: it was restored from an older copy."""
        if self.returning.doubt(now, by, self.stamp, stamp):
            self.stamp = stamp

    def _relinquish(self, proposer: str, relinquish: Relinquish, rows: list[Key]) -> None:
        self.queues.leave(relinquish.task, proposer)
        if self.guards.give_back((relinquish.task, relinquish.place), relinquish.term, proposer):
            rows.append((relinquish.task, relinquish.place))

    def _acquire(
        self,
        now: int,
        proposer: str,
        acquire: Acquire,
        granted: list[Granted],
        rejected: list[Rejected],
        rows: list[Key],
    ) -> None:
        key = (acquire.task, acquire.place)
        if (rejection := self._refusal(now, proposer, acquire)) is not None:
            newest = max(self.guards.newest(key), self.first_term - 1)
            rejected.append(Rejected(acquire.task, acquire.place, acquire.term, rejection.code, newest))
            return
        if self.guards.grant(key, acquire.term, proposer, now + acquire.length):
            rows.append(key)
        self.queues.leave(acquire.task, proposer)
        granted.append(Granted(acquire.task, acquire.place, acquire.term))

    def _refusal(self, now: int, proposer: str, acquire: Acquire) -> type[Rejection] | None:
        """The rule by which places are granted: the reason for a refusal, or None where the place is
        granted."""
        guards, key = self.guards, (acquire.task, acquire.place)
        if not 0 < acquire.length <= self.pace.longest:
            return LeaseTooLong
        own, left = guards.holder.get(key) == proposer, guards.left(key, now)
        if left and not own:
            return HeldByAnother
        same = own and acquire.term == guards.term.get(key, 0) > guards.closed.get(key, 0)
        if not same and acquire.term <= max(guards.newest(key), self.first_term - 1):
            return OlderTerm
        renews = same or (own and left)
        if renews:
            return None
        ahead = self.queues.of(acquire.task).ahead(now, proposer, patience(self.pace))
        return BehindOthers if ahead >= self._free(now, acquire) else None

    def _free(self, now: int, acquire: Acquire) -> int:
        """How many places of the task that are known here are free, counting the requested one."""
        known = {place for task, place in self.guards.term if task == acquire.task} | {acquire.place}
        return sum(not self.guards.left((acquire.task, place), now) for place in known)

    def _status(self, now: int, proposer: str, query: StatusQuery) -> TaskStatus:
        keys = [(query.task, place) for place in range(query.places)]
        guards, least = self.guards, self.first_term - 1
        left = [guards.left(key, now) for key in keys]
        return TaskStatus(
            query.task, self.queues.of(query.task).newest,
            self.queues.of(query.task).ahead(now, proposer, patience(self.pace)),
            [max(guards.newest(key), least) for key in keys], left,
            [guards.holder.get(key, "") if time else "" for key, time in zip(keys, left, strict=True)],
        )  # fmt: skip

    def _answer(self, now: int, to: str, message: LeaseReply, rows: list[Key]) -> None:
        if rows:
            self._keep(now, rows, to, message)
        else:
            self.out.append((SAY, to, message))

    def _keep(self, now: int, keys: list[Key], to: str, message: LeaseReply | None) -> None:
        """Store the present state of `keys`, then send the message. The stamp counts the stored rows."""
        guards = self.guards
        self.stamp += len(keys)
        rows = [
            (*key, guards.term.get(key, 0), guards.holder.get(key, ""), guards.closed.get(key, 0))
            for key in keys
        ]
        self.out.append((KEEP, rows, to, message))

    def facts(self) -> dict[str, int]:
        """What is stored beside the places: see `Kept`."""
        back = self.returning
        return {
            "remembers": int(back.remembers), "settled": back.settled, "stamp": self.stamp,
            "longest": back.pace.longest,
        }  # fmt: skip
