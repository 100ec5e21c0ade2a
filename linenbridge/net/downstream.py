"""Downstream: the listener and all clients' connections.

This module owns the listening port, every client's connection, and the total size of incomplete commands. It
responds only to commands that are not requests, with an error or `+PONG`; the decision loop responds to
requests. A client that is silent, sends malformed commands or sends too fast does not cost another client its
connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from linenbridge.interface import Method
from linenbridge.logging.event_log import Log
from linenbridge.net.client_connection import Buffers, Client, ConnectionState, PendingResponse
from linenbridge.net.commands import PING, command_name, parse_request
from linenbridge.net.decision_loop import (
    ActiveRequest,
    AttemptTransport,
    DecisionLoop,
    has_nothing_unread,
    read_remaining,
)
from linenbridge.net.descriptors import Descriptors

LAST_CONNECTIONS = 0.4 + 0.05  # seconds from SIGTERM to the last new connections; PROTOCOL, Figures and rules
LAST_COMMANDS = 0.7  # seconds from SIGTERM to the earliest SIGKILL; PROTOCOL, Figures
IDLE_TIMEOUT = 2_000_000  # microseconds without an open request; LATER, The long day
BATCH = 21  # connections; after accepting one, Twisted's Port.doRead accepts up to twenty more at once
MICROSECONDS_PER_SECOND = 1e6


class Clients(Factory):
    """All clients' connections of one gateway.

    `max_ttl` is the longest deadline in microseconds. `max_buffered` limits the bytes of incomplete commands
    over all connections. `pool` is how many connections the usual clients hold at most in total, so that an
    idle connection may keep out a client that has a request.
    """

    def __init__(
        self,
        loop: DecisionLoop,
        reactor: Any,
        instances: AttemptTransport,
        methods: dict[str, Method],
        max_ttl: int,
        max_buffered: int,
        descriptors: Descriptors,
        pool: int,
        log: Log,
    ) -> None:
        self.loop = loop
        self.reactor = reactor
        self.instances = instances
        self.methods = {name.encode(): method for name, method in methods.items()}
        self.max_ttl = max_ttl
        self.max_buffered = max_buffered
        self.buffered = 0
        self.descriptors = descriptors
        self.pool = pool
        self.log = log
        self.open: dict[Client, None] = {}
        # Connections without an open request, each group in the order of `waiting_since`: `silent` ones have
        # sent no command yet or hold an incomplete one, `idle` ones have sent a command before, and
        # `closing_clients` are about to close.
        self.silent: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}
        self.closing_clients: dict[Client, None] = {}
        self.timer: Any = None
        self.port: Any = None
        self.paused = False
        self.closing = False
        self.on_stopped: Callable[[], None] | None = None

    def listen(self, reactor: Any, host: str, port: int) -> None:
        """Start to listen; raises Twisted's CannotListenError if the address can't be used."""
        self.port = reactor.listenTCP(port, self, backlog=self.descriptors.limit, interface=host)

    def buildProtocol(self, addr: Any) -> Client | None:  # noqa: ARG002  # Twisted's signature
        """Accept a connection, and evict idle ones if there is too little room for the next."""
        if not self.descriptors.acquire():
            self.log.count("client.rejected")
            return None
        self.log.count("client.connected")
        self.port.numberAccepts = 1
        if not self.paused and self._is_saturated():
            self._evict_idle()
        client = Client(self)
        self.open[client] = None
        return client

    # ---- requests --------------------------------------------------------------------------------

    def on_command(self, response: PendingResponse, arguments: Buffers) -> None:
        """Accept a request or respond to PING; raises InvalidCommandError for any other command."""
        self._remove_waiting(response.client)
        if command_name(arguments) == PING:
            response.send((b"+PONG\r\n",))
            return
        command = parse_request(arguments, self.methods, self.loop.open, self.max_ttl)
        request = ActiveRequest(
            command.rpc_id, command.method.name, self.instances, command.forwarded, response.respond
        )
        response.request = request
        self.loop.accept(request, command.ttl, command.work, command.tenant, command.key)

    def on_client_disconnected(self, request: ActiveRequest) -> None:
        """End a request whose client has disconnected."""
        self.loop.client_disconnected(request)

    def on_closed(self, client: Client) -> None:
        """Release all that a closed connection held; only this method does so."""
        self.open.pop(client, None)
        self._remove_waiting(client)
        self.set_buffered(client, 0)
        self.descriptors.release()
        if self.paused:
            self._evict_idle()
        self._finish_stop_if_closed()

    # ---- connections without an open request -------------------------------------------------------

    def on_waiting(self, client: Client) -> None:
        """Add a connection without a pending response to its group.

        A silent connection that sends more of an incomplete command keeps its place and its `waiting_since`.
        """
        if client not in self.open:
            return
        waiting = self.silent if client.state == ConnectionState.OPEN else self.closing_clients
        if client.has_sent_command and not client.reader.size and client.state == ConnectionState.OPEN:
            waiting = self.idle
        elif client in waiting:
            return
        self._remove_waiting(client)
        waiting[client] = None
        client.waiting_since = self.loop.now()
        if waiting is self.idle and self.paused:
            self._evict_idle()
        elif waiting is not self.idle and self.timer is None:
            self._arm_timer(IDLE_TIMEOUT)

    def _remove_waiting(self, client: Client) -> None:
        for waiting in (self.silent, self.idle, self.closing_clients):
            waiting.pop(client, None)

    def _arm_timer(self, delay: int) -> None:
        self.timer = self.reactor.callLater(max(0, delay) / MICROSECONDS_PER_SECOND, self._on_timer)

    def _on_timer(self) -> None:
        """Close connections silent for IDLE_TIMEOUT, and reset those that have not closed within that time.

        Idle connections are closed only to make room for new ones.
        """
        cutoff = self.loop.now() - IDLE_TIMEOUT
        for client in [client for client in self.silent if client.waiting_since <= cutoff]:
            if not client.reader.size and not has_nothing_unread(client.transport):
                continue  # A command has arrived while this process was stalled, and is read next.
            self.log.count("client.silent")
            client.reject("nothing was asked in time")
        for client in [client for client in self.closing_clients if client.waiting_since <= cutoff]:
            self.log.count("client.reset")
            client.transport.abortConnection()
        if self.paused:
            self._evict_idle()
        oldest = [
            next(iter(waiting)).waiting_since for waiting in (self.silent, self.closing_clients) if waiting
        ]
        self.timer = None  # Reset only here, so that the calls above do not set a second timer.
        if oldest or self.paused:
            now = self.loop.now()
            self._arm_timer(min(oldest, default=now) + IDLE_TIMEOUT - now)

    def set_buffered(self, client: Client, size: int) -> None:
        """Update the size of all incomplete commands; while it exceeds `max_buffered`, reject the largest."""
        self.buffered += size - client.buffered
        client.buffered = size
        while self.buffered > self.max_buffered:
            largest = max(self.open, key=lambda other: other.buffered)
            self.buffered -= largest.buffered
            largest.buffered = 0
            self.log.count("client.over_budget")
            largest.reject("too much of a command without its end")

    # ---- room for new connections ------------------------------------------------------------------

    def _is_short_of_descriptors(self, more: int = 0) -> bool:
        return self.descriptors.available() + more <= BATCH

    def _is_saturated(self) -> bool:
        staying = len(self.open) - len(self.closing_clients)
        return staying >= self.pool - BATCH or self._is_short_of_descriptors(len(self.closing_clients))

    def _evictable(self) -> list[Client]:
        """Return the connections that may be closed, in the order in which to close them.

        First come those idle for IDLE_TIMEOUT, then silent ones, then those idle for a shorter time, and last
        those with an incomplete command; the oldest of each group comes first.
        """
        cutoff = self.loop.now() - IDLE_TIMEOUT
        return [
            *(client for client in self.idle if client.waiting_since <= cutoff),
            *(client for client in self.silent if not client.reader.size),
            *(client for client in self.idle if client.waiting_since > cutoff),
            *(client for client in self.silent if client.reader.size),
        ]

    def _evict_idle(self) -> None:
        """Close connections without an open request until there is room for a whole batch of new ones.

        Every accepted connection gets a response, and a whole batch may arrive at once. PROTOCOL lets a
        gateway close a connection between requests; otherwise clients that keep their connection after one
        request would keep all others out. A connection with unread bytes is not closed. If too few can be
        closed, accepting pauses, and new connections wait in the system's queue.
        """
        for client in list(self.closing_clients)[: max(0, BATCH + 1 - self.descriptors.available())]:
            client.transport.abortConnection()
        for client in self._evictable():
            if not self._is_saturated():
                break
            if has_nothing_unread(client.transport):
                self.log.count("client.evicted")
                if client in self.idle:
                    client.leave()  # The client would take an error for the response to its next command.
                else:
                    client.reject("room is short, nothing was asked")
        if not self.closing and self.paused != self._is_short_of_descriptors():
            self._toggle_accepting()
        if self.paused and self.timer is None:
            self._arm_timer(IDLE_TIMEOUT)

    def _toggle_accepting(self) -> None:
        self.paused = not self.paused
        if self.paused:
            self.port.stopReading()
        else:
            self.port.startReading()
        self.log.event_sampled("accept", "paused" if self.paused else "resumed", clients=len(self.open))

    # ---- shutdown --------------------------------------------------------------------------------

    def stop(self, reactor: Any, on_stopped: Callable[[], None]) -> None:
        """Stop gracefully, then call `on_stopped`.

        Requests are served while new connections may arrive (LAST_CONNECTIONS); after that, each connection
        is closed as soon as no response is pending on it.
        """
        if self.on_stopped is not None:
            return
        self.on_stopped = on_stopped
        if self.port is None:
            self.closing = True
            self._finish_stop_if_closed()
        else:
            reactor.callLater(LAST_CONNECTIONS, self._close_port)

    def _close_port(self) -> None:
        """Accept the connections in the queue, read what is unread, and close the listener.

        A connection that has sent no command yet, or holds an incomplete one, has a command on the way. It
        stays open until LAST_COMMANDS, while a command can still be answered.
        """
        self.port.numberAccepts = self.descriptors.available()
        self.port.doRead()
        self.port.stopListening()
        self.closing = True
        self.paused = False
        for client in list(self.open):
            if not client.pending and not has_nothing_unread(client.transport):
                read_remaining(client.transport)
            if client.has_sent_command and not client.reader.size:
                client.leave()
        self.reactor.callLater(LAST_COMMANDS - LAST_CONNECTIONS, self._close_all)
        self._finish_stop_if_closed()

    def _close_all(self) -> None:
        for client in list(self.open):
            client.leave()
        self._finish_stop_if_closed()

    def _finish_stop_if_closed(self) -> None:
        if self.on_stopped is not None and self.closing and not self.open:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            on_stopped, self.on_stopped = self.on_stopped, lambda: None
            on_stopped()
