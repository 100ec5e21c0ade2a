"""One HTTP answer that never ends, JSON objects one after another: kept up for the life of the process.

Owns the connections it is read from: one, and a second while the first is silent, since a dead link says
nothing, or while it moves to another address. It must never read a line's meaning; whoever follows is handed
each line in its order, and says with MalformedError that it could not be read.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge.net import http
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import read_out
from linenbridge.net.resp import MalformedError

MISSED = 3  # signs of life left out before a silent connection is doubted
HTTP_OK = 200
REFUSED_MOST = 16  # the longest wait after refusals in a row, in waits for a connection


class Stream(Protocol):
    """One connection; its answer is cut into lines."""

    def __init__(self, follow: Follow) -> None:
        self.follow, self.address = follow, follow.address
        self.answers, self.lines = http.Answers(), follow.cut(follow.most)
        self.over = self.spoke = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(http.request("GET", self.follow.path(), "{}:{}".format(*self.address)))

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
            self.follow.log.rarely("malformed", self.follow.name, error=str(error))
            self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        self.follow.ended(self)


class Follow:
    """Keeps one stream open from `address`; `path` says what to ask for each time it is opened anew."""

    def __init__(
        self, name: str, reactor: Any, address: tuple[str, int], path: Callable[[], str],
        told: Callable[[memoryview], None], sign: float, connect_wait: int, most: int, log: Log,
        cut: Callable[[int], http.Cutter] = http.Lines, told_anyway: float = inf,
        random: Random | None = None,
    ) -> None:  # fmt: skip
        self.name, self.reactor, self.address, self.path, self.told = name, reactor, address, path, told
        self.connect_wait = connect_wait / 1e6
        self.random, self.refusals = random or Random(0), 0
        # What a silent stream misses may count as told after a while: another has come up and spoken by then,
        # half a sign's time to spare, but none is asked for before one and a half have passed.
        early = max(1.5 * sign, told_anyway - sign / 2 - self.connect_wait)
        self.silence = min(MISSED * sign, early)
        self.most, self.log, self.cut = most, log, cut
        self.streams: list[Stream] = []
        self.coming: Any = None
        self.timer: Any = None
        self.well: bool | None = None
        self.started = False
        self.first: Callable[[], object] = lambda: None  # called once, when it has first spoken

    def start(self) -> None:
        """One more connection, unless one is coming up; it has as long to speak as silence may last."""
        self.started = True
        self._arm(self.silence)
        if self.coming is None:
            self.log.count(self.name, "opened")
            self.coming = ClientCreator(self.reactor, Stream, self).connectTCP(
                *self.address, timeout=self.connect_wait
            )
            self.coming.addCallbacks(self._up, self._failed)

    def move(self, address: tuple[str, int]) -> None:
        """From now on at another address. What is open at the old one is read until the new one speaks: what
        is told in between is not missed, whichever closes or comes up first."""
        if address != self.address:
            self.address = address
            if self.coming is not None:
                self.coming.cancel()
            if self.started:
                self.start()

    def _arm(self, wait: float) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(wait, self._silent)

    def _up(self, stream: Stream) -> None:
        self.coming = None
        if not stream.over:
            self.streams.append(stream)
        elif not self.streams:
            self._arm(self.connect_wait)

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
        """A line that can be read, on any of them: that one stays, the others have served. One at an address
        left behind ends nothing at the present one, and is read out before what comes after it."""
        present = stream.address == self.address
        served = [s for s in self.streams if s is not stream and (present or s.address != self.address)]
        for other in served:
            if present and other.address != self.address:
                read_out(other.transport)
        if bytes(line).strip():
            self.told(line)
        stream.spoke, self.refusals = True, 0
        first, self.first = self.first, lambda: None
        first()
        if present:
            self._state(True, "")
            self._arm(self.silence)
        for other in served:
            if not other.over:
                self._drop(other)

    def _drop(self, stream: Stream) -> None:
        stream.over = True
        self.streams.remove(stream)
        stream.transport.abortConnection()

    def ended(self, stream: Stream) -> None:
        """The one place where a connection is given back; taken up anew when none is left: at once after one
        that spoke, so that what it could not tell is soon told anew, else after a wait."""
        dropped, stream.over = stream.over, True
        if stream in self.streams:
            self.streams.remove(stream)
        if not dropped and not self.streams and self.coming is None:
            self._state(False, "ended")
            self._arm(0 if stream.spoke else self._refused())

    def _refused(self) -> float:
        """How long to wait after an answer that ended without a word, in s: a server that a whole fleet asks
        anew at once goes on refusing, so the wait's longest doubles each time, and its length is random."""
        longest = min(2**self.refusals, REFUSED_MOST)
        self.refusals += 1
        return self.connect_wait * self.random.uniform(1, longest)

    def _state(self, well: bool, why: str) -> None:
        if well != self.well:
            self.well = well
            self.log.event(f"{self.name}.{'regained' if well else 'lost'}", why=why)
