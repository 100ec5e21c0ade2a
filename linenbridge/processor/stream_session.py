"""One stream of a proxy: the receiver of its messages, and the RPC that it is about while it is.

Owns the stream's phases and what is said on it. It must never decide: what it hears goes to its handler, of
which it knows the interface alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from linenbridge.logging.event_log import Log
from linenbridge.processor import codec, http2
from linenbridge.processor.reservations import AttemptReservation, RpcEntry
from linenbridge.processor.stream_phases import Action, OutOfOrderError, StreamPhases, StreamState


@dataclass(frozen=True, slots=True)
class Partner:
    """One proxy, or a group that counts as one. `ours`: its reports may be evidence. `attempts`: how often it
    sends one request. `fail_open`: it sends a request on when it hears nothing from here."""

    name: str
    ours: bool = False
    attempts: int = 1
    fail_open: bool = True


class Handler(Protocol):
    """What a conversation needs from whoever decides: `front.Front` outside of tests."""

    log: Log

    def asked(self, conversation: Conversation, heard: codec.Heard) -> None:
        """Request headers have come; an answer is owed."""

    def reported(self, conversation: Conversation, heard: codec.Heard) -> None:
        """Response headers or trailers have come; an answer is owed."""

    def left(self, conversation: Conversation) -> None:
        """The stream is over, or its request is settled as if it were."""

    def owes(self, conversation: Conversation) -> bool:
        """Whether an answer to a report is still to come on this stream."""


class Conversation:
    """One stream: the receiver of its messages, and the RPC that it is about while it is."""

    __slots__ = ("call", "entry", "grpc", "handler", "later", "partner", "phases", "reservation")

    def __init__(self, handler: Handler, partner: Partner, call: http2.Call) -> None:
        self.handler, self.partner, self.call = handler, partner, call
        self.phases = StreamPhases()
        self.entry: RpcEntry | None = None
        self.reservation: AttemptReservation | None = None
        self.grpc = self.later = False

    def message(self, data: memoryview) -> None:
        handler = self.handler
        try:
            heard = codec.read(data)
            what = self.phases.on_message(heard.kind, observed=heard.watched)
        except codec.MalformedError as error:
            handler.log.rarely("malformed", "message", error=str(error), proxy=self.partner.name)
            self.fail(http2.INVALID_ARGUMENT, str(error))
            return
        except OutOfOrderError as error:
            handler.log.rarely("malformed", "order", error=str(error), proxy=self.partner.name)
            self.fail(http2.FAILED_PRECONDITION, str(error))
            return
        if what == Action.DECIDE:
            handler.asked(self, heard)
        elif what == Action.REPORT:
            handler.reported(self, heard)
        elif what == Action.CONTINUE:
            self.call.send(codec.go_on(heard.kind))

    def fail(self, status: int, text: str) -> None:
        """The stream ends here; what it was about is settled as if the proxy had left."""
        self.handler.left(self)
        self.call.finish(status, text)

    def half_closed(self) -> None:
        """The proxy says no more: an answer still owed is given, else the stream ends well."""
        if self.phases.state != StreamState.AWAITING_DECISION and not self.handler.owes(self):
            self.handler.left(self)
            self.call.finish(http2.OK)

    def gone(self) -> None:
        self.handler.left(self)

    def handed(self, answer: bytes) -> None:
        """The request goes on, and so does what has waited behind it."""
        waited = self.phases.on_dispatched()
        self.call.send(answer)
        for kind in waited:
            self.call.send(codec.go_on(kind))
        if self.call.half:
            self.half_closed()

    def refused(self, answer: bytes) -> None:
        """The final answer from here; the stream has served."""
        self.phases.on_rejected()
        self.entry = None
        self.call.send(answer)
        self.call.finish(http2.OK)
