"""One member of the fleet on a reactor: its asker, its seat where it has one, links, store, and acts.

Owns the wiring and one timer for both cores. Promises are written by one thread in their order, and a seat's
answer leaves after them. It must never decide: what a core says is carried out.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from linenbridge.fleet.errors import FleetError
from linenbridge.fleet.hosting import clock
from linenbridge.fleet.hosting.errands import Errands
from linenbridge.fleet.hosting.freezes import Freezes
from linenbridge.fleet.hosting.links import Links, later
from linenbridge.fleet.leases.asker import Asker
from linenbridge.fleet.leases.seat import Seat
from linenbridge.fleet.leases.words import Recall, Round, Said, Table
from linenbridge.fleet.configuration import RESTARTS, FleetTold
from linenbridge.fleet.store.promises import promises
from linenbridge.net.log import Log

GOODBYE = 0.25  # seconds for the last words of a member that leaves


class Member:
    """`life` is another for each start of the process; `held` is told where releases are held, None:
    nowhere; `tasks_changed` is told of a task that this member has begun or ceased to hold."""

    def __init__(
        self, told: FleetTold, reactor: Any, log: Log, life: int,
        held: Callable[[frozenset[str] | None], None] = lambda zones: None,
        tasks_changed: Callable[[str], None] = lambda task: None,
    ) -> None:  # fmt: skip
        self.told, self.reactor, self.log, self.tasks_changed = told, reactor, log, tasks_changed
        self.name, self.life = f"{told.member}#{life:x}", life
        now = clock.now()
        self.asker = Asker(self.name, told.council, told.pace, life, now)
        self.seat: Seat | None = None
        self.askers: dict[str, str] = {}  # by asker, the link that it was last heard on
        self.disk = self.pool = self.timer = self.leaving = None
        self.gone = False
        if told.sits():
            self._sit(now, life)
        self.links = Links(told.member, frozenset(told.members), reactor, log, self._hear)
        self.port = reactor.listenTCP(told.listen[1], self.links, interface=told.listen[0])
        self._dial()
        for errand in told.errands:
            if errand.task != RESTARTS:
                self.asker.stand_for(now, errand.task, errand.places)
        self.freezes = Freezes(told.windows, reactor, log, held)
        self.errands = Errands(self.name, told.errands, reactor, log, self.holds)
        log.event("member.started", member=told.member, life=f"{life:x}", seat=told.sits())
        self.turn()

    def _sit(self, now: int, life: int) -> None:
        """The store is read before anything is promised; one that can't be used leaves the seat aside."""
        told, broken, kept = self.told, "", None
        try:
            self.disk = promises(told.store, told.member)
            kept = self.disk.read()
        except FleetError as error:
            broken = str(error)
            self.log.event("store.failed", **error.fields())
            kept = promises("", told.member).read()
        number = Random(life).getrandbits(52)
        self.seat = Seat(
            told.member, told.council, told.pace, kept, now, told.first_term, told.trusted, number
        )
        if broken:
            self.seat.on_store_failed(now, broken)
        self.pool = ThreadPool(1, 1, "promises")
        self.pool.start()

    def _dial(self) -> None:
        for seat in self.told.council.everyone():
            if seat != self.told.member:
                self.links.dial(seat, self.told.members[seat])

    # ---- words -------------------------------------------------------------------------------------

    def _hear(self, far: str, word: Any) -> None:
        """A word counts for whom its link is known as, whatever it says itself."""
        now, seat = clock.now(), self.seat
        if isinstance(word, Said):
            if word.seat == far:
                self.asker.on_said(now, word)
        elif seat is not None and isinstance(word, Round):
            if word.asker.partition("#")[0] == far:
                self._heard_on(word.asker, far)
                seat.on_round(now, word)
        elif seat is not None and isinstance(word, Recall):
            if word.seat == far:
                seat.on_recall(now, word)
        elif seat is not None and isinstance(word, Table) and word.seat == far:
            seat.on_stamp(now, far, word.stamp)
            seat.on_table(now, word)
        self.turn()

    def _heard_on(self, asker: str, far: str) -> None:
        """Where answers to an asker go; as many are kept as there are links, and some."""
        if len(self.askers) > 4 * len(self.links.to) + 64:
            self.askers = {name: link for name, link in self.askers.items() if link in self.links.to}
        self.askers[asker] = far

    def _say(self, to: str, word: Any) -> None:
        if to in (self.name, self.told.member):
            later(self.reactor, self._hear, self.told.member, word)
        else:
            self.links.say(self.askers.get(to, to), word)

    # ---- turns -------------------------------------------------------------------------------------

    def turn(self) -> None:
        """Carry out what the cores say, and set the one timer."""
        now = clock.now()
        for core in (self.asker, self.seat):
            while core is not None and (decision := core.next_decision(now)) is not None:
                self._carry_out(decision)
        wakes = [core.wake_at() for core in (self.asker, self.seat) if core is not None]
        at = min((wake for wake in wakes if wake is not None), default=None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if at is not None:
            self.timer = self.reactor.callLater(max(0.001, (at - now) / 1e6), self.turn)

    def _carry_out(self, decision: tuple) -> None:
        kind = decision[0]
        if kind == "say":
            self._say(decision[1], decision[2])
        elif kind == "keep":
            self._keep(decision[1], decision[2], decision[3])
        elif kind == "log":
            self.log.event(decision[1], **decision[2])
        else:
            _, task, place, term = decision
            self.log.event(f"task.{kind}", task=task, place=place, term=term)
            later(self.reactor, self.tasks_changed, task)
            if kind == "held" and task == RESTARTS and self.leaving is not None:
                self._go()

    def _keep(self, rows: list[tuple], to: str, word: Any) -> None:
        done = deferToThreadPool(self.reactor, self.pool, self.disk.keep, rows, self.seat.facts())
        done.addCallbacks(lambda _: word is not None and self._say(to, word), self._not_kept)

    def _not_kept(self, failure: Any) -> None:
        self.seat.on_store_failed(clock.now(), failure.getErrorMessage())
        self.turn()

    # ---- what others ask ---------------------------------------------------------------------------

    def holds(self, task: str) -> tuple[int, int] | None:
        """Term and place under which this member may act on the task at this very moment."""
        term = self.asker.may_act(clock.now(), task)
        return None if term is None else (term, self.asker.holds[task].place)

    def take_up(self, told: FleetTold) -> None:
        """New settings: the council, and addresses. The rest counts from the next start."""
        now = clock.now()
        self.told = told
        self.asker.on_council(now, told.council)
        if self.seat is not None:
            self.seat.on_council(now, told.council)
        elif told.sits():
            self._sit(now, self.life)
        self.links.known = frozenset(told.members)
        for seat in [seat for seat in self.links.dialled if seat not in told.council.everyone()]:
            self.links.drop(seat)
        self._dial()
        self.freezes.take_up(told.windows)
        self.turn()

    def leave(self, gone: Callable[[], None]) -> None:
        """End in order: wait for the turn to restart, where the settings have turns, then give all back."""
        if self.leaving is not None:
            return
        self.leaving = gone
        turns = [errand for errand in self.told.errands if errand.task == RESTARTS]
        if not turns:
            self._go()
            return
        self.asker.stand_for(clock.now(), RESTARTS, turns[0].places)
        self.reactor.callLater(self.told.restarts_within / 1e6, self._go)
        self.turn()

    def _go(self) -> None:
        gone, self.leaving = self.leaving, lambda: None
        if gone is None or self.gone:
            return
        self.gone = True
        self.errands.close()
        self.freezes.close()
        now = clock.now()
        for task in list(self.asker.holds):
            if task != RESTARTS:
                self.asker.leave(now, task)
        self.turn()
        self.reactor.callLater(GOODBYE, self._close, gone)

    def _close(self, gone: Callable[[], None]) -> None:
        self.port.stopListening()
        self.links.close()
        if self.pool is not None:
            self.pool.stop()
        if self.disk is not None:
            self.disk.close()
        gone()

    def facts(self) -> dict[str, int]:
        """For the counters' line."""
        held = sum(self.holds(task) is not None for task in self.asker.holds)
        return {
            "links": len(self.links.to),
            "held": held,
            "grants": int(bool(self.seat and self.seat.grants())),
        }
