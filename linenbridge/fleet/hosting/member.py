"""One member of the fleet on a reactor: proposer, acceptor if it is one, connections and task actions.

Connects these parts, keeps one timer for both state machines, and carries out their decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from linenbridge.fleet.configuration import RESTARTS_TASK, FleetSettings
from linenbridge.fleet.hosting.acceptor_host import AcceptorHost
from linenbridge.fleet.hosting.freezes import RolloutFreezes
from linenbridge.fleet.hosting.task_actions import ActiveLease, TaskActions
from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.decisions import (
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
from linenbridge.logging.event_log import Log
from linenbridge.peering import clock
from linenbridge.peering.connections import PeerConnections, call_soon

MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)
CLOSE_DELAY = 0.25  # seconds for sending the last messages of a leaving member
MIN_WAIT = 0.001  # seconds
REPLY_PEERS_PER_CONNECTION = 4  # more than 1, because a restarted peer has a new proposer name
SPARE_REPLY_PEERS = 64  # added to the bound by connections


def ignore_rollout_freeze(zones: frozenset[str] | None) -> None:
    """Do nothing; for a member without a decision module."""


def ignore_task_change(task: str) -> None:
    """Do nothing; for a member whose leases are used by task actions only."""


class Member:
    """A member from its start until it leaves.

    `incarnation` differs for each start of the process. `on_rollout_freeze` is called with the zones in which
    rollouts are frozen: the empty set for everywhere, None for nowhere. `on_task_changed` is called with a
    task whose lease this member has acquired or lost.
    """

    def __init__(
        self,
        settings: FleetSettings,
        reactor: Any,
        log: Log,
        incarnation: int,
        on_rollout_freeze: Callable[[frozenset[str] | None], None] = ignore_rollout_freeze,
        on_task_changed: Callable[[str], None] = ignore_task_change,
    ) -> None:
        """Start: listen, connect to the acceptors and request the leases of all tasks."""
        now = clock.now()
        self.settings = settings
        self.reactor = reactor
        self.log = log
        self.incarnation = incarnation
        self.on_task_changed = on_task_changed
        self.name = f"{settings.member}#{incarnation:x}"
        self.proposer = Proposer(self.name, settings.quorum, settings.timing, incarnation, now)
        self.acceptor_host: AcceptorHost | None = None
        self.reply_peers: dict[str, str] = {}  # by proposer, the peer that its last request came from
        self.timer: Any = None
        self.on_left: Callable[[], None] | None = None  # set once this member begins to leave
        self.has_left = False
        self.is_closed = False
        if settings.is_acceptor():
            self._start_acceptor(now)
        self.connections = self._new_connections()
        host, port = settings.listen
        self.port = reactor.listenTCP(port, self.connections, interface=host)
        self._dial_acceptors()
        self._request_leases(now)
        self.freezes = RolloutFreezes(settings.windows, reactor, log, on_rollout_freeze)
        self.actions = TaskActions(self.name, settings.tasks, reactor, log, self.active_lease)
        self._log_start()
        self.turn()

    def _new_connections(self) -> PeerConnections:
        return PeerConnections(
            self.settings.member,
            frozenset(self.settings.members),
            self.reactor,
            self.log,
            self._on_message,
            decoder=MESSAGE_DECODER,
        )

    def _request_leases(self, now: int) -> None:
        """Request the leases of all tasks except `restarts`, which only `leave` requests."""
        for task in self.settings.tasks:
            if task.task != RESTARTS_TASK:
                self.proposer.request_lease(now, task.task, task.slots)

    def _log_start(self) -> None:
        self.log.event(
            "member.started",
            member=self.settings.member,
            incarnation=f"{self.incarnation:x}",
            acceptor=self.settings.is_acceptor(),
        )

    def _start_acceptor(self, now: int) -> None:
        self.acceptor_host = AcceptorHost(
            self.settings,
            self.reactor,
            self.log,
            self.incarnation,
            now,
            on_persisted=self._send,
            on_store_failed=self.turn,
        )

    @property
    def acceptor(self) -> Acceptor | None:
        """The acceptor's state machine, None if this member is no acceptor."""
        return None if self.acceptor_host is None else self.acceptor_host.acceptor

    def _dial_acceptors(self) -> None:
        for acceptor in self.settings.quorum.all_acceptors():
            if acceptor != self.settings.member:
                self.connections.dial(acceptor, self.settings.members[acceptor])

    # ---- messages ------------------------------------------------------------------------------------------

    def _on_message(self, peer: str, message: Message) -> None:
        """Process a message; drop it if its sender is not the member at the other end of the connection."""
        now = clock.now()
        if isinstance(message, LeaseReply):
            if message.acceptor == peer:
                self.proposer.on_reply(now, message)
        elif self.acceptor is not None:
            self._on_acceptor_message(now, self.acceptor, peer, message)
        self.turn()

    def _on_acceptor_message(
        self, now: int, acceptor: Acceptor, peer: str, message: LeaseRequest | RecoveryRequest | RecoveryReply
    ) -> None:
        match message:
            case LeaseRequest() if message.proposer.partition("#")[0] == peer:
                self._record_reply_peer(message.proposer, peer)
                acceptor.on_request(now, message)
            case RecoveryRequest() if message.acceptor == peer:
                acceptor.on_recovery_request(now, message)
            case RecoveryReply() if message.acceptor == peer:
                acceptor.on_revision(peer, message.revision)
                acceptor.on_recovery_reply(now, message)

    def _record_reply_peer(self, proposer: str, peer: str) -> None:
        """Record the peer to which replies are sent; beyond a bound, drop entries of lost connections."""
        connected = self.connections.by_peer
        if len(self.reply_peers) > REPLY_PEERS_PER_CONNECTION * len(connected) + SPARE_REPLY_PEERS:
            self.reply_peers = {name: peer for name, peer in self.reply_peers.items() if peer in connected}
        self.reply_peers[proposer] = peer

    def _send(self, send: Send) -> None:
        if send.to in (self.name, self.settings.member):
            call_soon(self.reactor, self._on_message, self.settings.member, send.message)
        else:
            self.connections.send(self.reply_peers.get(send.to, send.to), send.message)

    # ---- decisions -----------------------------------------------------------------------------------------

    def turn(self) -> None:
        """Carry out all decisions that are due, then set the timer."""
        if self.is_closed:
            return
        now = clock.now()
        machines: list[Proposer | Acceptor] = [self.proposer]
        while (decision := self.proposer.next_decision(now)) is not None:
            self._execute(decision)
        if self.acceptor_host is not None:
            machines.append(self.acceptor_host.acceptor)
            self._execute_acceptor(now, self.acceptor_host)
        wake_times = [machine.wake_at() for machine in machines]
        wake_at = min((at for at in wake_times if at is not None), default=None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if wake_at is not None:
            self.timer = self.reactor.callLater(max(MIN_WAIT, (wake_at - now) / 1e6), self.turn)

    def _execute_acceptor(self, now: int, host: AcceptorHost) -> None:
        """Carry out the acceptor's decisions."""
        while (decision := host.acceptor.next_decision(now)) is not None:
            match decision:
                case Send():
                    host.send(decision)
                case Persist():
                    host.persist(decision)
                case LogEvent(name, fields):
                    self.log.event(name, **fields)

    def _execute(self, decision: ProposerDecision) -> None:
        match decision:
            case Send():
                self._send(decision)
            case LogEvent(name, fields):
                self.log.event(name, **fields)
            case LeaseAcquired(task, slot, term):
                self.log.event("task.acquired", task=task, slot=slot, term=term)
                call_soon(self.reactor, self.on_task_changed, task)
                if task == RESTARTS_TASK and self.on_left is not None:
                    self._release_leases()
            case LeaseLost(task, slot, term):
                self.log.event("task.lost", task=task, slot=slot, term=term)
                call_soon(self.reactor, self.on_task_changed, task)

    # ---- called by the process -----------------------------------------------------------------------------

    def active_lease(self, task: str) -> ActiveLease | None:
        """Return the lease under which this member may act on the task at this moment, or None."""
        term = self.proposer.may_act(clock.now(), task)
        return None if term is None else ActiveLease(term, self.proposer.leases[task].slot)

    def update_settings(self, settings: FleetSettings) -> None:
        """Apply new settings: quorum, addresses and windows at once, all else at the next start."""
        if self.has_left:
            return
        now = clock.now()
        self.settings = settings
        self.proposer.on_quorum(now, settings.quorum)
        if self.acceptor is not None:
            self.acceptor.on_quorum(now, settings.quorum)
        elif settings.is_acceptor():
            self._start_acceptor(now)
        self.connections.peer_names = frozenset(settings.members)
        acceptors = settings.quorum.all_acceptors()
        for former in [name for name in self.connections.dialled if name not in acceptors]:
            self.connections.disconnect(former)
        self._dial_acceptors()
        self.freezes.update(settings.windows)
        self.turn()

    def leave(self, on_left: Callable[[], None], time_limit: int | None = None) -> None:
        """Wait for a slot of the task `restarts`, if configured, then give all leases back and close.

        The wait is bounded by `restart_timeout`, and so that the member has left after `time_limit`
        microseconds, if that is given. `on_left()` is called once all is closed.
        """
        if self.on_left is not None:
            return
        self.on_left = on_left
        restarts = next((task for task in self.settings.tasks if task.task == RESTARTS_TASK), None)
        if restarts is None:
            self._release_leases()
            return
        self.proposer.request_lease(clock.now(), RESTARTS_TASK, restarts.slots)
        timeout = self.settings.restart_timeout / 1e6
        if time_limit is not None:
            timeout = min(timeout, max(0.0, time_limit / 1e6 - CLOSE_DELAY))
        self.reactor.callLater(timeout, self._on_restart_timeout, timeout)
        self.turn()

    def _on_restart_timeout(self, waited: float) -> None:
        """Leave without a slot of `restarts`; `waited` is in seconds."""
        if not self.has_left:
            self.log.event("restart.timed_out", waited=waited)
            self._release_leases()

    def _release_leases(self) -> None:
        """Give back all leases except that of `restarts`, which expires, and close after `CLOSE_DELAY`."""
        if self.has_left:
            return
        self.has_left = True
        self.actions.close()
        self.freezes.close()
        now = clock.now()
        for task in list(self.proposer.leases):
            if task != RESTARTS_TASK:
                self.proposer.release_lease(now, task)
        self.turn()
        self.reactor.callLater(CLOSE_DELAY, self._close)

    def _close(self) -> None:
        self.is_closed = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.port.stopListening()
        self.connections.close()
        on_left = self.on_left or (lambda: None)
        if self.acceptor_host is None:
            on_left()
        else:
            self.acceptor_host.close(on_left)

    def facts(self) -> dict[str, int]:
        """Return the fields of this member for the log line of counters."""
        active = sum(self.active_lease(task) is not None for task in self.proposer.leases)
        return {
            "connected_peers": len(self.connections.by_peer),
            "active_leases": active,
            "granting": int(self.acceptor is not None and self.acceptor.grants()),
        }
