"""A watch: one HTTP response without end, JSON messages one after another, reopened for the process's life.

Owns the connections that it is read from: one, and a second while the first is silent, as a dead connection
reports nothing, or while the watch moves to another address. It does not interpret messages: its owner gets
each in order, and raises MalformedError for one that can't be read, which ends that connection.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Any

from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.logging.event_log import Log
from linenbridge.net import http
from linenbridge.net.decision_loop import read_remaining
from linenbridge.net.resp import MalformedError

HTTP_OK = 200
MAX_MISSED_KEEPALIVES = 3  # before a silent connection is suspected
MAX_RETRY_FACTOR = 16  # of the wait after rejections in a row, in connect timeouts
MICROSECONDS_PER_SECOND = 1e6


def _do_nothing() -> None:
    """Do nothing: the callback of a watch that nobody waits for."""


class Stream(Protocol):
    """One connection of a watch; its response is split into messages."""

    transport: Any  # ITCPTransport, whose methods mypy can't read

    def __init__(self, watch: WatchStream) -> None:
        self.watch = watch
        self.address = watch.address
        self.responses = http.ResponseParser()
        self.messages = watch.settings.splitter(watch.settings.max_length)
        self.ended = False
        self.has_delivered = False

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.setTcpNoDelay(True)
        host, port = self.address
        self.transport.write(http.request("GET", self.watch.path(), f"{host}:{port}"))

    def dataReceived(self, data: bytes) -> None:
        """Deliver the messages that are complete; one that is malformed ends the connection."""
        try:
            for part in self.responses.feed(data):
                if part.status != HTTP_OK:
                    raise MalformedError(f"answered with status {part.status}")
                for message in self.messages.feed(part.body):
                    if not self.ended:
                        self.watch.on_received(self, message)
                if part.last:
                    self.transport.abortConnection()
        except MalformedError as error:
            self.watch.log.event_sampled("malformed", self.watch.settings.name, error=str(error))
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # Twisted's signature  # noqa: ARG002  # Twisted's signature
        """Report the end to the watch."""
        self.watch.on_stream_ended(self)


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """What one watch is, and its times.

    `name` begins its events and counters. The server sends a keep-alive each `keepalive_interval` seconds;
    what a silent watch misses counts as delivered after `missed_update_deadline` seconds. `connect_timeout`
    is in microseconds, `max_length` in bytes of one message.
    """

    name: str
    keepalive_interval: float
    connect_timeout: int
    max_length: int
    splitter: Callable[[int], http.Splitter] = http.LineSplitter
    missed_update_deadline: float = inf

    def max_silence(self) -> float:
        """Seconds of silence before another connection is opened.

        Another one has come up and delivered before missed updates count as delivered, with half an interval
        to spare; none is opened before one and a half intervals have passed.
        """
        interval = self.keepalive_interval
        latest = self.missed_update_deadline - interval / 2 - self.connect_timeout / MICROSECONDS_PER_SECOND
        return min(MAX_MISSED_KEEPALIVES * interval, max(1.5 * interval, latest))


class WatchStream:
    """Keeps one stream open from `address`; `path` gives the request's path each time one is opened."""

    def __init__(
        self,
        settings: WatchSettings,
        reactor: Any,
        address: tuple[str, int],
        path: Callable[[], str],
        on_message: Callable[[memoryview], None],
        log: Log,
        random: Random | None = None,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.address = address
        self.path = path
        self.on_message = on_message
        self.log = log
        self.random = random or Random(0)
        self.connect_timeout = settings.connect_timeout / MICROSECONDS_PER_SECOND
        self.max_silence = settings.max_silence()
        self.rejections = 0
        self.streams: list[Stream] = []
        self.connecting: Any = None
        self.timer: Any = None
        self.healthy: bool | None = None
        self.is_started = False
        self.on_first_message: Callable[[], object] = _do_nothing  # called once

    def start(self) -> None:
        """Open one more connection, unless one is being opened; it may be silent for `max_silence`."""
        self.is_started = True
        self._arm_silence_timer(self.max_silence)
        if self.connecting is None:
            self.log.count(self.settings.name, "opened")
            self.connecting = ClientCreator(self.reactor, Stream, self).connectTCP(
                *self.address, timeout=self.connect_timeout
            )
            self.connecting.addCallbacks(self._on_connected, self._on_connect_failed)

    def move(self, address: tuple[str, int]) -> None:
        """Continue at another address.

        What is open at the old one is read until the new one delivers, so that no update in between is
        missed, whichever closes or comes up first.
        """
        if address != self.address:
            self.address = address
            if self.connecting is not None:
                self.connecting.cancel()
            if self.is_started:
                self.start()

    def _arm_silence_timer(self, delay: float) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(delay, self._on_silence)

    def _on_connected(self, stream: Stream) -> None:
        self.connecting = None
        if not stream.ended:
            self.streams.append(stream)
        elif not self.streams:
            self._arm_silence_timer(self.connect_timeout)

    def _on_connect_failed(self, failure: Any) -> None:
        self.connecting = None
        self._set_healthy(False, failure.getErrorMessage())
        self._arm_silence_timer(self.connect_timeout)

    def _on_silence(self) -> None:
        """Open another connection beside the newest, and drop those older than that."""
        self._set_healthy(False, "silent")
        for stream in self.streams[:-1]:
            self._drop(stream)
        self.start()

    def on_received(self, stream: Stream, message: memoryview) -> None:
        """Deliver a message of any stream: that stream stays, the others have served.

        A message from an address left behind ends nothing at the present one, and is read out before what
        comes after it.
        """
        is_current_address = stream.address == self.address
        superseded = [
            other
            for other in self.streams
            if other is not stream and (is_current_address or other.address != self.address)
        ]
        for other in superseded:
            if is_current_address and other.address != self.address:
                read_remaining(other.transport)
        if bytes(message).strip():
            self.on_message(message)
        stream.has_delivered = True
        self.rejections = 0
        callback, self.on_first_message = self.on_first_message, _do_nothing
        callback()
        if is_current_address:
            self._set_healthy(True, "")
            self._arm_silence_timer(self.max_silence)
        for other in superseded:
            if not other.ended:
                self._drop(other)

    def _drop(self, stream: Stream) -> None:
        stream.ended = True
        self.streams.remove(stream)
        stream.transport.abortConnection()

    def on_stream_ended(self, stream: Stream) -> None:
        """Release a connection, the one place for that, and reopen the watch if none is left.

        At once after one that has delivered, so that what it could not is soon delivered; else after a delay.
        """
        was_dropped = stream.ended
        stream.ended = True
        if stream in self.streams:
            self.streams.remove(stream)
        if not was_dropped and not self.streams and self.connecting is None:
            self._set_healthy(False, "ended")
            self._arm_silence_timer(0 if stream.has_delivered else self._retry_delay())

    def _retry_delay(self) -> float:
        """Return seconds to wait after a response that ended without a message.

        The longest delay doubles each time and its length is random: a server that a whole fleet asks again
        at once would go on rejecting.
        """
        max_factor = min(2**self.rejections, MAX_RETRY_FACTOR)
        self.rejections += 1
        return self.connect_timeout * self.random.uniform(1, max_factor)

    def _set_healthy(self, healthy: bool, why: str) -> None:
        if healthy != self.healthy:
            self.healthy = healthy
            self.log.event(f"{self.settings.name}.{'regained' if healthy else 'lost'}", why=why)
