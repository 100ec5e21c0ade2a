"""The state machine of one external-processing stream: the allowed messages, and the action for each.

A proxy opens a stream for each request and sends its messages in phases; each message gets one response, in
order. A message that the transition table does not allow ends its stream with a gRPC status and a text. The
module does no I/O and uses only the kind of a message.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

MAX_DEFERRED = 8  # messages of one stream


class MessageKind(StrEnum):
    """The phases of a ProcessingRequest, by the names that its `oneof` has in the protocol."""

    UNKNOWN = ""  # no or an unsupported phase
    REQUEST_HEADERS = "request_headers"
    REQUEST_BODY = "request_body"
    REQUEST_TRAILERS = "request_trailers"
    RESPONSE_HEADERS = "response_headers"
    RESPONSE_BODY = "response_body"
    RESPONSE_TRAILERS = "response_trailers"


class StreamState(StrEnum):
    """The state of a stream. The values are part of error texts sent to proxies, so they must not change."""

    OPENED = "opened"
    AWAITING_DECISION = "asked"
    DISPATCHED = "handed"
    REPORTED = "reported"
    REJECTED = "refused"
    OBSERVED = "watched"


class Action(StrEnum):
    """The action that a message requires."""

    DECIDE = "decide"  # request headers: start a decision
    REPORT = "report"  # response headers or trailers: report the outcome
    CONTINUE = "continue"  # respond at once
    DEFER = "defer"  # respond after the decision
    IGNORE = "ignore"  # send no response


class Transition(NamedTuple):
    """The action for a message, and the state after it."""

    action: Action
    state: StreamState


def _stay(state: StreamState, action: Action, *kinds: MessageKind) -> dict[MessageKind, Transition]:
    """Return transitions by which messages of these kinds leave the state unchanged."""
    return {kind: Transition(action, state) for kind in kinds}


# A body or trailers received before the decision are deferred: a proxy in full-duplex mode may send them
# before it has the response to the headers.
TRANSITIONS: dict[StreamState, dict[MessageKind, Transition]] = {
    StreamState.OPENED: {
        MessageKind.REQUEST_HEADERS: Transition(Action.DECIDE, StreamState.AWAITING_DECISION),
    },
    StreamState.AWAITING_DECISION: _stay(
        StreamState.AWAITING_DECISION, Action.DEFER, MessageKind.REQUEST_BODY, MessageKind.REQUEST_TRAILERS
    ),
    StreamState.DISPATCHED: {
        **_stay(
            StreamState.DISPATCHED, Action.CONTINUE, MessageKind.REQUEST_BODY, MessageKind.REQUEST_TRAILERS
        ),
        MessageKind.RESPONSE_HEADERS: Transition(Action.REPORT, StreamState.REPORTED),
    },
    StreamState.REPORTED: {
        **_stay(
            StreamState.REPORTED,
            Action.CONTINUE,
            MessageKind.REQUEST_BODY,
            MessageKind.REQUEST_TRAILERS,
            MessageKind.RESPONSE_BODY,
        ),
        MessageKind.RESPONSE_TRAILERS: Transition(Action.REPORT, StreamState.REPORTED),
    },
    StreamState.REJECTED: _stay(
        StreamState.REJECTED, Action.IGNORE, MessageKind.REQUEST_BODY, MessageKind.REQUEST_TRAILERS
    ),
    StreamState.OBSERVED: _stay(StreamState.OBSERVED, Action.IGNORE, *MessageKind),
}
AT_MOST_ONCE = frozenset(
    (
        MessageKind.REQUEST_HEADERS,
        MessageKind.REQUEST_TRAILERS,
        MessageKind.RESPONSE_HEADERS,
        MessageKind.RESPONSE_TRAILERS,
    )
)


class OutOfOrderError(ValueError):
    """A message that the stream's state does not allow. Its text is sent to the proxy."""


class StreamPhases:
    """The state of one stream.

    Each message is passed to `on_message`, and the decision on the request headers to `on_dispatched` or
    `on_rejected`.
    """

    __slots__ = ("deferred", "seen", "state")

    def __init__(self) -> None:
        self.state = StreamState.OPENED
        self.seen: set[MessageKind] = set()
        self.deferred: list[MessageKind] = []

    def on_message(self, kind: MessageKind, *, observed: bool = False) -> Action:
        """Advance the state by a message and return its action.

        An `observed` message is a copy that gets no response. Raises OutOfOrderError if the state does not
        allow the message.
        """
        if kind == MessageKind.UNKNOWN:
            raise OutOfOrderError("the message holds no phase that is known here")
        if observed != (self.state == StreamState.OBSERVED) and self.state != StreamState.OPENED:
            raise OutOfOrderError("a stream is watched from its first message on, or never")
        if observed:
            self.state = StreamState.OBSERVED
        if kind in self.seen and kind in AT_MOST_ONCE:
            raise OutOfOrderError(f"{kind} came twice")
        transition = TRANSITIONS[self.state].get(kind)
        if transition is None:
            raise OutOfOrderError(f"{kind} cannot come now: the stream is {self.state}")
        self.seen.add(kind)
        self.state = transition.state
        if transition.action == Action.DEFER:
            self._defer(kind)
        return transition.action

    def _defer(self, kind: MessageKind) -> None:
        if len(self.deferred) >= MAX_DEFERRED:
            raise OutOfOrderError("too much came before the decision")
        self.deferred.append(kind)

    def on_dispatched(self) -> list[MessageKind]:
        """Record the dispatch; return the deferred messages, to be responded to after the request headers."""
        return self._end_decision(StreamState.DISPATCHED)

    def on_rejected(self) -> None:
        """Record the rejection and drop the deferred messages, which need no response after the final one."""
        self._end_decision(StreamState.REJECTED)

    def _end_decision(self, state: StreamState) -> list[MessageKind]:
        if self.state != StreamState.AWAITING_DECISION:
            raise OutOfOrderError(f"nothing was to be decided: the stream is {self.state}")
        deferred = self.deferred
        self.deferred = []
        self.state = state
        return deferred
