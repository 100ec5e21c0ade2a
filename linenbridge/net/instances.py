"""Instances: connections to them, and the picks that are out.

Owns every connection to an instance, every pick from its decision to its one outcome, and each pick's
timer; it keeps the count of descriptors, where its idle connections go first. It must never choose an
instance, nor write a pick twice, nor write to a connection that has closed, that belongs to a process now
replaced, or on which more has come than was asked for: what lies there would pass as the next pick's answer.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from itertools import count
from typing import Any

from twisted.internet.protocol import ClientCreator, Protocol

from linenbridge import interface as face
from linenbridge.net import resp
from linenbridge.net.log import Log
from linenbridge.net.loop import Loop, Taken, end_sending, untouched, write_out
from linenbridge.startup import LOADS

# PROTOCOL, Gateways to instances: the error lines and the load report that may come last in them.
ERROR_LINE = re.compile(rb"(BUSY|ERR|SYNTAX|NOPERM)( [ -~]*)?")
REPORT = re.compile(rb"[a-z_]+=\d{1,9}(\.\d{1,9})?(,[a-z_]+=\d{1,9}(\.\d{1,9})?)*")
REST = 20_000  # STANDING, join+mass: a second answer may come some milliseconds late


class Descriptors:
    """How many sockets may be open; when none is left, `spare` is asked to close one."""

    def __init__(self, most: int, spare: Callable[[], bool] = lambda: False) -> None:
        self.most, self.spare, self.open = most, spare, 0

    def take(self) -> bool:
        if self.open >= self.most and not self.spare():
            return False
        self.open += 1
        return True

    def left(self) -> int:
        return self.most - self.open

    def give_back(self) -> None:
        self.open -= 1


class Pick:
    """One pick: waiting for a connection, out on one, or ended."""

    __slots__ = ("ended", "line", "number", "place", "rpc", "sent", "until")

    def __init__(self, rpc: Taken, number: int, place: Place, sent: int, until: int) -> None:
        self.rpc, self.number, self.place, self.sent, self.until = rpc, number, place, sent, until
        self.line: Line | None = None
        self.ended = False


class Place:
    """One instance as listed: where it is, its idle connections, and picks that wait for one."""

    def __init__(self, entry: face.ListEntry, address: tuple[str, int]) -> None:
        self.entry, self.address = entry, address
        self.idle: deque[Line] = deque()
        self.waiting: deque[Pick] = deque()
        self.coming = 0
        self.timer: Any = None  # when the first of its connections has rested, while a pick waits for that


class Line(Protocol):
    """One connection to an instance; it carries one pick at a time, as answers keep their order."""

    def __init__(self, instances: Instances, place: Place) -> None:
        self.instances, self.place = instances, place
        self.reader = resp.Reader(commands=False)
        self.address, self.process = place.address, (place.entry.started, place.entry.build)
        self.pick: Pick | None = None
        self.idle_since = 0
        self.lost = self.used = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """One answer, whole, to the pick that is out. What comes beside it spoils the connection, not the
        answer; the connection goes back only once all that was read is known to be the answer."""
        try:
            for message in self.reader.feed(data):
                if self.pick is None:
                    raise resp.MalformedError("more than the answer")
                self.instances.answered(self, self.pick, message)
            if self.pick is None and self.reader.size:
                raise resp.MalformedError("more than the answer")
        except resp.MalformedError as error:
            self.instances.log.rarely(
                "malformed", "instance", error=str(error), instance=self.place.entry.instance
            )
            self.instances.spoilt(self)
            return
        if self.pick is None:
            self.instances.free(self)

    def connectionLost(self, reason: Any) -> None:
        self.instances.closed(self)


class Instances:
    """All connections of one gateway to instances."""

    def __init__(
        self, loop: Loop, reactor: Any, most: int, connect_wait: int, idle_close: int, log: Log
    ) -> None:
        self.loop, self.reactor, self.log = loop, reactor, log
        self.connect_wait = connect_wait / 1e6
        # The far side closes at this idle time at the latest: well before it, none is written to any more.
        self.idle_close = idle_close // 2
        self.descriptors = Descriptors(most, self._spare)
        self.places: dict[face.Id, Place] = {}
        self.picks: dict[tuple[str, int], Pick] = {}
        self.due: list[tuple[int, int, Pick]] = []
        self.serial = count()
        self.timer: Any = None
        self.timer_at = 0
        self.sweeping: Any = None

    # ---- the list --------------------------------------------------------------------------------

    def listed(self, listed: Iterable[tuple[face.ListEntry, tuple[str, int]]], whole: bool) -> None:
        """What discovery says now: nothing more goes to what drains, is gone, or was another process."""
        named = set()
        for entry, address in listed:
            named.add(entry.instance)
            place = self.places.get(entry.instance)
            if place is None:
                if entry.state != face.GONE:
                    self.places[entry.instance] = Place(entry, address)
                continue
            before = (place.address, place.entry.started, place.entry.build)
            place.entry, place.address = entry, address
            if entry.state != face.READY or before != (address, entry.started, entry.build):
                self._leave(place)
        for name, place in list(self.places.items()):
            if place.entry.state == face.GONE or (whole and name not in named):
                # Forgotten here; connections still busy hold it until they close, as nothing is ready there.
                place.entry = place.entry._replace(state=face.GONE)
                del self.places[name]
                self._leave(place)

    def _leave(self, place: Place) -> None:
        """Idle connections close; picks not yet written have never run and are placed anew."""
        for line in list(place.idle):
            self._close(line)
        for pick in list(place.waiting):
            self._ended(pick, face.UNSENT)

    # ---- picks -----------------------------------------------------------------------------------

    def pick(self, now: int, rpc: Taken, number: int, instance: face.Id, time_out: int) -> None:
        """Write it to an idle connection, or as soon as one is idle or has come up."""
        place = self.places.get(instance)
        if place is None:  # It has left the list since the module last heard of it.
            self.loop.pick_ended(rpc, number, now, face.UNSENT, {})
            return
        pick = self.picks[rpc.id, number] = Pick(rpc, number, place, now, now + time_out)
        while self.due and self.due[0][2].ended:
            heappop(self.due)
        heappush(self.due, (pick.until, next(self.serial), pick))
        if self.timer is None or pick.until < self.timer_at:
            self._arm(now)
        if (line := self._rested(place, now)) is not None:
            self._write(line, pick)
            return
        place.waiting.append(pick)
        self._rest(place, now)
        if place.coming < len(place.waiting):
            self._connect(place)

    def _rested(self, place: Place, now: int) -> Line | None:
        """The connection idle longest, once it has rested: what its instance sends late would pass as the
        next pick's answer, and has come by then. None is kept that has any."""
        while place.idle and place.idle[0].idle_since + REST <= now:
            if untouched((line := place.idle.popleft()).transport):
                return line
            self.log.count("line.spent")
            self._close(line)
        return None

    def _rest(self, place: Place, now: int) -> None:
        """Whoever waits is served by whichever is there first: a connection that comes up, or has rested."""
        if place.idle and place.waiting and place.timer is None:
            wait = max(0, place.idle[0].idle_since + REST - now)
            place.timer = self.reactor.callLater(wait / 1e6, self._has_rested, place)

    def _has_rested(self, place: Place) -> None:
        place.timer, now = None, self.loop.now()
        while place.waiting and (line := self._rested(place, now)) is not None:
            self._write(line, place.waiting.popleft())
        self._rest(place, now)

    def cancel(self, rpc: Taken, number: int) -> None:
        if (pick := self.picks.get((rpc.id, number))) is not None:
            self._ended(pick, face.CANCELLED if pick.line else face.UNSENT)

    def withdraw(self, rpc: Taken) -> None:
        """Picks of an RPC that is over: none that waits for a connection is written any more."""
        for number in range(rpc.picks):
            pick = self.picks.get((rpc.id, number))
            if pick is not None and pick.line is None:
                self._ended(pick, face.UNSENT)

    def _write(self, line: Line, pick: Pick) -> None:
        line.pick, pick.line, line.used = pick, line, True
        write_out(line.transport, pick.rpc.load.command(pick.until - self.loop.now()))

    def _arm(self, now: int) -> None:
        """One timer for whichever pick is due first; those that have ended meanwhile are passed over."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.due and self.due[0][2].ended:
            heappop(self.due)
        if self.due:
            self.timer_at = self.due[0][0]
            self.timer = self.reactor.callLater(max(0, self.timer_at - now) / 1e6, self._overdue)

    def _overdue(self) -> None:
        now, self.timer = self.loop.now(), None
        while self.due and (self.due[0][0] <= now or self.due[0][2].ended):
            pick = heappop(self.due)[2]
            self._ended(pick, face.TIMED_OUT if pick.line else face.UNREACHED)
        self._arm(now)

    def answered(self, line: Line, pick: Pick, message: resp.Value) -> None:
        """PROTOCOL's table, to the letter: what only looks like a refusal may have run."""
        match message:
            case [memoryview() as value, None, (None | memoryview()) as report]:
                self._ended(pick, face.OK, load_report(report), resp.bulk(value))
            case resp.Line(mark=b"-", text=text) if ERROR_LINE.fullmatch(text):
                word, _, report = text.partition(b" ")
                if word == b"SYNTAX":
                    self.log.event("syntax", instance=line.place.entry.instance)
                outcome = face.FULL if word == b"BUSY" else face.ERROR
                self._ended(pick, outcome, load_report(report.split(b" ")[-1]))
            case _:
                raise resp.MalformedError("an answer that is neither a value nor an error")

    def spoilt(self, line: Line) -> None:
        """Of no further use. The pick that was out on it may have run, and its instance has spoken."""
        if line.pick is not None:
            self._ended(line.pick, face.SPOILT)
        self._close(line)

    def _ended(
        self, pick: Pick, outcome: str, load: dict[str, float] | None = None, value: tuple = ()
    ) -> None:
        """The one place where a pick is given back; its connection stays only if its answer has come."""
        if pick.ended:
            return
        pick.ended = True
        del self.picks[pick.rpc.id, pick.number]
        line = pick.line
        if line is None:
            pick.place.waiting.remove(pick)
        else:
            line.pick = None
            if outcome not in (face.OK, face.ERROR, face.FULL):
                self._close(line)
        self.loop.pick_ended(pick.rpc, pick.number, pick.sent, outcome, load or {}, value)

    # ---- connections -----------------------------------------------------------------------------

    def _connect(self, place: Place) -> None:
        """One more connection to the place; it serves whichever pick waits first when it is up."""
        if not self.descriptors.take():
            self.log.count("line.no_descriptor")
            self._ended(place.waiting[-1], face.UNREACHED)
            return
        place.coming += 1
        self.log.count("line.opened")
        line = Line(self, place)
        coming = ClientCreator(self.reactor, lambda: line).connectTCP(
            *place.address, timeout=self.connect_wait
        )
        coming.addCallbacks(self._up, lambda failure: self._failed(place))
        coming.addErrback(lambda failure: self.log.failed("connecting", failure.value))

    def _up(self, line: Line) -> None:
        line.place.coming -= 1
        if line.lost:
            self._too_many_waiting(line.place)
        else:
            self.free(line)

    def _failed(self, place: Place) -> None:
        place.coming -= 1
        self.descriptors.give_back()
        self.log.count("line.failed")
        self._too_many_waiting(place)

    def _too_many_waiting(self, place: Place) -> None:
        """A pick for which no connection comes up any more was never written."""
        while len(place.waiting) > place.coming:
            self._ended(place.waiting[0], face.UNREACHED)

    def free(self, line: Line) -> None:
        """A new one to the pick that waits first; else kept, one that has been used to rest. Not where the
        instance has moved or is another process."""
        place = line.place
        entry = place.entry
        same = line.address == place.address and line.process == (entry.started, entry.build)
        if not same or entry.state != face.READY or not (line.used or untouched(line.transport)):
            self._close(line)
            self._too_many_waiting(place)
        elif place.waiting and not line.used:
            self._write(line, place.waiting.popleft())
        else:
            now = self.loop.now()
            line.idle_since = now if line.used else now - REST
            (place.idle.append if line.used else place.idle.appendleft)(line)
            self._rest(place, now)
            if self.sweeping is None:
                self.sweeping = self.reactor.callLater(self.idle_close / 2e6, self._sweep)

    def _sweep(self) -> None:
        """Idle connections that have been so for half the time, or will be before the next sweep, close."""
        self.sweeping, idle_since = None, self.loop.now() - self.idle_close // 2
        for place in self.places.values():
            for line in [line for line in place.idle if line.idle_since <= idle_since]:
                self._close(line)
        if any(place.idle for place in self.places.values()):
            self.sweeping = self.reactor.callLater(self.idle_close / 2e6, self._sweep)

    def _spare(self) -> bool:
        """Close the connection that has been idle longest, if any is."""
        idle = [place.idle[0] for place in self.places.values() if place.idle]
        if not idle:
            return False
        self.log.count("line.spared")
        self._close(min(idle, key=lambda line: line.idle_since))
        return True

    def _close(self, line: Line) -> None:
        """Off the idle ones at once; the transport tells of its end a moment later. Our sending ends now:
        that gives up what is out on it (PROTOCOL), and where one pick may be out at a time the next one may
        leave before the transport closes."""
        if line in line.place.idle:
            line.place.idle.remove(line)
        if not line.lost:
            end_sending(line.transport)
            line.transport.abortConnection()

    def closed(self, line: Line) -> None:
        """The one place where a connection is given back; the pick out on it may have run."""
        line.lost = True
        self.descriptors.give_back()
        self._close(line)
        if line.pick is not None:
            self._ended(line.pick, face.BROKEN)


def load_report(text: bytes | memoryview | None) -> dict[str, float]:
    """What a load report says in the module's names; one that cannot be read whole says nothing."""
    load: dict[str, float] = {}
    if text is None or not REPORT.fullmatch(text):
        return load
    for part in bytes(text).split(b","):
        name, _, figure = part.partition(b"=")
        if (known := LOADS.get(name.decode())) is not None:
            load[known] = float(figure)
    return load
