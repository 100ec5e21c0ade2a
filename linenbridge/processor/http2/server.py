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
SWEEP = 0.5  # seconds between two looks at what is overdue
LEAVE = 0.1  # seconds between the two GOAWAYs of a planned end


class Server(Factory):
    """All proxies' connections of one gateway."""

    noisy = False

    def __init__(
        self, reactor: Any, now: Callable[[], int], limits: ConnectionLimits, connections: int, log: Log,
        names: Callable[[Any], tuple[str, ...]] = lambda transport: (),
    ) -> None:  # fmt: skip
        self.reactor, self.now, self.limits, self.most, self.log = reactor, now, limits, connections, log
        self.names = names
        self.services: dict[bytes, Callable[[Call], Receiver]] = {}
        self.open: dict[Connection, None] = {}
        self.silent: dict[Call, None] = {}
        self.dirty: list[Connection] = []
        self.flushing: Any = None
        self.sweeping: Any = None
        self.port: Any = None
        self.leaving = False
        self.stopped: Callable[[], None] | None = None

    def buildProtocol(self, addr: Any) -> Connection | None:
        if len(self.open) >= self.most or self.leaving:
            self.log.count("proxy.turned_away")
            return None
        connection = Connection(self)
        self.open[connection] = None
        self.log.count("proxy.connected")
        if self.sweeping is None:
            self.sweeping = self.reactor.callLater(SWEEP, self._sweep)
        return connection

    def closed(self, connection: Connection) -> None:
        self.open.pop(connection, None)
        self._last()

    def flush_soon(self) -> None:
        if self.flushing is None:
            self.flushing = self.reactor.callLater(0, self.flush)

    def flush(self) -> None:
        """Each connection's answers of a turn in one write."""
        if self.flushing is not None:
            if self.flushing.active():
                self.flushing.cancel()
            self.flushing = None
        dirty, self.dirty = self.dirty, []
        for connection in dirty:
            connection.flush()

    def _sweep(self) -> None:
        """Streams on which nothing was said, connections that are idle or do not read."""
        self.sweeping, now = None, self.now()
        before = now - self.limits.first_message_timeout
        for call in [call for call in self.silent if call.opened <= before]:
            self.log.count("stream.silent")
            call.finish(DEADLINE_EXCEEDED, "nothing was said on this stream in time")
        for connection in list(self.open):
            if (why := connection.budget.check_timeouts(now)) is not None:
                connection.end(why, h2.errors.ErrorCodes.NO_ERROR if why == "idle" else None)
            elif not connection.greeted and connection.born <= before:
                connection.end("it does not begin as HTTP/2 does")
        self.flush()
        if self.open:
            self.sweeping = self.reactor.callLater(SWEEP, self._sweep)

    # ---- the planned end -------------------------------------------------------------------------

    def leave(self, within: float, stopped: Callable[[], None]) -> None:
        """No new connections; each peer is told to go elsewhere, what is open ends within its time."""
        self.leaving, self.stopped = True, stopped
        for connection in list(self.open):
            connection.say_leaving(LAST_STREAM)
        self.reactor.callLater(LEAVE, self._leave_now)
        self.cut = self.reactor.callLater(within, self._cut)

    def _leave_now(self) -> None:
        for connection in list(self.open):
            connection.say_leaving(connection.highest())
            if not connection.calls:
                self.left(connection)
        self._last()

    def left(self, connection: Connection) -> None:
        """Its last stream has ended."""
        connection.flush()
        if not connection.lost:
            connection.transport.loseConnection()

    def _cut(self) -> None:
        for connection in list(self.open):
            connection.end("this gateway stops", h2.errors.ErrorCodes.NO_ERROR)
        self._last()

    def _last(self) -> None:
        if self.leaving and not self.open and self.stopped is not None:
            stopped, self.stopped = self.stopped, None
            for timer in (self.cut, self.sweeping):
                if timer is not None and timer.active():
                    timer.cancel()
            stopped()
