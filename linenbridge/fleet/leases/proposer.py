"""One member's side of leases: it requests leases for its tasks and knows until when each one is held.

Decides without I/O. Whether the member may act is answered at each act, by the clock as it is then
(`may_act`), so a process that was stopped for a while finds out before it acts. A lease must never be
counted from later than the request was sent, nor by less than a majority of both lists of acceptors.

Decisions, as plain tuples:

    (SAY, acceptor, message)   send a message to an acceptor
    (HELD, task, place, term)  this member holds a place from now on
    (LOST, task, place, term)  it does not any more: the lease ended, or was given back
    (LOG, name, fields)        one line of the log
"""

from __future__ import annotations

from collections import deque
from random import Random

from linenbridge.fleet.leases.errors import OtherGeneration, QuorumLost
from linenbridge.fleet.leases.lease_state import HOLDING, LEAVING, TAKING, WAITING, Hold
from linenbridge.fleet.leases.messages import (
    Acquire,
    LeaseReply,
    LeaseRequest,
    Relinquish,
    StatusQuery,
    TaskStatus,
)
from linenbridge.fleet.leases.quorum import Quorum, carries, hopeless
from linenbridge.fleet.leases.timing import Pace

SAY, HELD, LOST, LOG = "say", "held", "lost", "log"
LOST_AFTER = 3  # beats without a majority's answer before a line says so
SOON = 20  # parts of a beat after which one that lost a round asks again at the earliest
ROUNDS_KEPT = 64


class Proposer:
    """`name` differs for each start of the process: a restarted process does not hold what it held
    before."""

    def __init__(self, name: str, quorum: Quorum, pace: Pace, seed: int, now: int) -> None:
        self.name, self.quorum, self.pace, self.random = name, quorum, pace, Random(seed)
        self.holds: dict[str, Hold] = {}
        self.out = deque[tuple]()
        self.number, self.beat_at = 0, now
        self.sent: dict[int, int] = {}  # when each round of late was sent
        self.answers: dict[int, dict[str, LeaseReply]] = {}  # to those rounds, by acceptor
        self.heard_at, self.lost_said = now + pace.longest, False  # acceptors may stand aside after a start
        self.stamps: dict[str, int] = {}  # the newest that each acceptor was heard to have kept
        self.told_generation = 0

    # ---- inputs ------------------------------------------------------------------------------------

    def stand_for(self, now: int, task: str, places: int = 1) -> None:
        """Request a place of that task from now on."""
        if task not in self.holds or self.holds[task].state == LEAVING:
            self.holds[task] = Hold(task, places, now)
            self.beat_at = min(self.beat_at, now)

    def leave(self, now: int, task: str) -> None:
        """Give the task back, or stop requesting it."""
        if (hold := self.holds.get(task)) is None or hold.state == LEAVING:
            return
        if hold.state == HOLDING:
            self.out.append((LOST, task, hold.place, hold.term))
        hold.leave(now + self.pace.beat)
        self.beat_at = now

    def on_quorum(self, now: int, quorum: Quorum) -> None:
        """New settings. A lease stays held for as long as the earlier acceptors granted it."""
        if quorum.generation > self.quorum.generation:
            for hold in self.holds.values():
                if hold.state == HOLDING:
                    hold.kept = hold.until(self.quorum, self.pace) or 0
            self.quorum, self.beat_at = quorum, now

    def on_reply(self, now: int, message: LeaseReply) -> None:
        """An acceptor's answer to a request; a late or repeated one changes nothing."""
        asked = self.sent.get(message.number)
        if asked is None or message.acceptor not in self.quorum.everyone():
            return
        self.stamps[message.acceptor] = max(message.stamp, self.stamps.get(message.acceptor, 0))
        answers = self.answers[message.number]
        if message.code == OtherGeneration.code:
            self._other_generation(message)
        if message.code == OtherGeneration.code or message.acceptor in answers:
            return
        answers[message.acceptor] = message
        for granted in message.granted:
            if (hold := self.holds.get(granted.task)) is not None:
                self._on_granted(now, hold, message.acceptor, granted.place, granted.term, asked)
        for rejection in message.rejected:
            if (hold := self.holds.get(rejection.task)) is not None:
                hold.rejected(message.acceptor, rejection)
        if carries(self.quorum, [acceptor for acceptor, reply in answers.items() if not reply.code]):
            self.heard_at, self.lost_said = now, False
            if message.number == self.number:
                self._on_statuses(now, [reply for reply in answers.values() if not reply.code])

    # ---- what the host asks at each act ------------------------------------------------------------

    def may_act(self, now: int, task: str) -> int | None:
        """The term under which this member may act on the task at this moment; None if it may not."""
        hold = self.holds.get(task)
        if hold is None or hold.state != HOLDING:
            return None
        until = hold.until(self.quorum, self.pace)
        return hold.term if until is not None and now < until else None

    def holds_until(self, task: str) -> int | None:
        """When the lease of the task ends, on this member's clock; None if it holds none."""
        hold = self.holds.get(task)
        return hold.until(self.quorum, self.pace) if hold is not None and hold.state == HOLDING else None

    # ---- decisions ---------------------------------------------------------------------------------

    def next_decision(self, now: int) -> tuple | None:
        """The next decision to carry out, or None."""
        if not self.out:
            self._expire(now)
            if now >= self.beat_at:
                self._request(now)
        return self.out.popleft() if self.out else None

    def wake_at(self) -> int | None:
        """When this member has something to do without an input, in microseconds; None without tasks."""
        ends = [until for task in self.holds if (until := self.holds_until(task)) is not None]
        return min([self.beat_at, *ends]) if self.holds else None

    # ---- what is known becomes what is held --------------------------------------------------------

    def _on_granted(self, now: int, hold: Hold, acceptor: str, place: int, term: int, asked: int) -> None:
        if hold.state not in (TAKING, HOLDING) or (place, term) != (hold.place, hold.asked_term):
            return
        hold.yes(acceptor, term, asked)
        until = hold.until(self.quorum, self.pace, term)
        if until is None or now >= until or term == hold.term:
            return
        raised, hold.term = hold.state == HOLDING, term
        if not raised:
            hold.state = HOLDING
            self.out.append((HELD, hold.task, place, term))
        self.out.append(
            (LOG, "lease.held", {"task": hold.task, "place": place, "term": term, "raised": raised})
        )

    def _on_statuses(self, now: int, answers: list[LeaseReply]) -> None:
        """A majority has answered with the status of tasks: take a ticket, or request a free place."""
        by_task: dict[str, list[TaskStatus]] = {}
        for reply in answers:
            for row in reply.statuses:
                if row.task in self.holds and self.holds[row.task].fits(row):
                    by_task.setdefault(row.task, []).append(row)
        acquires = list[Acquire]()
        for task, rows in by_task.items():
            hold = self.holds.get(task)
            if hold is None or hold.state != WAITING:
                continue
            if not hold.ticket:
                hold.ticket = 1 + max(row.ticket for row in rows)
                self.beat_at = now
                continue
            free = self._free_at_majority(answers, hold) if now >= hold.from_at else []
            if hold.choose(rows, free, now + self.pace.beat):
                acquires.append(Acquire(task, hold.place, hold.asked_term, self.pace.length))
            elif (soon := hold.free_in(rows)) is not None:
                self.beat_at = min(self.beat_at, now + soon + self.pace.beat // SOON)
        if acquires:
            self._send(now, acquires, [], [])
            self.beat_at = min(self.beat_at, now + self.pace.beat)

    def _other_generation(self, message: LeaseReply) -> None:
        if message.generation > self.quorum.generation and message.generation > self.told_generation:
            self.told_generation = message.generation
            what = f"the acceptor is at {message.generation}, this member at {self.quorum.generation}"
            self.out.append((LOG, "council.newer", OtherGeneration(what, message.acceptor).fields()))

    def _free_at_majority(self, answers: list[LeaseReply], hold: Hold) -> list[int]:
        """The places that are free at a majority of the acceptors."""
        free = []
        for place in range(hold.places):
            acceptors = [
                reply.acceptor for reply in answers for row in reply.statuses
                if hold.fits(row) and not row.left[place]
            ]  # fmt: skip
            if carries(self.quorum, acceptors):
                free.append(place)
        return free

    def _expire(self, now: int) -> None:
        for task, hold in list(self.holds.items()):
            if hold.state == HOLDING:
                until = hold.until(self.quorum, self.pace)
                if until is None or now >= until:
                    self.out.append((LOST, task, hold.place, hold.term))
                    fields = {
                        "task": task,
                        "place": hold.place,
                        "term": hold.term,
                        "late": now - (until or now),
                    }
                    self.out.append((LOG, "lease.lost", fields))
                    hold.wait_again(now)
                    self.beat_at = now
            elif hold.state == TAKING and (now >= hold.from_at or hopeless(self.quorum, hold.against)):
                hold.wait_again(now + int(self.random.uniform(1, SOON) * self.pace.beat / SOON))
                self.beat_at = min(self.beat_at, hold.from_at)
            elif hold.state == LEAVING and now >= hold.from_at:
                del self.holds[task]
        if self.holds and not self.lost_said and now - self.heard_at > LOST_AFTER * self.pace.beat:
            self.lost_said = True
            last = self.answers.get(self.number, {})
            granting = sorted(acceptor for acceptor, reply in last.items() if not reply.code)
            error = QuorumLost(f"of {list(self.quorum.now)} only {granting} grant", self.name)
            self.out.append((LOG, "council.lost", error.fields()))

    def _request(self, now: int) -> None:
        """One request for all tasks, the same to every acceptor, however many tasks there are."""
        heard = now - self.heard_at <= LOST_AFTER * self.pace.beat
        acquires, relinquishes, queries = list[Acquire](), list[Relinquish](), list[StatusQuery]()
        for task, hold in self.holds.items():
            if hold.state == HOLDING:
                hold.asked_term = hold.next_term()
                acquires.append(Acquire(task, hold.place, hold.asked_term, self.pace.length))
            elif hold.state == WAITING:
                # One that hears no majority keeps nobody from his turn.
                queries.append(StatusQuery(task, hold.places, hold.ticket if heard else 0))
            elif hold.state == TAKING:
                acquires.append(Acquire(task, hold.place, hold.asked_term, self.pace.length))
            if (given := hold.given) is not None:
                relinquishes.append(Relinquish(task, *given))
        self.beat_at = now + int(self.pace.beat * self.random.uniform(0.9, 1.0))
        if acquires or relinquishes or queries:
            self._send(now, acquires, relinquishes, queries)

    def _send(
        self, now: int, acquires: list[Acquire], relinquishes: list[Relinquish], queries: list[StatusQuery]
    ) -> None:
        self.number += 1
        self.sent[self.number], self.answers[self.number] = now, {}
        for old in [number for number in self.sent if number <= self.number - ROUNDS_KEPT]:
            del self.sent[old], self.answers[old]
        for acceptor in self.quorum.everyone():
            stamp, generation = self.stamps.get(acceptor, 0), self.quorum.generation
            self.out.append(
                (
                    SAY,
                    acceptor,
                    LeaseRequest(self.number, self.name, generation, stamp, acquires, relinquishes, queries),
                )
            )
