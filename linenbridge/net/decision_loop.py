"""The loop: gathers what is ready, hands it to the module in one go, then carries out what came back.

Owns the open RPCs (from the last byte of a command to its one answer and the end of its last pick), the
turn and the one timer that wakes the module. It must never decide: it picks, answers and votes as the
module says, and an RPC gets the first answer that ends it and no other.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from socket import MSG_PEEK, SHUT_WR
from typing import Any, Protocol

from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST

from linenbridge import interface as face
from linenbridge.logging.event_log import Log

PUSHED_BACK, ABORTED = "pushed_back", "aborted"  # final answers, beside the outcome ok


class Carrier(Protocol):
    """Who carries the picks of a front's RPCs to instances, and tells of their ends by `Loop.pick_ended`."""

    def pick(self, now: int, rpc: Taken, number: int, instance: face.Id, time_out: int) -> None: ...
    def cancel(self, rpc: Taken, number: int) -> None: ...
    def withdraw(self, rpc: Taken) -> None: ...


@dataclass(slots=True, eq=False)
class Taken:
    """An RPC that a front has taken: who carries its picks, what that one needs for it, and where the final
    answer goes: its outcome, the time in microseconds after which to come again, and the value."""

    id: str
    method: str
    carrier: Carrier
    load: Any
    answer: Callable[[str, int, Any], None]
    picks: int = 0
    out: int = 0
    ended: bool = False


class Platform(Protocol):
    def vote(self, build: int, stage: int, verdict: int) -> None: ...


class Discovery(Protocol):
    def watch(self) -> None: ...


class Loop:
    """One gateway's turns."""

    platform: Platform
    discovery: Discovery

    def __init__(self, gateway: face.Gateway, reactor: Any, now: Callable[[], int], log: Log) -> None:
        self.gateway, self.reactor, self.now, self.log = gateway, reactor, now, log
        self.gathered: list[Callable[[int], None]] = []
        self.open: dict[str, Taken] = {}
        self.unanswered = 0
        self.next_turn: Any = None
        self.polled = False  # The reactor runs the turn itself, after each round of reading.
        self.wake: Any = None
        self.wake_at = 0
        self.settled: list[Callable[[], None]] = []  # What is to be handed over in one go at a turn's end.

    def gather(self, call: Callable[[int], None]) -> None:
        """Something came in: the next turn, after all that is ready has been read, tells the module."""
        self.gathered.append(call)
        if self.next_turn is None and not self.polled:
            self.next_turn = self.reactor.callLater(0, self._ready)

    def _ready(self) -> None:
        self.next_turn = None
        self.turn()

    def turn(self) -> None:
        """One moment for all that was gathered and all that is decided on it."""
        now = self.now()
        calls, self.gathered = self.gathered, []
        for call in calls:
            try:
                call(now)
            except Exception as error:
                self.log.failed("input", error)
        while (decision := self._decision(now)) is not None:
            try:
                self.carry_out(now, decision)
            except Exception as error:
                self.log.failed(f"carrying out {decision[0]}", error)
        for hand_over in self.settled:
            try:
                hand_over()
            except Exception as error:
                self.log.failed("a turn's end", error)
        self._arm()

    def _arm(self) -> None:
        """One timer for the module's next wake-up; one due sooner stays: an early turn is harmless."""
        due = self.gateway.wake_at()
        if due is None or (self.wake is not None and self.wake_at <= due):
            return
        if self.wake is not None:
            self.wake.cancel()
        self.wake_at = due
        self.wake = self.reactor.callLater(max(0, due - self.now()) / 1e6, self._woken)

    def _woken(self) -> None:
        self.wake = None
        if self.next_turn is None and not (self.polled and self.gathered):
            self.turn()

    def _decision(self, now: int) -> tuple | None:
        """A decision that failed ends the turn's pulling, not the process."""
        try:
            return self.gateway.next_decision(now)
        except Exception as error:
            self.log.failed("deciding", error)
            return None

    def carry_out(self, now: int, decision: tuple) -> None:
        match decision:
            case (face.PICK, rpc, instance, time_out):
                self._pick(now, self.open[rpc], instance, time_out)
            case (face.CANCEL, rpc, number):
                if taken := self.open.get(rpc):
                    taken.carrier.cancel(taken, number)
            case (face.PUSH_BACK, rpc, retry_after):
                self._answer(rpc, PUSHED_BACK, retry_after)
            case (face.ABORT, rpc):
                self._answer(rpc, ABORTED)
            case (face.VOTE, build, stage, verdict):
                self.log.count("vote", "sent")
                self.platform.vote(build, stage, verdict)
            case (face.WATCH,):
                self.discovery.watch()
            case (face.LOG, text):
                self.log.event("mode", text=text)
            case _:
                raise ValueError(f"no way to carry out {decision!r}")

    # ---- the life of an RPC ----------------------------------------------------------------------

    def take(self, taken: Taken, ttl: int, work: int | None, tenant: str, key: str) -> None:
        """A command has wholly come: from here one answer is owed."""
        self.open[taken.id] = taken
        self.unanswered += 1
        self.log.count("taken", taken.method)
        self.gather(lambda now: self.gateway.on_rpc(now, taken.id, taken.method, ttl, work, tenant, key))

    def gone(self, taken: Taken) -> None:
        """The client has left: nothing is owed any more. A pick still out tells the module its outcome at its
        own end, at the client's deadline at the latest, as on the bench."""
        if not taken.ended:
            self.log.count("gone", taken.method)
            self._end(taken)
            self.gather(lambda now: self.gateway.on_gone(now, taken.id))

    def settle(self, taken: Taken, outcome: str) -> None:
        """The final answer went to the client without passing here: its front has seen that it did."""
        if not taken.ended:
            self.log.count("answered", taken.method, outcome)
            self._end(taken)

    def _answer(self, rpc: str, outcome: str, retry_after: int = 0, value: Any = ()) -> None:
        taken = self.open.get(rpc)
        if taken is not None and not taken.ended:
            self.log.count("answered", taken.method, outcome)
            self._end(taken)
            taken.answer(outcome, retry_after, value)

    def _end(self, taken: Taken) -> None:
        """The one place where an RPC's duty ends; it is forgotten once its last pick has ended too. A pick
        that has not left by now never does: nothing is sent for an RPC that is over."""
        taken.ended = True
        self.unanswered -= 1
        taken.carrier.withdraw(taken)
        if not taken.out:
            self.open.pop(taken.id, None)

    def place_anew(self) -> None:
        """What the picks were decided on has changed: those that have not left yet never do."""
        for taken in [taken for taken in self.open.values() if taken.out]:
            taken.carrier.withdraw(taken)

    def _pick(self, now: int, taken: Taken, instance: face.Id, time_out: int) -> None:
        number, taken.picks, taken.out = taken.picks, taken.picks + 1, taken.out + 1
        self.log.count("picked", taken.method)
        taken.carrier.pick(now, taken, number, instance, time_out)

    def pick_ended(
        self, taken: Taken, number: int, sent: int, outcome: str, load: dict[str, float], value: Any = ()
    ) -> None:
        """Called once for each pick. The first ok answers the client at once; a later copy's is dropped."""
        taken.out -= 1
        self.log.count("ended", taken.method, outcome)
        if outcome == face.OK:
            self._answer(taken.id, face.OK, 0, value)
        final = taken.ended
        if final and not taken.out:
            self.open.pop(taken.id, None)
        self.gather(
            lambda now: self.gateway.on_reply(now, taken.id, number, outcome, final, now - sent, load)
        )


def untouched(transport: Any) -> bool:
    """Whether nothing lies unread on a connection, neither bytes nor its end."""
    try:
        transport.socket.recv(1, MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def watch_end(transport: Any) -> None:
    """From now on nothing is read from a connection, but its end is noticed, unless something unread lies
    before it: that is left where it is, and who waits for the end has to bound the wait."""

    def look() -> Any:
        try:
            if not transport.socket.recv(1, MSG_PEEK):
                return CONNECTION_DONE
        except BlockingIOError:
            return None
        except OSError:
            return CONNECTION_LOST
        transport.stopReading()
        return None

    transport.doRead = look


def end_sending(transport: Any) -> None:
    """At once, without waiting for the reactor's next round."""
    with suppress(OSError):
        transport.socket.shutdown(SHUT_WR)


def read_out(transport: Any) -> None:
    """What lies unread on a connection that is about to be let go is read first."""
    if transport.connected:
        transport.doRead()


def write_out(transport: Any, data: bytes) -> bool:
    """Hand it to the system at once where nothing is queued before it, the rest to the reactor: a wait for
    the next turn and two calls to the system saved for each message. True where its last byte has left."""
    if transport.dataBuffer or transport._tempDataBuffer or not transport.connected:
        transport.write(data)
        return False
    sent = transport.writeSomeData(data)
    if isinstance(sent, int) and sent == len(data):
        return True
    transport.write(data[sent:] if isinstance(sent, int) and sent > 0 else data)
    return False
