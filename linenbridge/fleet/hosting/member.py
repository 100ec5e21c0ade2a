"""One member of the fleet on a reactor: its proposer, its acceptor if it is one, links, store, and acts.

Connects these, and keeps one timer for both cores. Records are written by one thread in their order, and
an acceptor's answer is sent after the write. It must never decide: it carries out what a core decides.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from linenbridge.fleet.configuration import RESTARTS, FleetTold
from linenbridge.errors import ControlPlaneError
from linenbridge.peering import clock
from linenbridge.fleet.hosting.task_actions import Errands
from linenbridge.fleet.hosting.freezes import Freezes
from linenbridge.peering.connections import PeerConnections, call_soon
from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.messages import (
    LeaseReply,
    LeaseRequest,
    Message,
    RecoveryReply,
    RecoveryRequest,
)
from linenbridge.fleet.leases.proposer import Proposer
from linenbridge.fleet.store.acceptor_records import promises
from linenbridge.logging.event_log import Log

MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)
GOODBYE = 0.25  # seconds for the last words of a member that leaves


class Member:
    """`life` differs for each start of the process. `held` is called with the zones in which releases are
    held, None for none; `tasks_changed` with a task that this member has begun or ceased to hold."""

    def __init__(
        self, told: FleetTold, reactor: Any, log: Log, life: int,
        held: Callable[[frozenset[str] | None], None] = lambda zones: None,
        tasks_changed: Callable[[str], None] = lambda task: None,
    ) -> None:  # fmt: skip
        self.told, self.reactor, self.log, self.tasks_changed = told, reactor, log, tasks_changed
        self.name, self.life = f"{told.member}#{life:x}", life
        now = clock.now()
        self.proposer = Proposer(self.name, told.quorum, told.pace, life, now)
        self.acceptor: Acceptor | None = None
        self.proposers: dict[str, str] = {}  # by proposer, the link that it was last heard on
        self.disk = self.pool = self.timer = self.leaving = None
        self.gone = False
        if told.is_acceptor():
            self._start_acceptor(now, life)
        self.connections = PeerConnections(
            told.member, frozenset(told.members), reactor, log, self._hear, decoder=MESSAGE_DECODER
        )
        self.port = reactor.listenTCP(told.listen[1], self.connections, interface=told.listen[0])
        self._dial()
        for errand in told.errands:
            if errand.task != RESTARTS:
                self.proposer.stand_for(now, errand.task, errand.places)
        self.freezes = Freezes(told.windows, reactor, log, held)
        self.errands = Errands(self.name, told.errands, reactor, log, self.holds)
        acceptor = told.is_acceptor()
        log.event("member.started", member=told.member, life=f"{life:x}", acceptor=acceptor, seat=acceptor)
        self.turn()

    def _start_acceptor(self, now: int, life: int) -> None:
        """Read the store, then start the acceptor. If the store can't be used the acceptor grants
        nothing."""
        told, broken, kept = self.told, "", None
        try:
            self.disk = promises(told.store, told.member)
            kept = self.disk.read()
        except ControlPlaneError as error:
            broken = str(error)
            self.log.event("store.failed", **error.fields())
            kept = promises("", told.member).read()
        number = Random(life).getrandbits(52)
        self.acceptor = Acceptor(
            told.member, told.quorum, told.pace, kept, now, told.first_term, told.trusted, number
        )
        if broken:
            self.acceptor.on_store_failed(now, broken)
        self.pool = ThreadPool(1, 1, "promises")
        self.pool.start()

    def _dial(self) -> None:
        for acceptor in self.told.quorum.everyone():
            if acceptor != self.told.member:
                self.connections.dial(acceptor, self.told.members[acceptor])

    # ---- messages ----------------------------------------------------------------------------------

    def _hear(self, far: str, message: Any) -> None:
        """A message counts only if its sender is the member at the other end of the link."""
        now, acceptor = clock.now(), self.acceptor
        if isinstance(message, LeaseReply):
            if message.acceptor == far:
                self.proposer.on_reply(now, message)
        elif acceptor is not None and isinstance(message, LeaseRequest):
            if message.proposer.partition("#")[0] == far:
                self._heard_on(message.proposer, far)
                acceptor.on_request(now, message)
        elif acceptor is not None and isinstance(message, RecoveryRequest):
            if message.acceptor == far:
                acceptor.on_recovery_request(now, message)
        elif acceptor is not None and isinstance(message, RecoveryReply) and message.acceptor == far:
            acceptor.on_stamp(now, far, message.stamp)
            acceptor.on_recovery_reply(now, message)
        self.turn()

    def _heard_on(self, proposer: str, far: str) -> None:
        """Remember the link to answer a proposer on; entries of closed links are dropped beyond a bound."""
        if len(self.proposers) > 4 * len(self.connections.by_peer) + 64:
            self.proposers = {
                name: link for name, link in self.proposers.items() if link in self.connections.by_peer
            }
        self.proposers[proposer] = far

    def _say(self, to: str, message: Any) -> None:
        if to in (self.name, self.told.member):
            call_soon(self.reactor, self._hear, self.told.member, message)
        else:
            self.connections.send(self.proposers.get(to, to), message)

    # ---- turns -------------------------------------------------------------------------------------

    def turn(self) -> None:
        """Carry out all decisions of both cores, then set the timer."""
        now = clock.now()
        for core in (self.proposer, self.acceptor):
            while core is not None and (decision := core.next_decision(now)) is not None:
                self._carry_out(decision)
        wakes = [core.wake_at() for core in (self.proposer, self.acceptor) if core is not None]
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
            call_soon(self.reactor, self.tasks_changed, task)
            if kind == "held" and task == RESTARTS and self.leaving is not None:
                self._go()

    def _keep(self, rows: list[tuple], to: str, message: Any) -> None:
        done = deferToThreadPool(self.reactor, self.pool, self.disk.keep, rows, self.acceptor.facts())
        done.addCallbacks(lambda _: message is not None and self._say(to, message), self._not_kept)

    def _not_kept(self, failure: Any) -> None:
        self.acceptor.on_store_failed(clock.now(), failure.getErrorMessage())
        self.turn()

    # ---- what others ask ---------------------------------------------------------------------------

    def holds(self, task: str) -> tuple[int, int] | None:
        """Term and place under which this member may act on the task at this moment, or None."""
        term = self.proposer.may_act(clock.now(), task)
        return None if term is None else (term, self.proposer.holds[task].place)

    def take_up(self, told: FleetTold) -> None:
        """New settings: the quorum, addresses and windows count at once, all else from the next start."""
        now = clock.now()
        self.told = told
        self.proposer.on_quorum(now, told.quorum)
        if self.acceptor is not None:
            self.acceptor.on_quorum(now, told.quorum)
        elif told.is_acceptor():
            self._start_acceptor(now, self.life)
        self.connections.peer_names = frozenset(told.members)
        acceptors = told.quorum.everyone()
        for former in [name for name in self.connections.dialled if name not in acceptors]:
            self.connections.disconnect(former)
        self._dial()
        self.freezes.take_up(told.windows)
        self.turn()

    def leave(self, gone: Callable[[], None]) -> None:
        """End in order: wait for a turn to restart if the settings have turns, then give all leases back."""
        if self.leaving is not None:
            return
        self.leaving = gone
        turns = [errand for errand in self.told.errands if errand.task == RESTARTS]
        if not turns:
            self._go()
            return
        self.proposer.stand_for(clock.now(), RESTARTS, turns[0].places)
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
        for task in list(self.proposer.holds):
            if task != RESTARTS:
                self.proposer.leave(now, task)
        self.turn()
        self.reactor.callLater(GOODBYE, self._close, gone)

    def _close(self, gone: Callable[[], None]) -> None:
        self.port.stopListening()
        self.connections.close()
        if self.pool is not None:
            self.pool.stop()
        if self.disk is not None:
            self.disk.close()
        gone()

    def facts(self) -> dict[str, int]:
        """Figures for the line of counters."""
        held = sum(self.holds(task) is not None for task in self.proposer.holds)
        return {
            "links": len(self.connections.by_peer),
            "held": held,
            "grants": int(bool(self.acceptor and self.acceptor.grants())),
        }
