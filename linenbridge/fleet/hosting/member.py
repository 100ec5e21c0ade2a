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

from linenbridge.fleet.configuration import RESTARTS_TASK, FleetSettings
from linenbridge.errors import ControlPlaneError
from linenbridge.peering import clock
from linenbridge.fleet.hosting.task_actions import TaskActions
from linenbridge.fleet.hosting.freezes import RolloutFreezes
from linenbridge.peering.connections import PeerConnections, call_soon
from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.decisions import (
    AcceptorDecision,
    LeaseAcquired,
    LeaseLost,
    LogEvent,
    Persist,
    ProposerDecision,
    Send,
)
from linenbridge.fleet.leases.messages import (
    LeaseReply,
    LeaseRequest,
    Message,
    RecoveryReply,
    RecoveryRequest,
)
from linenbridge.fleet.leases.proposer import Proposer
from linenbridge.fleet.store.acceptor_records import open_records
from linenbridge.logging.event_log import Log

MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)
GOODBYE = 0.25  # seconds for the last words of a member that leaves


class Member:
    """`incarnation` differs for each start of the process. `on_rollout_freeze` is called with the zones in
    which releases are held, None for none; `on_task_changed` with a task that this member has begun or ceased
    to hold."""

    def __init__(
        self, told: FleetSettings, reactor: Any, log: Log, incarnation: int,
        on_rollout_freeze: Callable[[frozenset[str] | None], None] = lambda zones: None,
        on_task_changed: Callable[[str], None] = lambda task: None,
    ) -> None:  # fmt: skip
        self.told, self.reactor, self.log, self.on_task_changed = told, reactor, log, on_task_changed
        self.name, self.incarnation = f"{told.member}#{incarnation:x}", incarnation
        now = clock.now()
        self.proposer = Proposer(self.name, told.quorum, told.timing, incarnation, now)
        self.acceptor: Acceptor | None = None
        self.proposers: dict[str, str] = {}  # by proposer, the link that it was last heard on
        self.disk = self.pool = self.timer = self.leaving = None
        self.gone = False
        if told.is_acceptor():
            self._start_acceptor(now, incarnation)
        self.connections = PeerConnections(
            told.member, frozenset(told.members), reactor, log, self._hear, decoder=MESSAGE_DECODER
        )
        self.port = reactor.listenTCP(told.listen[1], self.connections, interface=told.listen[0])
        self._dial()
        for task in told.tasks:
            if task.task != RESTARTS_TASK:
                self.proposer.request_lease(now, task.task, task.slots)
        self.freezes = RolloutFreezes(told.windows, reactor, log, on_rollout_freeze)
        self.actions = TaskActions(self.name, told.tasks, reactor, log, self.held_lease)
        acceptor = told.is_acceptor()
        log.event(
            "member.started", member=told.member, life=f"{incarnation:x}", acceptor=acceptor, seat=acceptor
        )
        self.turn()

    def _start_acceptor(self, now: int, incarnation: int) -> None:
        """Read the store, then start the acceptor. If the store can't be used the acceptor grants
        nothing."""
        told, broken, kept = self.told, "", None
        try:
            self.disk = open_records(told.store)
            kept = self.disk.read()
        except ControlPlaneError as error:
            broken = str(error)
            self.log.event("store.failed", **error.fields())
            kept = open_records("").read()
        number = Random(incarnation).getrandbits(52)
        self.acceptor = Acceptor(
            told.member,
            told.quorum,
            told.timing,
            kept,
            now,
            first_term=told.first_term,
            trusted=told.store_never_goes_back,
            incarnation=number,
        )
        if broken:
            self.acceptor.on_store_failed(broken)
        self.pool = ThreadPool(1, 1, "promises")
        self.pool.start()

    def _dial(self) -> None:
        for acceptor in self.told.quorum.all_acceptors():
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
            acceptor.on_revision(far, message.revision)
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

    def _carry_out(self, decision: ProposerDecision | AcceptorDecision) -> None:
        match decision:
            case Send(to, message):
                self._say(to, message)
            case Persist():
                self._persist(decision)
            case LogEvent(name, fields):
                self.log.event(name, **fields)
            case LeaseAcquired(task, slot, term):
                self.log.event("task.held", task=task, place=slot, term=term)
                call_soon(self.reactor, self.on_task_changed, task)
                if task == RESTARTS_TASK and self.leaving is not None:
                    self._go()
            case LeaseLost(task, slot, term):
                self.log.event("task.lost", task=task, place=slot, term=term)
                call_soon(self.reactor, self.on_task_changed, task)

    def _persist(self, decision: Persist) -> None:
        """Write to the store, then send the message that waits for it."""
        records = decision.records
        done = deferToThreadPool(self.reactor, self.pool, self.disk.write, records, self.acceptor.facts())
        done.addCallbacks(self._persisted, self._not_kept, callbackArgs=(decision.then,))

    def _persisted(self, _: None, then: Send | None) -> None:
        if then is not None:
            self._say(then.to, then.message)

    def _not_kept(self, failure: Any) -> None:
        self.acceptor.on_store_failed(failure.getErrorMessage())
        self.turn()

    # ---- what others ask ---------------------------------------------------------------------------

    def held_lease(self, task: str) -> tuple[int, int] | None:
        """Term and place under which this member may act on the task at this moment, or None."""
        term = self.proposer.may_act(clock.now(), task)
        return None if term is None else (term, self.proposer.leases[task].slot)

    def update_settings(self, told: FleetSettings) -> None:
        """New settings: the quorum, addresses and windows count at once, all else from the next start."""
        now = clock.now()
        self.told = told
        self.proposer.on_quorum(now, told.quorum)
        if self.acceptor is not None:
            self.acceptor.on_quorum(now, told.quorum)
        elif told.is_acceptor():
            self._start_acceptor(now, self.incarnation)
        self.connections.peer_names = frozenset(told.members)
        acceptors = told.quorum.all_acceptors()
        for former in [name for name in self.connections.dialled if name not in acceptors]:
            self.connections.disconnect(former)
        self._dial()
        self.freezes.update(told.windows)
        self.turn()

    def leave(self, gone: Callable[[], None]) -> None:
        """End in order: wait for a turn to restart if the settings have turns, then give all leases back."""
        if self.leaving is not None:
            return
        self.leaving = gone
        turns = [task for task in self.told.tasks if task.task == RESTARTS_TASK]
        if not turns:
            self._go()
            return
        self.proposer.request_lease(clock.now(), RESTARTS_TASK, turns[0].slots)
        self.reactor.callLater(self.told.restart_timeout / 1e6, self._go)
        self.turn()

    def _go(self) -> None:
        gone, self.leaving = self.leaving, lambda: None
        if gone is None or self.gone:
            return
        self.gone = True
        self.actions.close()
        self.freezes.close()
        now = clock.now()
        for task in list(self.proposer.leases):
            if task != RESTARTS_TASK:
                self.proposer.release_lease(now, task)
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
        held = sum(self.held_lease(task) is not None for task in self.proposer.leases)
        return {
            "links": len(self.connections.by_peer),
            "held": held,
            "grants": int(bool(self.acceptor and self.acceptor.grants())),
        }
