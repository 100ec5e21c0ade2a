"""One member's side of leases: it asks the seats for the tasks it stands for, and knows until when it may
act.

Decides without I/O. Whether it may act is answered anew at each act, by the clock as it is then
(`may_act`): a process that was stopped finds out before it acts. It must never count a yes from later than
it asked, nor act on a majority of fewer than both lists of seats.

Decisions, as plain tuples:

    (SAY, seat, word)         send a word to a seat
    (HELD, task, place, term) this member holds a place from now on
    (LOST, task, place, term) it does no more: run out, or given back
    (LOG, name, fields)       one line of the log
"""

from __future__ import annotations

from collections import deque
from random import Random

from linenbridge.fleet.leases.errors import CouncilLost, OtherGeneration
from linenbridge.fleet.leases.hold import HOLDING, LEAVING, TAKING, WAITING, Hold
from linenbridge.fleet.leases.quorum import Council, carries, hopeless
from linenbridge.fleet.leases.terms import Pace
from linenbridge.fleet.leases.words import Give, Round, Said, Stands, Take, Want

SAY, HELD, LOST, LOG = "say", "held", "lost", "log"
LOST_AFTER = 3  # beats without a majority's answer before a line says so
SOON = 20  # parts of a beat after which one that lost a round asks again at the earliest
ROUNDS_KEPT = 64


class Asker:
    """`name` must be another for each start of the process: what an earlier one held is not this one's."""

    def __init__(self, name: str, council: Council, pace: Pace, seed: int, now: int) -> None:
        self.name, self.council, self.pace, self.random = name, council, pace, Random(seed)
        self.holds: dict[str, Hold] = {}
        self.out = deque[tuple]()
        self.number, self.beat_at = 0, now
        self.sent: dict[int, int] = {}  # when each round of late was sent
        self.answers: dict[int, dict[str, Said]] = {}  # to those rounds, by seat
        self.heard_at, self.lost_said = now + pace.longest, False  # seats may stand aside after a start
        self.stamps: dict[str, int] = {}  # the newest that each seat was heard to have kept
        self.told_generation = 0

    # ---- inputs ------------------------------------------------------------------------------------

    def stand_for(self, now: int, task: str, places: int = 1) -> None:
        """Ask for a place of that task from now on."""
        if task not in self.holds or self.holds[task].state == LEAVING:
            self.holds[task] = Hold(task, places, now)
            self.beat_at = min(self.beat_at, now)

    def leave(self, now: int, task: str) -> None:
        """Give the task back, or stop asking for it."""
        if (hold := self.holds.get(task)) is None or hold.state == LEAVING:
            return
        if hold.state == HOLDING:
            self.out.append((LOST, task, hold.place, hold.term))
        hold.leave(now + self.pace.beat)
        self.beat_at = now

    def on_council(self, now: int, council: Council) -> None:
        """New settings. What was held stays so as long as the seats that were asked keep it."""
        if council.generation > self.council.generation:
            for hold in self.holds.values():
                if hold.state == HOLDING:
                    hold.kept = hold.until(self.council, self.pace) or 0
            self.council, self.beat_at = council, now

    def on_said(self, now: int, word: Said) -> None:
        """One seat's answer to one round; one that comes late or twice tells nothing new."""
        asked = self.sent.get(word.number)
        if asked is None or word.seat not in self.council.everyone():
            return
        self.stamps[word.seat] = max(word.stamp, self.stamps.get(word.seat, 0))
        answers = self.answers[word.number]
        if word.code == OtherGeneration.code:
            self._other_generation(word)
        if word.code == OtherGeneration.code or word.seat in answers:
            return
        answers[word.seat] = word
        for taken in word.taken:
            if (hold := self.holds.get(taken.task)) is not None:
                self._taken(now, hold, word.seat, taken.place, taken.term, asked)
        for no in word.refused:
            if (hold := self.holds.get(no.task)) is not None:
                hold.refused(word.seat, no)
        if carries(self.council, [seat for seat, said in answers.items() if not said.code]):
            self.heard_at, self.lost_said = now, False
            if word.number == self.number:
                self._stands(now, [said for said in answers.values() if not said.code])

    # ---- what the host asks at each act ------------------------------------------------------------

    def may_act(self, now: int, task: str) -> int | None:
        """The term under which this member may act on the task at this very moment; None: it may not."""
        hold = self.holds.get(task)
        if hold is None or hold.state != HOLDING:
            return None
        until = hold.until(self.council, self.pace)
        return hold.term if until is not None and now < until else None

    def holds_until(self, task: str) -> int | None:
        """On this member's clock; None where it holds nothing of the task."""
        hold = self.holds.get(task)
        return hold.until(self.council, self.pace) if hold is not None and hold.state == HOLDING else None

    # ---- decisions ---------------------------------------------------------------------------------

    def next_decision(self, now: int) -> tuple | None:
        if not self.out:
            self._expire(now)
            if now >= self.beat_at:
                self._round(now)
        return self.out.popleft() if self.out else None

    def wake_at(self) -> int | None:
        ends = [until for task in self.holds if (until := self.holds_until(task)) is not None]
        return min([self.beat_at, *ends]) if self.holds else None

    # ---- what is known becomes what is held --------------------------------------------------------

    def _taken(self, now: int, hold: Hold, seat: str, place: int, term: int, asked: int) -> None:
        if hold.state not in (TAKING, HOLDING) or (place, term) != (hold.place, hold.asked_term):
            return
        hold.yes(seat, term, asked)
        until = hold.until(self.council, self.pace, term)
        if until is None or now >= until or term == hold.term:
            return
        raised, hold.term = hold.state == HOLDING, term
        if not raised:
            hold.state = HOLDING
            self.out.append((HELD, hold.task, place, term))
        self.out.append(
            (LOG, "lease.held", {"task": hold.task, "place": place, "term": term, "raised": raised})
        )

    def _stands(self, now: int, answers: list[Said]) -> None:
        """A majority has told how tasks stand: get in line, or take a place that is free."""
        by_task: dict[str, list[Stands]] = {}
        for said in answers:
            for row in said.stands:
                if row.task in self.holds and self.holds[row.task].fits(row):
                    by_task.setdefault(row.task, []).append(row)
        takes = list[Take]()
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
                takes.append(Take(task, hold.place, hold.asked_term, self.pace.length))
            elif (soon := hold.free_in(rows)) is not None:
                self.beat_at = min(self.beat_at, now + soon + self.pace.beat // SOON)
        if takes:
            self._send(now, takes, [], [])
            self.beat_at = min(self.beat_at, now + self.pace.beat)

    def _other_generation(self, word: Said) -> None:
        if word.generation > self.council.generation and word.generation > self.told_generation:
            self.told_generation = word.generation
            what = f"the seat is at {word.generation}, this member at {self.council.generation}"
            self.out.append((LOG, "council.newer", OtherGeneration(what, word.seat).fields()))

    def _free_at_majority(self, answers: list[Said], hold: Hold) -> list[int]:
        """The places that a majority of the seats keeps for nobody."""
        free = []
        for place in range(hold.places):
            seats = [
                said.seat for said in answers for row in said.stands
                if hold.fits(row) and not row.left[place]
            ]  # fmt: skip
            if carries(self.council, seats):
                free.append(place)
        return free

    def _expire(self, now: int) -> None:
        for task, hold in list(self.holds.items()):
            if hold.state == HOLDING:
                until = hold.until(self.council, self.pace)
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
            elif hold.state == TAKING and (now >= hold.from_at or hopeless(self.council, hold.against)):
                hold.wait_again(now + int(self.random.uniform(1, SOON) * self.pace.beat / SOON))
                self.beat_at = min(self.beat_at, hold.from_at)
            elif hold.state == LEAVING and now >= hold.from_at:
                del self.holds[task]
        if self.holds and not self.lost_said and now - self.heard_at > LOST_AFTER * self.pace.beat:
            self.lost_said = True
            last = self.answers.get(self.number, {})
            granting = sorted(seat for seat, said in last.items() if not said.code)
            error = CouncilLost(f"of {list(self.council.now)} only {granting} grant", self.name)
            self.out.append((LOG, "council.lost", error.fields()))

    def _round(self, now: int) -> None:
        """Everything this member has to say, to all seats alike: one call to each, however many tasks."""
        heard = now - self.heard_at <= LOST_AFTER * self.pace.beat
        takes, gives, wants = list[Take](), list[Give](), list[Want]()
        for task, hold in self.holds.items():
            if hold.state == HOLDING:
                hold.asked_term = hold.next_term()
                takes.append(Take(task, hold.place, hold.asked_term, self.pace.length))
            elif hold.state == WAITING:
                # One that hears no majority keeps nobody from his turn.
                wants.append(Want(task, hold.places, hold.ticket if heard else 0))
            elif hold.state == TAKING:
                takes.append(Take(task, hold.place, hold.asked_term, self.pace.length))
            if (given := hold.given) is not None:
                gives.append(Give(task, *given))
        self.beat_at = now + int(self.pace.beat * self.random.uniform(0.9, 1.0))
        if takes or gives or wants:
            self._send(now, takes, gives, wants)

    def _send(self, now: int, takes: list[Take], gives: list[Give], wants: list[Want]) -> None:
        self.number += 1
        self.sent[self.number], self.answers[self.number] = now, {}
        for old in [number for number in self.sent if number <= self.number - ROUNDS_KEPT]:
            del self.sent[old], self.answers[old]
        for seat in self.council.everyone():
            stamp, generation = self.stamps.get(seat, 0), self.council.generation
            self.out.append(
                (SAY, seat, Round(self.number, self.name, generation, stamp, takes, gives, wants))
            )
