"""The listening side of the gRPC server: all connections of proxies, their timeouts, and draining.

A server owns its open connections, one timer for writes and one for timeouts. It leaves the frames and
messages of a stream to the stream's connection.
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

LAST_STREAM = (1 << 31) - 1  # of the first GOAWAY, so that streams already sent are still accepted
SWEEP_INTERVAL = 0.5  # seconds between two checks of the timeouts
FINAL_GOAWAY_DELAY = 0.1  # seconds between the two GOAWAYs of draining


class Server(Factory):
    """All connections of proxies to one gateway, as a Twisted factory.

    `services` maps a gRPC path to a function that starts a receiver for a stream. `now` returns microseconds.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        limits: ConnectionLimits,
        connections: int,
        log: Log,
        names: Callable[[Any], tuple[str, ...]] = lambda _transport: (),
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

    def buildProtocol(self, addr: Any) -> Connection | None:  # noqa: ARG002  # Twisted's signature
        """Return a connection, or None (the socket is closed) if too many are open or the server drains."""
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
        """Remove a connection whose transport is lost."""
        self.open.pop(connection, None)
        self._report_stopped()

    def flush_soon(self) -> None:
        """Schedule a flush of the dirty connections for the next turn of the reactor."""
        if self.flush_timer is None:
            self.flush_timer = self.reactor.callLater(0, self.flush)

    def flush(self) -> None:
        """Write the unwritten frames of each dirty connection, with one write per connection."""
        if self.flush_timer is not None:
            if self.flush_timer.active():
                self.flush_timer.cancel()
            self.flush_timer = None
        dirty, self.dirty = self.dirty, []
        for connection in dirty:
            connection.flush()

    def _sweep(self) -> None:
        """End streams without a first message, and connections that are idle, stalled or without SETTINGS."""
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

    # ---- draining -------------------------------------------------------------------------

    def drain(self, within: float, stopped: Callable[[], None]) -> None:
        """Accept no new connections, send each peer a GOAWAY, and call `stopped` once all are closed.

        Connections that are still open after `within` seconds are ended.
        """
        self.draining, self.stopped = True, stopped
        for connection in list(self.open):
            connection.send_goaway(LAST_STREAM)
        self.reactor.callLater(FINAL_GOAWAY_DELAY, self._send_final_goaways)
        self.drain_timer = self.reactor.callLater(within, self._end_remaining)

    def _send_final_goaways(self) -> None:
        for connection in list(self.open):
            connection.send_goaway(connection.highest_stream_id())
            if not connection.calls:
                self.close_drained(connection)
        self._report_stopped()

    def close_drained(self, connection: Connection) -> None:
        """Close a connection whose last stream has ended."""
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
            for timer in (self.drain_timer, self.sweep_timer):
                if timer is not None and timer.active():
                    timer.cancel()
            stopped()
