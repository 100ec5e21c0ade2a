"""One stream of a proxy: the receiver of its messages, and the RPC that it is about.

Owns the stream's phases and the responses on it. Decides nothing: request headers and reports go to the
handler, of which it knows the interface alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from linenbridge.logging.event_log import Log
from linenbridge.processor import codec, http2
from linenbridge.processor.reservations import AttemptReservation, RpcEntry
from linenbridge.processor.stream_phases import Action, OutOfOrderError, StreamPhases, StreamState


@dataclass(frozen=True, slots=True)
class ProxyPeer:
    """One proxy, or a group that counts as one. `is_own`: its reports may be evidence. `attempts`: how often
    it sends one request. `fail_open`: it sends a request on when it gets no response from here."""

    name: str
    is_own: bool = False
    attempts: int = 1
    fail_open: bool = True


class Handler(Protocol):
    """What a session needs from whoever decides: `external_processor.ExternalProcessor` outside of tests."""

    log: Log

    def on_request_headers(self, session: StreamSession, message: codec.ProxyMessage) -> None:
        """Request headers have come; an answer is owed."""

    def on_response(self, session: StreamSession, message: codec.ProxyMessage) -> None:
        """Response headers or trailers have come; an answer is owed."""

    def on_stream_ended(self, session: StreamSession) -> None:
        """The stream is over, or its request is settled as if it were."""

    def has_pending_response(self, session: StreamSession) -> bool:
        """Whether an answer to a report is still to come on this stream."""


class StreamSession:
    """One stream of `peer`; `entry` and `reservation` are set while it is about an RPC."""

    __slots__ = ("awaits_trailers", "call", "entry", "grpc", "handler", "peer", "phases", "reservation")

    def __init__(self, handler: Handler, peer: ProxyPeer, call: http2.Call) -> None:
        self.handler = handler
        self.peer = peer
        self.call = call
        self.phases = StreamPhases()
        self.entry: RpcEntry | None = None
        self.reservation: AttemptReservation | None = None
        self.grpc = False
        self.awaits_trailers = False

    def on_message(self, data: memoryview) -> None:
        """A message has come whole: act on it by the stream's state."""
        handler = self.handler
        try:
            message = codec.decode(data)
            action = self.phases.on_message(message.kind, observed=message.observed)
        except codec.MalformedError as error:
            handler.log.event_sampled("malformed", "message", error=str(error), proxy=self.peer.name)
            self.fail(http2.INVALID_ARGUMENT, str(error))
            return
        except OutOfOrderError as error:
            handler.log.event_sampled("malformed", "order", error=str(error), proxy=self.peer.name)
            self.fail(http2.FAILED_PRECONDITION, str(error))
            return
        if action == Action.DECIDE:
            handler.on_request_headers(self, message)
        elif action == Action.REPORT:
            handler.on_response(self, message)
        elif action == Action.CONTINUE:
            self.call.send(codec.continue_response(message.kind))

    def release(self) -> None:
        """The stream is about no RPC any more."""
        self.entry = None
        self.reservation = None

    def fail(self, status: int, text: str) -> None:
        """End the stream with an error; its RPC goes on as if the proxy had left."""
        self.handler.on_stream_ended(self)
        self.call.finish(status, text)

    def on_half_closed(self) -> None:
        """The proxy has ended its side: the stream ends with OK, after a response that is still due."""
        if self.phases.state != StreamState.AWAITING_DECISION and not self.handler.has_pending_response(self):
            self.handler.on_stream_ended(self)
            self.call.finish(http2.OK)

    def on_closed(self) -> None:
        """The stream has ended, by either side or with its connection."""
        self.handler.on_stream_ended(self)

    def dispatch(self, answer: bytes) -> None:
        """Let the request go on, and the messages that were deferred behind it."""
        deferred = self.phases.on_dispatched()
        self.call.send(answer)
        for kind in deferred:
            self.call.send(codec.continue_response(kind))
        if self.call.half:
            self.on_half_closed()

    def reject(self, answer: bytes) -> None:
        """Send the final response and end the stream."""
        self.phases.on_rejected()
        self.entry = None
        self.call.send(answer)
        self.call.finish(http2.OK)
