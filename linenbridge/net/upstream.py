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

from linenbridge.interface import EndpointEntry, Id, InstanceState, Outcome
from linenbridge.net import resp
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import DecisionLoop, ActiveRequest, end_sending, untouched, write_out
from linenbridge.startup import LOADS

# PROTOCOL, Gateways to instances: the error lines and the load report that may come last in them.
ERROR_LINE = re.compile(rb"(BUSY|ERR|SYNTAX|NOPERM)( [ -~]*)?")
REPORT = re.compile(rb"[a-z_]+=\d{1,9}(\.\d{1,9})?(,[a-z_]+=\d{1,9}(\.\d{1,9})?)*")
REST_AFTER_RESPONSE = 20_000  # STANDING, join+mass: a second answer may come some milliseconds late


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


class Attempt:
    """One pick: waiting for a connection, out on one, or ended."""

    __slots__ = ("connection", "ended", "number", "pool", "rpc", "sent", "until")

    def __init__(self, rpc: ActiveRequest, number: int, pool: ConnectionPool, sent: int, until: int) -> None:
        self.rpc, self.number, self.pool, self.sent, self.until = rpc, number, pool, sent, until
        self.connection: Connection | None = None
        self.ended = False


class ConnectionPool:
    """One instance as listed: where it is, its idle connections, and picks that wait for one."""

    def __init__(self, entry: EndpointEntry, address: tuple[str, int]) -> None:
        self.entry, self.address = entry, address
        self.idle: deque[Connection] = deque()
        self.waiting: deque[Attempt] = deque()
        self.connecting = 0
        self.timer: Any = None  # when the first of its connections has rested, while a pick waits for that


class Connection(Protocol):
    """One connection to an instance; it carries one pick at a time, as answers keep their order."""

    def __init__(self, instances: Instances, pool: ConnectionPool) -> None:
        self.instances, self.pool = instances, pool
        self.reader = resp.Reader(commands=False)
        self.address, self.process = pool.address, (pool.entry.started_at, pool.entry.build)
        self.pick: Attempt | None = None
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
                "malformed", "instance", error=str(error), instance=self.pool.entry.instance
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
        self, loop: DecisionLoop, reactor: Any, most: int, connect_timeout: int, idle_timeout: int, log: Log
    ) -> None:
        self.loop, self.reactor, self.log = loop, reactor, log
        self.connect_timeout = connect_timeout / 1e6
        # The far side closes at this idle time at the latest: well before it, none is written to any more.
        self.idle_timeout = idle_timeout // 2
        self.descriptors = Descriptors(most, self._spare)
        self.pools: dict[Id, ConnectionPool] = {}
        self.picks: dict[tuple[str, int], Attempt] = {}
        self.due: list[tuple[int, int, Attempt]] = []
        self.serial = count()
        self.timer: Any = None
        self.timer_at = 0
        self.sweeping: Any = None

    # ---- the list --------------------------------------------------------------------------------

    def listed(self, listed: Iterable[tuple[EndpointEntry, tuple[str, int]]], whole: bool) -> None:
        """What discovery says now: nothing more goes to what drains, is gone, or was another process."""
        named = set()
        for entry, address in listed:
            named.add(entry.instance)
            pool = self.pools.get(entry.instance)
            if pool is None:
                if entry.state != InstanceState.REMOVED:
                    self.pools[entry.instance] = ConnectionPool(entry, address)
                continue
            before = (pool.address, pool.entry.started_at, pool.entry.build)
            pool.entry, pool.address = entry, address
            if entry.state != InstanceState.READY or before != (address, entry.started_at, entry.build):
                self._leave(pool)
        for name, pool in list(self.pools.items()):
            if pool.entry.state == InstanceState.REMOVED or (whole and name not in named):
                # Forgotten here; connections still busy hold it until they close, as nothing is ready there.
                pool.entry = pool.entry._replace(state=InstanceState.REMOVED)
                del self.pools[name]
                self._leave(pool)

    def _leave(self, pool: ConnectionPool) -> None:
        """Idle connections close; picks not yet written have never run and are placed anew."""
        for connection in list(pool.idle):
            self._close(connection)
        for pick in list(pool.waiting):
            self._ended(pick, Outcome.NOT_SENT)

    # ---- picks -----------------------------------------------------------------------------------

    def send(self, now: int, rpc: ActiveRequest, number: int, instance: Id, timeout: int) -> None:
        """Write it to an idle connection, or as soon as one is idle or has come up."""
        pool = self.pools.get(instance)
        if pool is None:  # It has left the list since the module last heard of it.
            self.loop.attempt_finished(rpc, number, now, Outcome.NOT_SENT, {})
            return
        pick = self.picks[rpc.id, number] = Attempt(rpc, number, pool, now, now + timeout)
        while self.due and self.due[0][2].ended:
            heappop(self.due)
        heappush(self.due, (pick.until, next(self.serial), pick))
        if self.timer is None or pick.until < self.timer_at:
            self._arm(now)
        if (connection := self._rested(pool, now)) is not None:
            self._write(connection, pick)
            return
        pool.waiting.append(pick)
        self._rest(pool, now)
        if pool.connecting < len(pool.waiting):
            self._connect(pool)

    def _rested(self, pool: ConnectionPool, now: int) -> Connection | None:
        """The connection idle longest, once it has rested: what its instance sends late would pass as the
        next pick's answer, and has come by then. None is kept that has any."""
        while pool.idle and pool.idle[0].idle_since + REST_AFTER_RESPONSE <= now:
            if untouched((connection := pool.idle.popleft()).transport):
                return connection
            self.log.count("line.spent")
            self._close(connection)
        return None

    def _rest(self, pool: ConnectionPool, now: int) -> None:
        """Whoever waits is served by whichever is there first: a connection that comes up, or has rested."""
        if pool.idle and pool.waiting and pool.timer is None:
            wait = max(0, pool.idle[0].idle_since + REST_AFTER_RESPONSE - now)
            pool.timer = self.reactor.callLater(wait / 1e6, self._has_rested, pool)

    def _has_rested(self, pool: ConnectionPool) -> None:
        pool.timer, now = None, self.loop.now()
        while pool.waiting and (connection := self._rested(pool, now)) is not None:
            self._write(connection, pool.waiting.popleft())
        self._rest(pool, now)

    def cancel(self, rpc: ActiveRequest, number: int) -> None:
        if (pick := self.picks.get((rpc.id, number))) is not None:
            self._ended(pick, Outcome.CANCELLED if pick.connection else Outcome.NOT_SENT)

    def withdraw_unsent(self, rpc: ActiveRequest) -> None:
        """Picks of an RPC that is over: none that waits for a connection is written any more."""
        for number in range(rpc.attempts):
            pick = self.picks.get((rpc.id, number))
            if pick is not None and pick.connection is None:
                self._ended(pick, Outcome.NOT_SENT)

    def _write(self, connection: Connection, pick: Attempt) -> None:
        connection.pick, pick.connection, connection.used = pick, connection, True
        write_out(connection.transport, pick.rpc.payload.command(pick.until - self.loop.now()))

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
            self._ended(pick, Outcome.TIMED_OUT if pick.connection else Outcome.CONNECT_FAILED)
        self._arm(now)

    def answered(self, connection: Connection, pick: Attempt, message: resp.Value) -> None:
        """PROTOCOL's table, to the letter: what only looks like a refusal may have run."""
        match message:
            case [memoryview() as value, None, (None | memoryview()) as report]:
                self._ended(pick, Outcome.OK, load_report(report), resp.bulk(value))
            case resp.Line(mark=b"-", text=text) if ERROR_LINE.fullmatch(text):
                word, _, report = text.partition(b" ")
                if word == b"SYNTAX":
                    self.log.event("syntax", instance=connection.pool.entry.instance)
                outcome = Outcome.OVERLOADED if word == b"BUSY" else Outcome.ERROR
                self._ended(pick, outcome, load_report(report.split(b" ")[-1]))
            case _:
                raise resp.MalformedError("an answer that is neither a value nor an error")

    def spoilt(self, connection: Connection) -> None:
        """Of no further use. The pick that was out on it may have run, and its instance has spoken."""
        if connection.pick is not None:
            self._ended(connection.pick, Outcome.MALFORMED_RESPONSE)
        self._close(connection)

    def _ended(
        self, pick: Attempt, outcome: str, load: dict[str, float] | None = None, value: tuple = ()
    ) -> None:
        """The one place where a pick is given back; its connection stays only if its answer has come."""
        if pick.ended:
            return
        pick.ended = True
        del self.picks[pick.rpc.id, pick.number]
        connection = pick.connection
        if connection is None:
            pick.pool.waiting.remove(pick)
        else:
            connection.pick = None
            if outcome not in (Outcome.OK, Outcome.ERROR, Outcome.OVERLOADED):
                self._close(connection)
        self.loop.attempt_finished(pick.rpc, pick.number, pick.sent, outcome, load or {}, value)

    # ---- connections -----------------------------------------------------------------------------

    def _connect(self, pool: ConnectionPool) -> None:
        """One more connection to the instance; it serves whichever pick waits first when it is up."""
        if not self.descriptors.take():
            self.log.count("line.no_descriptor")
            self._ended(pool.waiting[-1], Outcome.CONNECT_FAILED)
            return
        pool.connecting += 1
        self.log.count("line.opened")
        connection = Connection(self, pool)
        connecting = ClientCreator(self.reactor, lambda: connection).connectTCP(
            *pool.address, timeout=self.connect_timeout
        )
        connecting.addCallbacks(self._up, lambda failure: self._failed(pool))
        connecting.addErrback(lambda failure: self.log.failed("connecting", failure.value))

    def _up(self, connection: Connection) -> None:
        connection.pool.connecting -= 1
        if connection.lost:
            self._too_many_waiting(connection.pool)
        else:
            self.free(connection)

    def _failed(self, pool: ConnectionPool) -> None:
        pool.connecting -= 1
        self.descriptors.give_back()
        self.log.count("line.failed")
        self._too_many_waiting(pool)

    def _too_many_waiting(self, pool: ConnectionPool) -> None:
        """A pick for which no connection comes up any more was never written."""
        while len(pool.waiting) > pool.connecting:
            self._ended(pool.waiting[0], Outcome.CONNECT_FAILED)

    def free(self, connection: Connection) -> None:
        """A new one to the pick that waits first; else kept, one that has been used to rest. Not where the
        instance has moved or is another process."""
        pool = connection.pool
        entry = pool.entry
        same = connection.address == pool.address and connection.process == (entry.started_at, entry.build)
        if (
            not same
            or entry.state != InstanceState.READY
            or not (connection.used or untouched(connection.transport))
        ):
            self._close(connection)
            self._too_many_waiting(pool)
        elif pool.waiting and not connection.used:
            self._write(connection, pool.waiting.popleft())
        else:
            now = self.loop.now()
            connection.idle_since = now if connection.used else now - REST_AFTER_RESPONSE
            (pool.idle.append if connection.used else pool.idle.appendleft)(connection)
            self._rest(pool, now)
            if self.sweeping is None:
                self.sweeping = self.reactor.callLater(self.idle_timeout / 2e6, self._sweep)

    def _sweep(self) -> None:
        """Idle connections that have been so for half the time, or will be before the next sweep, close."""
        self.sweeping, idle_since = None, self.loop.now() - self.idle_timeout // 2
        for pool in self.pools.values():
            for connection in [connection for connection in pool.idle if connection.idle_since <= idle_since]:
                self._close(connection)
        if any(pool.idle for pool in self.pools.values()):
            self.sweeping = self.reactor.callLater(self.idle_timeout / 2e6, self._sweep)

    def _spare(self) -> bool:
        """Close the connection that has been idle longest, if any is."""
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        self.log.count("line.spared")
        self._close(min(idle, key=lambda connection: connection.idle_since))
        return True

    def _close(self, connection: Connection) -> None:
        """Off the idle ones at once; the transport tells of its end a moment later. Our sending ends now:
        that gives up what is out on it (PROTOCOL), and where one pick may be out at a time the next one may
        leave before the transport closes."""
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
        if not connection.lost:
            end_sending(connection.transport)
            connection.transport.abortConnection()

    def closed(self, connection: Connection) -> None:
        """The one place where a connection is given back; the pick out on it may have run."""
        connection.lost = True
        self.descriptors.give_back()
        self._close(connection)
        if connection.pick is not None:
            self._ended(connection.pick, Outcome.CONNECTION_LOST)


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
