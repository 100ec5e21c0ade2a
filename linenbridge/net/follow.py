"""One HTTP answer that never ends, a JSON object a line: kept up for the life of the process.

Owns the connections it is read from: one, and a second while the first is silent, since a dead link says
nothing. It must never read a line's meaning; whoever follows is handed each line in its order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.net import http
from linenbridge.net.log import Log
from linenbridge.net.resp import MalformedError

MISSED = 3  # signs of life left out before a silent connection is doubted
HTTP_OK = 200


class Stream(Protocol):
    """One connection; its answer is cut into lines."""

    def __init__(self, follow: Follow) -> None:
        self.follow = follow
        self.answers, self.lines = http.Answers(), http.Lines(follow.most)
        self.over = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(http.request("GET", self.follow.path(), self.follow.host))

    def dataReceived(self, data: bytes) -> None:
        try:
            for piece in self.answers.feed(data):
                if piece.status != HTTP_OK:
                    raise MalformedError(f"answered with status {piece.status}")
                for line in self.lines.feed(piece.body):
                    if not self.over:
                        self.follow.heard(self, line)
                if piece.last:
                    self.transport.abortConnection()
        except MalformedError as error:
            self.follow.log.count("malformed", self.follow.name)
            self.follow.log.event("malformed", of=self.follow.name, error=str(error))
            self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        self.follow.ended(self)


class Follow:
    """Keeps one stream open from `address`; `path` says what to ask for each time it is opened anew."""

    def __init__(
        self, name: str, reactor: Any, address: tuple[str, int], path: Callable[[], str],
        told: Callable[[memoryview], None], sign: float, connect_wait: int, most: int, log: Log,
    ) -> None:  # fmt: skip
        self.name, self.reactor, self.address, self.path, self.told = name, reactor, address, path, told
        self.host = f"{address[0]}:{address[1]}"
        self.silence, self.connect_wait = MISSED * sign, connect_wait / 1e6
        self.most, self.log = most, log
        self.streams: list[Stream] = []
        self.coming: Any = None
        self.timer: Any = None
        self.well: bool | None = None

    def start(self) -> None:
        """One more connection, unless one is coming up; it has as long to speak as silence may last."""
        self._arm(self.silence)
        if self.coming is None:
            self.log.count(self.name, "opened")
            self.coming = ClientCreator(self.reactor, Stream, self).connectTCP(
                *self.address, timeout=self.connect_wait
            )
            self.coming.addCallbacks(self._up, self._failed)

    def _arm(self, wait: float) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(wait, self._silent)

    def _up(self, stream: Stream) -> None:
        self.coming = None
        if not stream.over:
            self.streams.append(stream)

    def _failed(self, failure: Any) -> None:
        self.coming = None
        self._state(False, failure.getErrorMessage())
        self._arm(self.connect_wait)

    def _silent(self) -> None:
        """Nothing for long: the newest gets one more beside it, and an older one than that is let go."""
        self._state(False, "silent")
        for stream in self.streams[:-1]:
            self._drop(stream)
        self.start()

    def heard(self, stream: Stream, line: memoryview) -> None:
        """A line on any of them: that one stays, the others have served."""
        self._state(True, "")
        self._arm(self.silence)
        for other in [other for other in self.streams if other is not stream]:
            self._drop(other)
        if bytes(line).strip():
            self.told(line)

    def _drop(self, stream: Stream) -> None:
        stream.over = True
        self.streams.remove(stream)
        stream.transport.abortConnection()

    def ended(self, stream: Stream) -> None:
        """The one place where a connection is given back; taken up anew when none is left."""
        dropped, stream.over = stream.over, True
        if stream in self.streams:
            self.streams.remove(stream)
        if not dropped and not self.streams and self.coming is None:
            self._state(False, "ended")
            self._arm(self.connect_wait)

    def _state(self, well: bool, why: str) -> None:
        if well != self.well:
            self.well = well
            self.log.event(f"{self.name}.{'regained' if well else 'lost'}", why=why)
