"""The decision loop: batches inputs, reports them to the decision module in one turn, executes its decisions.

Owns the open requests, from the last byte of a command to its final response and the end of its last attempt,
the turn, and the timer that wakes the module. It decides nothing: it sends, responds and votes as the module
decides. A request gets the first response that ends it and no other.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from socket import MSG_PEEK, SHUT_WR
from typing import Any, Protocol

from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST

from linenbridge.decisions import (
    CancelAttempt,
    CastVote,
    Decision,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    WatchEndpoints,
)
from linenbridge.interface import DecisionMaker, Id, Outcome, Vote
from linenbridge.logging.event_log import Log

# Final responses, beside `Outcome.OK`.
REJECTED = "rejected"
FAILED = "failed"


class AttemptTransport(Protocol):
    """Sends attempts to instances, and reports their ends by `DecisionLoop.attempt_finished`."""

    def send(self, now: int, request: ActiveRequest, attempt: int, instance: Id, timeout: int) -> None:
        """Send an attempt; it fails after `timeout` microseconds without a response."""

    def cancel(self, request: ActiveRequest, attempt: int) -> None:
        """Cancel an attempt, unless it has ended."""

    def withdraw_unsent(self, request: ActiveRequest) -> None:
        """End all attempts of a request that have not been sent yet."""


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request from its acceptance to the end of its last attempt.

    `payload` is what the transport needs to send it. `respond` takes the final response: its outcome, the
    time in microseconds after which to retry, and the value.
    """

    id: str
    method: str
    transport: AttemptTransport
    payload: Any
    respond: Callable[[str, int, Any], None]
    attempts: int = 0
    in_flight: int = 0
    ended: bool = False


class Platform(Protocol):
    """Takes this gateway's votes."""

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Cast or withdraw a vote."""


class Discovery(Protocol):
    """Serves the endpoint list."""

    def watch(self) -> None:
        """Request the list's changes."""


class DecisionLoop:
    """The turns of one gateway."""

    platform: Platform
    discovery: Discovery

    def __init__(
        self, decision_module: DecisionMaker, reactor: Any, now: Callable[[], int], log: Log
    ) -> None:
        self.decision_module = decision_module
        self.reactor = reactor
        self.now = now
        self.log = log
        self.pending_inputs: list[Callable[[int], None]] = []
        self.open: dict[str, ActiveRequest] = {}
        self.unanswered = 0
        self.next_turn: Any = None
        self.runs_after_poll = False  # The reactor itself runs the turn, after each round of reading.
        self.wake_timer: Any = None
        self.wake_due = 0
        self.on_turn_end: list[Callable[[], None]] = []

    def enqueue(self, call: Callable[[int], None]) -> None:
        """Report an input in the next turn, which runs once all that is ready has been read."""
        self.pending_inputs.append(call)
        if self.next_turn is None and not self.runs_after_poll:
            self.next_turn = self.reactor.callLater(0, self._run_scheduled_turn)

    def _run_scheduled_turn(self) -> None:
        self.next_turn = None
        self.turn()

    def turn(self) -> None:
        """Report all pending inputs at one time, then execute all that is decided on them."""
        now = self.now()
        calls, self.pending_inputs = self.pending_inputs, []
        for call in calls:
            try:
                call(now)
            except Exception as error:  # One input's fault must not cost the others their turn.
                self.log.failed("input", error)
        while (decision := self._decision(now)) is not None:
            try:
                self.execute(now, decision)
            except Exception as error:  # Nor one decision's.
                self.log.failed(f"executing {type(decision).__name__}", error)
        for call_at_end in self.on_turn_end:
            try:
                call_at_end()
            except Exception as error:
                self.log.failed("a turn's end", error)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        """Set one timer for the module's next wake-up. One due sooner stays: an early turn is harmless."""
        due = self.decision_module.wake_at()
        if due is None or (self.wake_timer is not None and self.wake_due <= due):
            return
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        self.wake_due = due
        self.wake_timer = self.reactor.callLater(max(0, due - self.now()) / 1e6, self._on_wake)

    def _on_wake(self) -> None:
        self.wake_timer = None
        if self.next_turn is None and not (self.runs_after_poll and self.pending_inputs):
            self.turn()

    def _decision(self, now: int) -> Decision | None:
        """Return the next decision; one that fails ends the turn's pulling, not the process."""
        try:
            return self.decision_module.next_decision(now)
        except Exception as error:
            self.log.failed("deciding", error)
            return None

    def execute(self, now: int, decision: Decision) -> None:
        """Execute one decision; KeyError where it names a request that is not open."""
        match decision:
            case SendAttempt():
                self._send(now, self.open[decision.rpc_id], decision.instance, decision.timeout)
            case CancelAttempt():
                if request := self.open.get(decision.rpc_id):
                    request.transport.cancel(request, decision.attempt)
            case Reject():
                self._respond(decision.rpc_id, REJECTED, decision.retry_after)
            case Fail():
                self._respond(decision.rpc_id, FAILED)
            case CastVote():
                self.log.count("vote", "sent")
                self.platform.vote(decision.build, decision.stage, decision.vote)
            case WatchEndpoints():
                self.discovery.watch()
            case LogMessage():
                self.log.event("decision", kind=decision.event, **decision.fields)
            case _:
                raise TypeError(f"this host can't execute {decision!r}")

    # ---- the lifecycle of a request --------------------------------------------------------------

    def accept(self, request: ActiveRequest, ttl: int, work: int | None, tenant: str, key: str) -> None:
        """Accept a request that has been read whole: from here on exactly one response is due."""
        self.open[request.id] = request
        self.unanswered += 1
        self.log.count("accepted", request.method)
        self.enqueue(
            lambda now: self.decision_module.on_request(
                now, request.id, request.method, ttl, work, tenant, key
            )
        )

    def client_disconnected(self, request: ActiveRequest) -> None:
        """End a request whose client has disconnected. An attempt in flight reports its outcome at its own
        end, at the client's deadline at the latest."""
        if not request.ended:
            self.log.count("client_disconnected", request.method)
            self._end(request)
            self.enqueue(lambda now: self.decision_module.on_client_disconnected(now, request.id))

    def mark_answered(self, request: ActiveRequest, outcome: str) -> None:
        """End a request whose final response reached the client without passing through this process."""
        if not request.ended:
            self.log.count("answered", request.method, outcome)
            self._end(request)

    def _respond(self, rpc_id: str, outcome: str, retry_after: int = 0, value: Any = ()) -> None:
        request = self.open.get(rpc_id)
        if request is not None and not request.ended:
            self.log.count("answered", request.method, outcome)
            self._end(request)
            request.respond(outcome, retry_after, value)

    def _end(self, request: ActiveRequest) -> None:
        """End a request in the one place for that. It is forgotten once its last attempt has ended too; an
        attempt that has not been sent by now never is."""
        request.ended = True
        self.unanswered -= 1
        request.transport.withdraw_unsent(request)
        if not request.in_flight:
            self.open.pop(request.id, None)

    def reschedule_unsent(self) -> None:
        """Withdraw the attempts not sent yet, as what they were decided on has changed: the module decides
        on them once more."""
        for request in [request for request in self.open.values() if request.in_flight]:
            request.transport.withdraw_unsent(request)

    def _send(self, now: int, request: ActiveRequest, instance: Id, timeout: int) -> None:
        attempt = request.attempts
        request.attempts += 1
        request.in_flight += 1
        self.log.count("attempted", request.method)
        request.transport.send(now, request, attempt, instance, timeout)

    def attempt_finished(
        self,
        request: ActiveRequest,
        attempt: int,
        sent_at: int,
        outcome: Outcome,
        load: dict[str, float],
        value: Any = (),
    ) -> None:
        """Take the end of an attempt, once for each. The first success answers the client at once; that of a
        later hedge is dropped."""
        request.in_flight -= 1
        self.log.count("ended", request.method, outcome)
        if outcome == Outcome.OK:
            self._respond(request.id, Outcome.OK, 0, value)
        final = request.ended
        if final and not request.in_flight:
            self.open.pop(request.id, None)
        self.enqueue(
            lambda now: self.decision_module.on_attempt_finished(
                now, request.id, attempt, outcome, final, now - sent_at, load
            )
        )


def has_nothing_unread(transport: Any) -> bool:
    """Whether nothing lies unread on a connection, neither bytes nor its end."""
    try:
        transport.socket.recv(1, MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def watch_for_close(transport: Any) -> None:
    """From now on nothing is read from a connection, but its end is noticed, unless something unread lies
    before it: that is left where it is, and who waits for the end has to bound the wait."""

    def check_for_close() -> Any:
        try:
            if not transport.socket.recv(1, MSG_PEEK):
                return CONNECTION_DONE
        except BlockingIOError:
            return None
        except OSError:
            return CONNECTION_LOST
        transport.stopReading()
        return None

    transport.doRead = check_for_close


def shut_down_sending(transport: Any) -> None:
    """At once, without waiting for the reactor's next round."""
    with suppress(OSError):
        transport.socket.shutdown(SHUT_WR)


def read_remaining(transport: Any) -> None:
    """What lies unread on a connection that is about to be let go is read first."""
    if transport.connected:
        transport.doRead()


def write_immediately(transport: Any, data: bytes) -> bool:
    """Hand it to the system at once where nothing is queued before it, the rest to the reactor: a wait for
    the next turn and two calls to the system saved for each message. True where its last byte has left."""
    if transport.dataBuffer or transport._tempDataBuffer or not transport.connected:  # noqa: SLF001  # Twisted has no public name for it
        transport.write(data)
        return False
    sent = transport.writeSomeData(data)
    if isinstance(sent, int) and sent == len(data):
        return True
    transport.write(data[sent:] if isinstance(sent, int) and sent > 0 else data)
    return False
