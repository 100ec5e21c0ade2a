"""One stream of a proxy: receives its messages and links the stream to its RPC.

Owns the phases of the stream and sends the responses on it. Request headers and reports are passed to a
handler, which makes the decisions.
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
    """One proxy, or a group of proxies that is treated as one.

    `is_own` is set if its reports may be evidence. `attempts` is the maximum number of attempts that it makes
    for a request. `fail_open` is set if it forwards a request for which it gets no response from this
    processor.
    """

    name: str
    is_own: bool = False
    attempts: int = 1
    fail_open: bool = True


class Handler(Protocol):
    """The interface of `external_processor.ExternalProcessor` that a session uses."""

    log: Log

    def on_request_headers(self, session: StreamSession, message: codec.ProxyMessage) -> None:
        """Handle request headers, which require a response."""

    def on_response(self, session: StreamSession, message: codec.ProxyMessage) -> None:
        """Handle response headers or trailers, which require a response."""

    def on_stream_ended(self, session: StreamSession) -> None:
        """Handle the end of the stream, or an error after which the session is detached from its RPC."""

    def has_pending_response(self, session: StreamSession) -> bool:
        """Return whether the response to a report is still pending on this stream."""


class StreamSession:
    """One stream of `peer`; `entry` and `reservation` are set while the stream belongs to an RPC."""

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
        """Process one complete message according to the state of the stream."""
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
        """Detach the stream from its RPC."""
        self.entry = None
        self.reservation = None

    def fail(self, status: int, text: str) -> None:
        """End the stream with an error status; its RPC is handled as if the proxy had disconnected."""
        self.handler.on_stream_ended(self)
        self.call.finish(status, text)

    def on_half_closed(self) -> None:
        """End the stream with OK when the proxy has ended its side and no response is pending."""
        if self.phases.state != StreamState.AWAITING_DECISION and not self.handler.has_pending_response(self):
            self.handler.on_stream_ended(self)
            self.call.finish(http2.OK)

    def on_closed(self) -> None:
        """Handle the end of the stream, by either side or with its connection."""
        self.handler.on_stream_ended(self)

    def dispatch(self, answer: bytes) -> None:
        """Send the response to the request headers, and then let the deferred messages pass."""
        deferred = self.phases.on_dispatched()
        self.call.send(answer)
        for kind in deferred:
            self.call.send(codec.continue_response(kind))
        if self.call.half_closed:
            self.on_half_closed()

    def reject(self, answer: bytes) -> None:
        """Send the final response and end the stream."""
        self.phases.on_rejected()
        self.entry = None
        self.call.send(answer)
        self.call.finish(http2.OK)
