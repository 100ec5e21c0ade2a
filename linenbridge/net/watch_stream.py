"""A watch: an endless HTTP response with JSON messages, reopened for the lifetime of the process.

This module owns the connections of the watch: one, and a second while the first is silent, as the loss of a
connection may not be reported, or while the watch moves to another address. It does not interpret messages:
its owner receives them in order, and raises MalformedError for a malformed one, which ends that connection.
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
from linenbridge.net.sockets import read_remaining
from linenbridge.net.resp import MalformedError

HTTP_OK = 200
MAX_MISSED_KEEPALIVES = 3  # keep-alives in a row, before another connection is opened
MAX_RETRY_FACTOR = 16  # connect timeouts: limit of the delay after consecutive rejections
MICROSECONDS_PER_SECOND = 1e6


def _do_nothing() -> None:
    """Do nothing; the default callback for the first message."""


class Stream(Protocol):
    """One connection of a watch, which splits its response into messages."""

    transport: Any  # an ITCPTransport; mypy can't read its methods

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
        """Deliver all complete messages; a malformed one ends the connection."""
        try:
            for part in self.responses.feed(data):
                if part.status != HTTP_OK:
                    raise MalformedError(f"expected status 200, received {part.status}")
                for message in self.messages.feed(part.body):
                    if not self.ended:
                        self.watch.on_received(self, message)
                if part.last:
                    self.transport.abortConnection()
        except MalformedError as error:
            self.watch.log.event_sampled("malformed", self.watch.settings.name, error=str(error))
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002  # Twisted's signature
        """Report the end to the watch."""
        self.watch.on_stream_ended(self)


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """The settings of one watch.

    `name` is the prefix of its events and counters. The server sends a keep-alive every `keepalive_interval`
    seconds; updates that a silent watch misses count as delivered after `missed_update_deadline` seconds.
    `connect_timeout` is in microseconds, `max_length` in bytes of one message.
    """

    name: str
    keepalive_interval: float
    connect_timeout: int
    max_length: int
    splitter: Callable[[int], http.Splitter] = http.LineSplitter
    missed_update_deadline: float = inf

    def max_silence(self) -> float:
        """Return the seconds of silence after which another connection is opened.

        That connection is established and has delivered half an interval before missed updates count as
        delivered; but none is opened before one and a half intervals of silence.
        """
        interval = self.keepalive_interval
        latest = self.missed_update_deadline - interval / 2 - self.connect_timeout / MICROSECONDS_PER_SECOND
        return min(MAX_MISSED_KEEPALIVES * interval, max(1.5 * interval, latest))


class WatchStream:
    """Keeps one stream from `address` open, and passes its messages to `on_message`.

    `path` returns the path of the request for each new connection.
    """

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
        self.on_first_message: Callable[[], object] = _do_nothing  # called for the first message only

    def start(self) -> None:
        """Open one more connection unless one is being opened, and restart the silence timer."""
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

        Open streams from the former address are read until a stream from the new address delivers, so that no
        update in between is missed, whichever of them ends or starts first.
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
        """Open another connection beside the newest, and drop all older ones."""
        self._set_healthy(False, "silent")
        for stream in self.streams[:-1]:
            self._drop(stream)
        self.start()

    def on_received(self, stream: Stream, message: memoryview) -> None:
        """Deliver a message of any stream, and drop the streams that it supersedes.

        A stream from the current address supersedes all others; unread messages on those from a former
        address are delivered first, to keep the order. A stream from a former address supersedes only others
        from former addresses.
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
        """Handle the end of a connection; if no other is left, open a new one.

        The new one is opened at once if the ended one had delivered a message, so that missed updates arrive
        soon; otherwise after a delay.
        """
        was_dropped = stream.ended
        stream.ended = True
        if stream in self.streams:
            self.streams.remove(stream)
        if not was_dropped and not self.streams and self.connecting is None:
            self._set_healthy(False, "ended")
            self._arm_silence_timer(0 if stream.has_delivered else self._retry_delay())

    def _retry_delay(self) -> float:
        """Return the seconds to wait after a response that ended without a message.

        The delay is random and its limit doubles each time: a server to which a whole fleet reconnects at
        once would go on rejecting.
        """
        max_factor = min(2**self.rejections, MAX_RETRY_FACTOR)
        self.rejections += 1
        return self.connect_timeout * self.random.uniform(1, max_factor)

    def _set_healthy(self, healthy: bool, why: str) -> None:
        if healthy != self.healthy:
            self.healthy = healthy
            self.log.event(f"{self.settings.name}.{'regained' if healthy else 'lost'}", why=why)
