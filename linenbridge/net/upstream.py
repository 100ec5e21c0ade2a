"""Upstream: connections to instances, and the attempts in flight on them.

This module owns every connection to an instance, and every attempt with its timeout, from its decision to its
only outcome. It does not select instances. An attempt is written at most once, and never to a connection that
has closed, that belongs to a replaced process, or that has received more than one response: the surplus would
be taken for the response to the next attempt.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from heapq import heappop, heappush
from itertools import count
from typing import Any, NamedTuple

from linenbridge.interface import EndpointEntry, Id, InstanceState, Outcome
from linenbridge.logging.event_log import Log
from linenbridge.net import resp
from linenbridge.net.decision_loop import ActiveRequest, DecisionLoop
from linenbridge.net.descriptors import Descriptors
from linenbridge.net.load_reports import load_report
from linenbridge.net.sockets import has_unread, shut_down_sending, write_immediately
from linenbridge.net.upstream_connection import Attempt, Connection, ConnectionFactory, ConnectionPool

ERROR_LINE = re.compile(rb"(BUSY|ERR|SYNTAX|NOPERM)( [ -~]*)?")  # PROTOCOL, Gateways to instances
REST_AFTER_RESPONSE = 20_000  # microseconds; a duplicate response may arrive that late (STANDING, join+mass)
MICROSECONDS_PER_SECOND = 1e6
RESPONDED = (Outcome.OK, Outcome.ERROR, Outcome.OVERLOADED)  # outcomes after which a connection can be reused


class _Timeout(NamedTuple):
    """An entry in the heap of timeouts; `times_out_at` is in microseconds, `serial` orders equal times."""

    times_out_at: int
    serial: int
    attempt: Attempt


class Instances:
    """All connections of one gateway to instances.

    `connect_timeout` and `idle_timeout`, after which instances close idle connections, are in microseconds.
    """

    can_hedge = True

    def __init__(
        self,
        loop: DecisionLoop,
        reactor: Any,
        max_descriptors: int,
        connect_timeout: int,
        idle_timeout: int,
        log: Log,
    ) -> None:
        self.loop = loop
        self.reactor = reactor
        self.log = log
        self.connect_timeout = connect_timeout / MICROSECONDS_PER_SECOND
        # Instances close connections idle for `idle_timeout`; this gateway closes them at half of it.
        self.idle_timeout = idle_timeout // 2
        self.descriptors = Descriptors(max_descriptors, self._evict_idle)
        self.pools: dict[Id, ConnectionPool] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.timeouts: list[_Timeout] = []
        self.serial = count()
        self.timer: Any = None
        self.timer_at = 0
        self.idle_timer: Any = None

    # ---- the endpoint list -----------------------------------------------------------------------

    def listed(self, listed: Iterable[tuple[EndpointEntry, tuple[str, int]]], is_snapshot: bool) -> None:
        """Apply the endpoint list.

        Nothing more is sent to an instance that drains or is removed, or to the former process of an instance
        that has moved or restarted.
        """
        listed_names = set()
        for entry, address in listed:
            listed_names.add(entry.instance)
            pool = self.pools.get(entry.instance)
            if pool is None:
                if entry.state != InstanceState.REMOVED:
                    self.pools[entry.instance] = ConnectionPool(entry, address)
                continue
            before = pool.process_identity()
            pool.entry = entry
            pool.address = address
            if entry.state != InstanceState.READY or before != pool.process_identity():
                self._retire(pool)
        for name, pool in list(self.pools.items()):
            if pool.entry.state == InstanceState.REMOVED or (is_snapshot and name not in listed_names):
                # Busy connections refer to the pool until they close; its state keeps them from being reused.
                pool.entry = pool.entry._replace(state=InstanceState.REMOVED)
                del self.pools[name]
                self._retire(pool)

    def _retire(self, pool: ConnectionPool) -> None:
        """Close idle connections, and end unsent attempts, so that the module decides on them again."""
        for connection in list(pool.idle):
            self._close(connection)
        for attempt in list(pool.waiting):
            self._end(attempt, Outcome.NOT_SENT)

    # ---- attempts --------------------------------------------------------------------------------

    def send(self, now: int, request: ActiveRequest, number: int, instance: Id, timeout: int) -> None:
        """Send an attempt on an idle connection, or on the first that is established or reusable."""
        pool = self.pools.get(instance)
        if pool is None:  # The instance was removed after the module last received the list.
            self.loop.attempt_finished(request, number, now, Outcome.NOT_SENT, {})
            return
        attempt = Attempt(request, number, pool, now, now + timeout)
        self.attempts[request.id, number] = attempt
        self._add_timeout(now, attempt)
        if (connection := self._take_reusable(pool, now)) is not None:
            self._write(connection, attempt)
            return
        pool.waiting.append(attempt)
        self._arm_reuse_timer(pool, now)
        if pool.connecting < len(pool.waiting):
            self._connect(pool)

    def cancel(self, request: ActiveRequest, number: int) -> None:
        """Cancel an attempt unless it has ended."""
        if (attempt := self.attempts.get((request.id, number))) is not None:
            self._end(attempt, Outcome.CANCELLED if attempt.connection else Outcome.NOT_SENT)

    def withdraw_unsent(self, request: ActiveRequest) -> None:
        """End the attempts of a request that still wait for a connection."""
        for number in range(request.attempts):
            attempt = self.attempts.get((request.id, number))
            if attempt is not None and attempt.connection is None:
                self._end(attempt, Outcome.NOT_SENT)

    def _write(self, connection: Connection, attempt: Attempt) -> None:
        connection.attempt = attempt
        connection.is_used = True
        attempt.connection = connection
        time_left = attempt.times_out_at - self.loop.now()
        write_immediately(connection.transport, attempt.request.payload.command(time_left))

    def _add_timeout(self, now: int, attempt: Attempt) -> None:
        self._drop_ended_timeouts()
        heappush(self.timeouts, _Timeout(attempt.times_out_at, next(self.serial), attempt))
        if self.timer is None or attempt.times_out_at < self.timer_at:
            self._arm_timer(now)

    def _drop_ended_timeouts(self) -> None:
        while self.timeouts and self.timeouts[0].attempt.ended:
            heappop(self.timeouts)

    def _arm_timer(self, now: int) -> None:
        """Set the timer for the attempt that times out first."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._drop_ended_timeouts()
        if self.timeouts:
            self.timer_at = self.timeouts[0].times_out_at
            delay = max(0, self.timer_at - now) / MICROSECONDS_PER_SECOND
            self.timer = self.reactor.callLater(delay, self._on_timeout)

    def _on_timeout(self) -> None:
        self.timer = None
        now = self.loop.now()
        while self.timeouts and (self.timeouts[0].times_out_at <= now or self.timeouts[0].attempt.ended):
            attempt = heappop(self.timeouts).attempt
            self._end(attempt, Outcome.TIMED_OUT if attempt.connection else Outcome.CONNECT_FAILED)
        self._arm_timer(now)

    def on_response(self, connection: Connection, attempt: Attempt, message: resp.Value) -> None:
        """End an attempt with the outcome that PROTOCOL's table gives for its response.

        Only `-BUSY` means that the attempt was not executed. Raises MalformedError for any other message.
        """
        match message:
            case [memoryview() as value, None, (None | memoryview()) as report]:
                self._end(attempt, Outcome.OK, load_report(report), resp.bulk(value))
            case resp.Line(mark=b"-", text=text) if ERROR_LINE.fullmatch(text):
                kind, _, rest = text.partition(b" ")
                if kind == b"SYNTAX":
                    self.log.event("syntax", instance=connection.pool.entry.instance)
                outcome = Outcome.OVERLOADED if kind == b"BUSY" else Outcome.ERROR
                self._end(attempt, outcome, load_report(rest.split(b" ")[-1]))
            case _:
                raise resp.MalformedError(
                    "the response is neither a value and a load report nor BUSY, ERR, SYNTAX or NOPERM"
                )

    def on_malformed(self, connection: Connection, error: resp.MalformedError) -> None:
        """Close a connection with a malformed response; its attempt may have been executed."""
        self.log.event_sampled(
            "malformed", "instance", error=str(error), instance=connection.pool.entry.instance
        )
        if connection.attempt is not None:
            self._end(connection.attempt, Outcome.MALFORMED_RESPONSE)
        self._close(connection)

    def _end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        load: dict[str, float] | None = None,
        value: tuple[bytes | memoryview, ...] = (),
    ) -> None:
        """End an attempt; only this method does so. Its connection stays open only after a response."""
        if attempt.ended:
            return
        attempt.ended = True
        del self.attempts[attempt.request.id, attempt.number]
        connection = attempt.connection
        if connection is None:
            attempt.pool.waiting.remove(attempt)
        else:
            connection.attempt = None
            if outcome not in RESPONDED:
                self._close(connection)
        self.loop.attempt_finished(
            attempt.request, attempt.number, attempt.sent_at, outcome, load or {}, value
        )

    # ---- connections -----------------------------------------------------------------------------

    def _take_reusable(self, pool: ConnectionPool, now: int) -> Connection | None:
        """Return the connection idle longest if it has been idle for REST_AFTER_RESPONSE, otherwise None.

        A duplicate response would be taken for the response to the next attempt. It has arrived by then, and
        a connection that has received anything is closed.
        """
        while pool.idle and pool.idle[0].idle_since + REST_AFTER_RESPONSE <= now:
            connection = pool.idle.popleft()
            if not has_unread(connection.transport.socket):
                return connection
            self.log.count("upstream.unusable")
            self._close(connection)
        return None

    def _arm_reuse_timer(self, pool: ConnectionPool, now: int) -> None:
        """Set the timer for the pool's first reusable connection, if an attempt waits.

        The attempt takes whichever is available first: that connection or a new one.
        """
        if pool.idle and pool.waiting and pool.timer is None:
            delay = max(0, pool.idle[0].idle_since + REST_AFTER_RESPONSE - now)
            pool.timer = self.reactor.callLater(delay / MICROSECONDS_PER_SECOND, self._on_reusable, pool)

    def _on_reusable(self, pool: ConnectionPool) -> None:
        pool.timer = None
        now = self.loop.now()
        while pool.waiting and (connection := self._take_reusable(pool, now)) is not None:
            self._write(connection, pool.waiting.popleft())
        self._arm_reuse_timer(pool, now)

    def _connect(self, pool: ConnectionPool) -> None:
        """Open one more connection; once established, it takes the attempt that has waited longest."""
        if not self.descriptors.acquire():
            self.log.count("upstream.no_descriptor")
            self._end(pool.waiting[-1], Outcome.CONNECT_FAILED)
            return
        pool.connecting += 1
        self.log.count("upstream.opened")
        connection = Connection(self, pool)
        host, port = pool.address
        try:
            self.reactor.connectTCP(host, port, ConnectionFactory(connection), self.connect_timeout, None)
        except OSError as error:
            self.log.failed("connecting", error)
            self.on_connect_failed(connection)

    def on_connected(self, connection: Connection) -> None:
        """Use a connection that has been established."""
        connection.pool.connecting -= 1
        self.release(connection)

    def on_connect_failed(self, connection: Connection) -> None:
        """Release the descriptor of a connection that could not be established."""
        connection.pool.connecting -= 1
        self.descriptors.release()
        self.log.count("upstream.failed")
        self._fail_unserved(connection.pool)

    def _fail_unserved(self, pool: ConnectionPool) -> None:
        """End the waiting attempts for which no connection is being opened; they were never sent."""
        while len(pool.waiting) > pool.connecting:
            self._end(pool.waiting[0], Outcome.CONNECT_FAILED)

    def release(self, connection: Connection) -> None:
        """Give a connection to the attempt that has waited longest, or keep it idle.

        A used connection stays idle for REST_AFTER_RESPONSE first. A connection whose instance has another
        address, drains or was restarted is closed.
        """
        pool = connection.pool
        is_current = (
            connection.process_identity == pool.process_identity() and pool.entry.state == InstanceState.READY
        )
        if not is_current or (not connection.is_used and has_unread(connection.transport.socket)):
            self._close(connection)
            self._fail_unserved(pool)
        elif pool.waiting and not connection.is_used:
            self._write(connection, pool.waiting.popleft())
        else:
            self._keep_idle(connection)

    def _keep_idle(self, connection: Connection) -> None:
        pool = connection.pool
        now = self.loop.now()
        if connection.is_used:
            connection.idle_since = now
            pool.idle.append(connection)
        else:
            connection.idle_since = now - REST_AFTER_RESPONSE
            pool.idle.appendleft(connection)
        self._arm_reuse_timer(pool, now)
        if self.idle_timer is None:
            self._arm_idle_timer()

    def _arm_idle_timer(self) -> None:
        self.idle_timer = self.reactor.callLater(
            self.idle_timeout / (2 * MICROSECONDS_PER_SECOND), self._close_idle
        )

    def _close_idle(self) -> None:
        """Close connections that would be idle for `idle_timeout` before the next check."""
        self.idle_timer = None
        idle_since = self.loop.now() - self.idle_timeout // 2
        for pool in self.pools.values():
            expired = [connection for connection in pool.idle if connection.idle_since <= idle_since]
            for connection in expired:
                self._close(connection)
        if any(pool.idle for pool in self.pools.values()):
            self._arm_idle_timer()

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        self.log.count("upstream.evicted")
        self._close(min(idle, key=lambda connection: connection.idle_since))
        return True

    def _close(self, connection: Connection) -> None:
        """Close a connection; the transport reports the close in a later iteration.

        The sending side is shut down at once, which cancels the attempt in flight (PROTOCOL): if only one
        attempt may be in flight at a time, the next one may be sent before the transport closes.
        """
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
        if not connection.is_lost:
            shut_down_sending(connection.transport)
            connection.transport.abortConnection()

    def on_lost(self, connection: Connection) -> None:
        """Release the descriptor of a closed connection; its attempt in flight may have been executed."""
        connection.is_lost = True
        self.descriptors.release()
        self._close(connection)
        if connection.attempt is not None:
            self._end(connection.attempt, Outcome.CONNECTION_LOST)
