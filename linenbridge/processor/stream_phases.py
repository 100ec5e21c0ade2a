"""The phases of one external-processing stream: which message may follow which, and what it brings about.

A proxy opens a stream for each request and sends its messages in phases; each message is owed one response,
in order. A message that the table does not foresee ends its own stream with a status and a text. The module
decides without I/O and reads nothing of a message but its kind.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

MAX_DEFERRED = 8  # messages that wait for one decision


class MessageKind(StrEnum):
    """The phases of a ProcessingRequest, by the names that its `oneof` has in the protocol."""

    UNKNOWN = ""  # none of these
    REQUEST_HEADERS = "request_headers"
    REQUEST_BODY = "request_body"
    REQUEST_TRAILERS = "request_trailers"
    RESPONSE_HEADERS = "response_headers"
    RESPONSE_BODY = "response_body"
    RESPONSE_TRAILERS = "response_trailers"


class StreamState(StrEnum):
    """Where a stream stands. The values stand in the texts that proxies get, so they stay as they are."""

    OPENED = "opened"
    AWAITING_DECISION = "asked"
    DISPATCHED = "handed"
    REPORTED = "reported"
    REJECTED = "refused"
    OBSERVED = "watched"


class Action(StrEnum):
    """What a message brings about."""

    DECIDE = "decide"  # request headers: a decision is due
    REPORT = "report"  # the response says how the attempt went
    CONTINUE = "continue"  # it passes at once
    DEFER = "defer"  # it passes once the decision is there
    IGNORE = "ignore"  # no response is due


class Transition(NamedTuple):
    """One cell of the table."""

    action: Action
    state: StreamState


def _stay(state: StreamState, action: Action, *kinds: MessageKind) -> dict[MessageKind, Transition]:
    """Messages of these kinds leave the stream in its state."""
    return {kind: Transition(action, state) for kind in kinds}


# A body or trailers that come while a decision is due are deferred: a proxy that streams both ways need not
# wait for the response to the headers.
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
    """A message that may not come in the stream's state; the text goes to the proxy."""


class StreamPhases:
    """The state of one stream. `on_message` takes each message; `on_dispatched` and `on_rejected` take the
    decision on its request headers."""

    __slots__ = ("deferred", "seen", "state")

    def __init__(self) -> None:
        self.state = StreamState.OPENED
        self.seen: set[MessageKind] = set()
        self.deferred: list[MessageKind] = []

    def on_message(self, kind: MessageKind, *, observed: bool = False) -> Action:
        """The action for a message of this kind; OutOfOrderError where it may not come now. A message that is
        `observed` gets no response: the proxy only shows it."""
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
        """The request may go on; the deferred messages, whose responses are due after that of the headers."""
        return self._end_decision(StreamState.DISPATCHED)

    def on_rejected(self) -> None:
        """The request is answered here. Deferred messages get no response: the proxy has the final one."""
        self._end_decision(StreamState.REJECTED)

    def _end_decision(self, state: StreamState) -> list[MessageKind]:
        if self.state != StreamState.AWAITING_DECISION:
            raise OutOfOrderError(f"nothing was to be decided: the stream is {self.state}")
        deferred = self.deferred
        self.deferred = []
        self.state = state
        return deferred
