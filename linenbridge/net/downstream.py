"""Downstream: the listener and all clients' connections.

This module owns the listening port, every client's connection, and the total size of incomplete commands. It
responds only to commands that are not requests, with an error or `+PONG`; the decision loop responds to
requests. A client that is silent, sends malformed commands or sends too fast does not cost another client its
connection.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from itertools import islice
from typing import Any

from twisted.internet.protocol import Factory

from linenbridge.interface import Method
from linenbridge.logging.event_log import Log
from linenbridge.net.admission import RoomAdmission, TurnAdmission
from linenbridge.net.client_connection import Buffers, Client, ConnectionState, PendingResponse
from linenbridge.net.command_backlog import CommandBacklog
from linenbridge.net.commands import PING, command_name, parse_request
from linenbridge.net.decision_loop import ActiveRequest, AttemptTransport, DecisionLoop
from linenbridge.net.descriptors import Descriptors
from linenbridge.net.listener import Listener

BACKLOG = 4_096  # connections; the system's usual limit, as a client that finds the queue full waits 1 s
LAST_CONNECTIONS = 0.4 + 0.05  # seconds from SIGTERM to the last new connections; PROTOCOL, Figures and rules
LAST_COMMANDS = 0.7  # seconds from SIGTERM to the last commands that are forwarded; PROTOCOL, Figures
CLOSE_TIME = 0.05  # seconds at the end of a stop in which clients close their connections
CLOSE_RETRY = 0.01  # seconds between two attempts to empty the listener's queue in a stop
IDLE_TIMEOUT = 2_000_000  # microseconds without an open request; LATER, The long day
CHECK_INTERVAL = 100_000  # microseconds between two looks at lingering connections, or for room
MAX_EXAMINED = 16  # connections of each group looked at for each new one
MICROSECONDS_PER_SECOND = 1e6
NO_LIMIT = sys.maxsize
STOPPING = "the gateway is stopping"


class Clients(Factory):
    """All clients' connections of one gateway.

    `max_ttl` is the longest deadline, `stop_time` the time from SIGTERM to the last response, both in
    microseconds. `max_buffered` limits the bytes of incomplete commands over all connections.
    """

    def __init__(
        self,
        loop: DecisionLoop,
        reactor: Any,
        instances: AttemptTransport,
        methods: dict[str, Method],
        max_ttl: int,
        stop_time: int,
        max_buffered: int,
        descriptors: Descriptors,
        admission: RoomAdmission,
        command_admission: TurnAdmission,
        log: Log,
    ) -> None:
        self.loop = loop
        self.reactor = reactor
        self.instances = instances
        self.methods = {name.encode(): method for name, method in methods.items()}
        self.max_ttl = max_ttl
        self.stop_time = stop_time
        self.max_buffered = max_buffered
        self.buffered = 0
        self.descriptors = descriptors
        self.admission = admission
        self.command_admission = command_admission
        self.backlog = CommandBacklog(reactor, loop.enqueue, command_admission)
        self.log = log
        self.open: dict[Client, None] = {}
        # Connections without an open request, each group in the order of `waiting_since`: `silent` ones have
        # sent no command yet or hold an incomplete one, `idle` ones have sent a command before, and
        # `lingering` ones wait for their client to receive everything.
        self.silent: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}
        self.lingering: dict[Client, None] = {}
        self.timer: Any = None
        self.port: Any = None
        self.is_paused = False
        self.stop_at: int | None = None
        self.is_ending = False  # Every connection ends with its next response.
        self.is_refusing = False  # Every request behind a pending one is rejected.
        self.is_past_stop_time = False  # Every request is rejected.
        self.on_stopped: Callable[[], None] | None = None

    def listen(self, reactor: Any, host: str, port: int) -> None:
        """Start to listen; raises Twisted's CannotListenError if the address can't be used."""
        listener = Listener(reactor, self, host, port, backlog=BACKLOG)
        listener.startListening()
        self.port = listener

    def has_room(self) -> bool:
        """Return whether one more connection may be accepted, after making room for it."""
        if self._needs_room():
            self._make_room()
        return self.descriptors.available() > 0

    def on_pause(self) -> None:
        """Note that no connection is accepted until one has closed."""
        self.is_paused = True
        self.log.event_sampled("accept", "paused", clients=len(self.open))
        self._arm_timer(CHECK_INTERVAL)

    def _resume_if_room(self) -> None:
        if self.is_paused and self.port is not None and self.descriptors.available() > 0:
            self.is_paused = False
            self.log.event_sampled("accept", "resumed", clients=len(self.open))
            self.port.resume()

    def buildProtocol(self, addr: Any) -> Client:  # noqa: ARG002  # Twisted's signature
        """Accept a connection, for which there is room."""
        if not self.descriptors.acquire():
            self.log.count("client.rejected")
        self.log.count("client.connected")
        client = Client(self, self.admission.refuses(self.descriptors.available()))
        if self.is_ending:
            client.end_with_response()
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
        response.client.request_count += 1
        request = ActiveRequest(
            command.rpc_id, command.method.name, self.instances, command.forwarded, response.respond
        )
        self._update_surplus(response.client)
        if (reason := self._reason_to_refuse(response.client)) is not None:
            self.loop.refuse(request, reason)
            return
        response.request = request
        ttl = command.ttl if self.stop_at is None else min(command.ttl, self.stop_at - self.loop.now())
        self.loop.accept(request, max(0, ttl), command.work, command.tenant, command.key)

    def may_handle(self, client: Client) -> bool:
        """Return whether a connection's next command may be handled; past the stop's time each is refused."""
        return self.is_past_stop_time or self.command_admission.may_handle(
            len(client.pending), self.loop.unanswered
        )

    def read_limit(self) -> int:
        """Return how many of the commands that have just been read on a connection may be handled now."""
        return NO_LIMIT if self.is_past_stop_time else 1 + self.backlog.share()

    def _reason_to_refuse(self, client: Client) -> str | None:
        is_behind = len(client.pending) > 1  # The command's own response is the last one.
        if self.is_past_stop_time or (self.is_refusing and is_behind):
            return "stopping"
        return "connections" if client.is_surplus else None

    def _update_surplus(self, client: Client) -> None:
        """Serve a surplus connection as any other if descriptors are available again, or else end it."""
        client.is_surplus = client.is_surplus and self.admission.refuses(self.descriptors.available())
        if client.is_surplus:
            client.end_with_response()

    def on_client_disconnected(self, request: ActiveRequest) -> None:
        """End a request whose client has disconnected."""
        self.loop.client_disconnected(request)

    def on_closed(self, client: Client) -> None:
        """Release all that a closed connection held; only this method does so."""
        self.open.pop(client, None)
        self.backlog.remove(client)
        self._remove_waiting(client)
        self.set_buffered(client, 0)
        self.descriptors.release()
        self._resume_if_room()
        self._finish_stop_if_closed()

    # ---- connections without an open request -------------------------------------------------------

    def on_waiting(self, client: Client) -> None:
        """Add a connection without a pending response to its group.

        A silent connection that sends more of an incomplete command keeps its place and its `waiting_since`.
        """
        if client not in self.open:
            return
        if client.state == ConnectionState.LINGERING:
            waiting = self.lingering
        elif client.has_sent_command and not client.reader.size:
            waiting = self.idle
        else:
            waiting = self.silent
            if self.is_refusing and not client.transport.has_unread():
                client.reject(STOPPING)
                return
        if waiting is not self.idle and client in waiting:
            return
        self._remove_waiting(client)
        waiting[client] = None
        client.waiting_since = self.loop.now()
        if waiting is not self.idle:
            self._arm_timer(IDLE_TIMEOUT if waiting is self.silent else CHECK_INTERVAL)

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of connections in each group, by the group's name."""
        return {"silent": len(self.silent), "idle": len(self.idle), "lingering": len(self.lingering)}

    def _remove_waiting(self, client: Client) -> None:
        for waiting in (self.idle, self.silent, self.lingering):
            waiting.pop(client, None)

    def _arm_timer(self, delay: int) -> None:
        """Set the timer, unless it is already set to an earlier time."""
        due = self.reactor.seconds() + max(0, delay) / MICROSECONDS_PER_SECOND
        if self.timer is not None and self.timer.active():
            if self.timer.getTime() <= due:
                return
            self.timer.cancel()
        self.timer = self.reactor.callLater(max(0, delay) / MICROSECONDS_PER_SECOND, self._on_timer)

    def _on_timer(self) -> None:
        """Close connections silent for IDLE_TIMEOUT, and lingering ones that their client has closed.

        A client that has not closed within that time is reset. Idle connections are closed only to make room
        for new ones.
        """
        self.timer = None
        now = self.loop.now()
        for client in [client for client in self.silent if client.waiting_since <= now - IDLE_TIMEOUT]:
            if not client.reader.size and client.transport.has_unread():
                continue  # A command has arrived while this process was stalled, and is read next.
            self.log.count("client.silent")
            client.reject("nothing was asked in time")
        for client in [client for client in self.lingering if client.waiting_since <= now - IDLE_TIMEOUT]:
            self._reset(client)
        self._close_finished()
        if self.is_paused:
            self.has_room()
            self._resume_if_room()
        if self.silent:
            self._arm_timer(max(CHECK_INTERVAL, next(iter(self.silent)).waiting_since + IDLE_TIMEOUT - now))
        if self.lingering or self.is_paused:
            self._arm_timer(CHECK_INTERVAL)

    def _close_finished(self) -> None:
        """Close the lingering connections that their clients have closed."""
        for client in list(self.lingering):
            if client.transport.has_peer_closed():
                client.transport.close()

    def _reset(self, client: Client) -> None:
        self.log.count("client.reset")
        undelivered = client.transport.undelivered()
        if undelivered:
            self.log.event_sampled("client", "undelivered", bytes=undelivered)
        client.transport.abortConnection()

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

    def _needs_room(self) -> bool:
        staying = len(self.open) - len(self.lingering)
        return self.admission.needs_room(staying, self.descriptors.available())

    def ends_with_response(self, client: Client) -> bool:
        """Return whether a connection ends with its response, because others need room."""
        return self.admission.may_end_with_response(self.descriptors.available(), client.request_count)

    def _make_room(self) -> None:
        """Close connections without an open request until there is room for a batch of new ones.

        PROTOCOL lets a gateway close a connection between requests; otherwise clients that keep their
        connection after one request would keep all others out.
        """
        for client in self._evictable():
            if not self._needs_room():
                return
            if client in self.open:
                self._evict(client)

    def _evict(self, client: Client) -> None:
        """End a connection unless something is unread; don't wait for its client if descriptors are short."""
        if client.state != ConnectionState.LINGERING:
            if client in self.idle:
                client.end()
            elif not client.transport.has_unread():
                client.reject("room is short, nothing was asked")
            if client.state != ConnectionState.LINGERING:
                return
            self.log.count("client.evicted")
        if self.admission.is_short(self.descriptors.available()) and not client.transport.undelivered():
            client.transport.close()

    def _evictable(self) -> list[Client]:
        """Return the connections to close first, in this order; the oldest of each group comes first.

        Silent ones come last: one of them may just be about to send its first command.
        """
        now = self.loop.now()
        is_short = self.admission.is_short(self.descriptors.available())
        candidates = list(islice(self.lingering, MAX_EXAMINED)) if is_short else []
        candidates += [
            client
            for client in islice(self.idle, MAX_EXAMINED)
            if self.admission.may_end_unasked(now - client.waiting_since, client.request_count)
        ]
        if is_short:
            silent = list(islice(self.silent, MAX_EXAMINED))
            candidates += sorted(silent, key=lambda client: client.reader.size > 0)
        return candidates

    # ---- shutdown --------------------------------------------------------------------------------

    def stop(self, reactor: Any, on_stopped: Callable[[], None]) -> None:
        """Stop gracefully, then call `on_stopped`.

        Requests are served while new connections may arrive (LAST_CONNECTIONS). After that each connection
        ends with its next response, so that no request is on its way to it. From LAST_COMMANDS on, a command
        that is read behind a pending one is rejected, and a connection without a whole command ends. At
        `stop_time` all connections end, and the requests that are still open fail.
        """
        if self.on_stopped is not None:
            return
        self.on_stopped = on_stopped
        if self.port is None:
            self.is_ending = True
            self._finish_stop_if_closed()
            return
        self.stop_at = self.loop.now() + self.stop_time
        reactor.callLater(LAST_CONNECTIONS, self._close_port)
        reactor.callLater(LAST_COMMANDS, self._end_silent)
        reactor.callLater(self.stop_time / MICROSECONDS_PER_SECOND, self._end_all)

    def _close_port(self) -> None:
        """Accept the connections in the queue, then close the listener."""
        if not self.is_ending:
            self.is_ending = True
            for client in list(self.open):
                client.end_with_response()
        if self.port.accept_queued():
            self.is_paused = False
            self.port.close()
            self._finish_stop_if_closed()
        else:
            self.reactor.callLater(CLOSE_RETRY, self._close_port)

    def _end_silent(self) -> None:
        """End the connections without a whole command, and reject commands behind a pending one."""
        self.is_refusing = True
        for client in list(self.silent):
            self.on_waiting(client)
        self._finish_stop_if_closed()

    def _end_all(self) -> None:
        """Reject what is unread, fail the requests that are still open, and end all connections."""
        self.is_past_stop_time = True
        for client in list(self.open):
            client.handle_commands(NO_LIMIT)
            if client.state < ConnectionState.REJECTED:
                client.transport.doRead()
        for client in list(self.open):
            unanswered = [response.request for response in client.pending if response.request is not None]
            for request in unanswered:
                self.log.event("client.unanswered", id=request.id, method=request.method)
                self.loop.abandon(request)
        for client in list(self.open):
            client.end()
            if client.state < ConnectionState.LINGERING:
                client.reject(STOPPING)
        if self.port is not None:
            self.port.close()
        self.reactor.callLater(CLOSE_TIME, self._reset_all)
        self._finish_stop_if_closed()

    def _reset_all(self) -> None:
        for client in list(self.open):
            self._reset(client)

    def _is_listening(self) -> bool:
        return self.port is not None and bool(self.port.connected)

    def _finish_stop_if_closed(self) -> None:
        if self.on_stopped is not None and self.is_ending and not self.open and not self._is_listening():
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            on_stopped, self.on_stopped = self.on_stopped, lambda: None
            on_stopped()
