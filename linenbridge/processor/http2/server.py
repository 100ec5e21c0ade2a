"""The listening side: all proxies' connections of one gateway, their bounds in time, and the planned end.

Owns the connections that are open, one timer for writes and one for what is overdue. It must never look into
a stream.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h2.errors
from twisted.internet.protocol import Factory

from linenbridge.logging.event_log import Log
from linenbridge.processor.http2.connection import Connection
from linenbridge.processor.http2.status import DEADLINE_EXCEEDED
from linenbridge.processor.http2.stream import Call, Receiver
from linenbridge.processor.connection_limits import ConnectionLimits

LAST_STREAM = (1 << 31) - 1  # in a first GOAWAY: streams that are under way are still taken
SWEEP_INTERVAL = 0.5  # seconds between two looks at what is overdue
FINAL_GOAWAY_DELAY = 0.1  # seconds between the two GOAWAYs of a planned end


class Server(Factory):
    """All proxies' connections of one gateway."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        limits: ConnectionLimits,
        connections: int,
        log: Log,
        names: Callable[[Any], tuple[str, ...]] = lambda transport: (),
    ) -> None:
        self.reactor, self.now, self.limits, self.max_connections, self.log = (
            reactor,
            now,
            limits,
            connections,
            log,
        )
        self.names = names
        self.services: dict[bytes, Callable[[Call], Receiver]] = {}
        self.open: dict[Connection, None] = {}
        self.awaiting_first_message: dict[Call, None] = {}
        self.dirty: list[Connection] = []
        self.flush_timer: Any = None
        self.sweep_timer: Any = None
        self.port: Any = None
        self.draining = False
        self.stopped: Callable[[], None] | None = None

    def buildProtocol(self, addr: Any) -> Connection | None:
        if len(self.open) >= self.max_connections or self.draining:
            self.log.count("proxy.turned_away")
            return None
        connection = Connection(self)
        self.open[connection] = None
        self.log.count("proxy.connected")
        if self.sweep_timer is None:
            self.sweep_timer = self.reactor.callLater(SWEEP_INTERVAL, self._sweep)
        return connection

    def connection_closed(self, connection: Connection) -> None:
        self.open.pop(connection, None)
        self._report_stopped()

    def flush_soon(self) -> None:
        if self.flush_timer is None:
            self.flush_timer = self.reactor.callLater(0, self.flush)

    def flush(self) -> None:
        """Each connection's answers of a turn in one write."""
        if self.flush_timer is not None:
            if self.flush_timer.active():
                self.flush_timer.cancel()
            self.flush_timer = None
        dirty, self.dirty = self.dirty, []
        for connection in dirty:
            connection.flush()

    def _sweep(self) -> None:
        """Streams on which nothing was said, connections that are idle or do not read."""
        self.sweep_timer, now = None, self.now()
        opened_before = now - self.limits.first_message_timeout
        for call in [call for call in self.awaiting_first_message if call.opened <= opened_before]:
            self.log.count("stream.silent")
            call.finish(DEADLINE_EXCEEDED, "nothing was said on this stream in time")
        for connection in list(self.open):
            if (why := connection.budget.check_timeouts(now)) is not None:
                connection.end(why, h2.errors.ErrorCodes.NO_ERROR if why == "idle" else None)
            elif not connection.settings_received and connection.connected_at <= opened_before:
                connection.end("it does not begin as HTTP/2 does")
        self.flush()
        if self.open:
            self.sweep_timer = self.reactor.callLater(SWEEP_INTERVAL, self._sweep)

    # ---- the planned end -------------------------------------------------------------------------

    def drain(self, within: float, stopped: Callable[[], None]) -> None:
        """No new connections; each peer is told to go elsewhere, what is open ends within its time."""
        self.draining, self.stopped = True, stopped
        for connection in list(self.open):
            connection.send_goaway(LAST_STREAM)
        self.reactor.callLater(FINAL_GOAWAY_DELAY, self._send_final_goaways)
        self.cut_timer = self.reactor.callLater(within, self._end_remaining)

    def _send_final_goaways(self) -> None:
        for connection in list(self.open):
            connection.send_goaway(connection.highest_stream_id())
            if not connection.calls:
                self.close_drained(connection)
        self._report_stopped()

    def close_drained(self, connection: Connection) -> None:
        """Its last stream has ended."""
        connection.flush()
        if not connection.lost:
            connection.transport.loseConnection()

    def _end_remaining(self) -> None:
        for connection in list(self.open):
            connection.end("this gateway stops", h2.errors.ErrorCodes.NO_ERROR)
        self._report_stopped()

    def _report_stopped(self) -> None:
        if self.draining and not self.open and self.stopped is not None:
            stopped, self.stopped = self.stopped, None
            for timer in (self.cut_timer, self.sweep_timer):
                if timer is not None and timer.active():
                    timer.cancel()
            stopped()
