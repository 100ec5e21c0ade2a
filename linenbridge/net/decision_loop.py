"""The decision loop: reports batches of inputs to the decision module, and executes the module's decisions.

In each turn, the loop reports all pending inputs and executes the decisions that follow. It also owns the
timer for the decision module's next wake-up, and the open requests. A request is open from the last byte of
its command until it has its final response and its last attempt has ended. The loop makes no decisions
itself. Each request gets exactly one final response; later ones are dropped.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

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

# Final responses other than `Outcome.OK`.
REJECTED = "rejected"
FAILED = "failed"


class AttemptTransport(Protocol):
    """Sends attempts to instances, and reports their outcomes with `DecisionLoop.attempt_finished`.

    `can_hedge` is false if an attempt can't be sent while another one of its request is in flight, and can't
    be cancelled.
    """

    can_hedge: bool

    def send(self, now: int, request: ActiveRequest, attempt: int, instance: Id, timeout: int) -> None:
        """Send an attempt, which fails if no response arrives within `timeout` microseconds."""

    def cancel(self, request: ActiveRequest, attempt: int) -> None:
        """Cancel an attempt, unless it has ended."""

    def withdraw_unsent(self, request: ActiveRequest) -> None:
        """End all attempts of a request that have not been sent yet."""


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request from its acceptance to the end of its last attempt.

    `payload` is what the transport needs to send the request. `respond` sends the final response to the
    client; its arguments are the outcome, the microseconds after which to retry, and the value. `attempts`
    counts the attempts begun, `in_flight` those without an outcome.
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
    """Client of the platform: sends it the votes of this gateway."""

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Send the platform a vote on a build at a stage of its rollout; `Vote.NONE` withdraws the vote."""


class Discovery(Protocol):
    """Client of discovery: gets the endpoint list from it, and reports the list to the decision module."""

    def watch(self) -> None:
        """Request the endpoint list, or the next changes to the list, from discovery."""


class DecisionLoop:
    """Runs the turns of one gateway, and keeps its open requests."""

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
        self.runs_after_poll = False  # The reactor itself runs the turn after each poll.
        self.wake_timer: Any = None
        self.wake_due = 0
        self.on_turn_end: list[Callable[[], None]] = []

    def enqueue(self, call: Callable[[int], None]) -> None:
        """Report an input in the next turn, which runs when all sockets that are ready have been read."""
        self.pending_inputs.append(call)
        if self.next_turn is None and not self.runs_after_poll:
            self.next_turn = self.reactor.callLater(0, self._run_scheduled_turn)

    def _run_scheduled_turn(self) -> None:
        self.next_turn = None
        self.turn()

    def turn(self) -> None:
        """Report all pending inputs with the same time, then execute the decisions that follow."""
        now = self.now()
        calls, self.pending_inputs = self.pending_inputs, []
        for call in calls:
            try:
                call(now)
            except Exception as error:  # One failing input must not keep the others from being reported.
                self.log.failed("input", error)
        while (decision := self._decision(now)) is not None:
            try:
                self.execute(now, decision)
            except Exception as error:  # One failing decision must not keep the others from being executed.
                self.log.failed(f"executing {type(decision).__name__}", error)
        for call_at_end in self.on_turn_end:
            try:
                call_at_end()
            except Exception as error:
                self.log.failed("a turn's end", error)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        """Set the timer for the module's next wake-up; an earlier timer stays: an early turn is harmless."""
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
        """Return the next decision; None if there is none, or if the module failed, which is logged."""
        try:
            return self.decision_module.next_decision(now)
        except Exception as error:
            self.log.failed("deciding", error)
            return None

    def execute(self, now: int, decision: Decision) -> None:
        """Execute one decision; raises KeyError for an attempt of a request that is not open."""
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
                raise TypeError(f"this host has no handler for the decision {decision!r}")

    # ---- the lifecycle of a request --------------------------------------------------------------

    def accept(self, request: ActiveRequest, ttl: int, work: int | None, tenant: str, key: str) -> None:
        """Accept a request that has been read completely; from now on it must get exactly one response."""
        self.open[request.id] = request
        self.unanswered += 1
        self.log.count("accepted", request.method)
        self.enqueue(
            lambda now: self.decision_module.on_request(
                now, request.id, request.method, ttl, work, tenant, key, request.transport.can_hedge
            )
        )

    def refuse(self, request: ActiveRequest, reason: str) -> None:
        """Reject a request at once that has been read completely, without the decision module."""
        self.log.count("accepted", request.method)
        self.log.count("refused", reason)
        self.log.count("answered", request.method, REJECTED)
        request.ended = True
        request.respond(REJECTED, 0, ())

    def abandon(self, request: ActiveRequest) -> None:
        """Fail a request whose time is up before the decision module has ended it."""
        if not request.ended:
            self._respond(request.id, FAILED)
            self.enqueue(lambda now: self.decision_module.on_client_disconnected(now, request.id))

    def client_disconnected(self, request: ActiveRequest) -> None:
        """End a request whose client has disconnected.

        Attempts in flight report their outcomes when they end, at the client's deadline at the latest.
        """
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
        """End a request, and withdraw its attempts that have not been sent; only this method ends requests.

        The request is removed from `open` when its last attempt has ended too.
        """
        request.ended = True
        self.unanswered -= 1
        request.transport.withdraw_unsent(request)
        if not request.in_flight:
            self.open.pop(request.id, None)

    def reschedule_unsent(self) -> None:
        """Withdraw all attempts that have not been sent, so that the module decides on them again.

        Called when the state on which the module based its decisions has changed.
        """
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
        """Handle the outcome of an attempt; called exactly once for each attempt.

        The first successful response is sent to the client at once; a later one, of a hedged request, is
        dropped. `sent_at` is when the attempt was passed to the transport, in microseconds.
        """
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
