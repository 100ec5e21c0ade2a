"""The life of one stream: which message may follow which. Decides without I/O, as one table.

A proxy opens a stream for each request and speaks in phases; each message is owed one answer, in its order.
What the table does not foresee ends that stream with a plain word and touches nothing else. It must never
read what a message holds beyond its kind.
"""

from __future__ import annotations

REQUEST_HEADERS, REQUEST_BODY, REQUEST_TRAILERS = "request_headers", "request_body", "request_trailers"
RESPONSE_HEADERS, RESPONSE_BODY, RESPONSE_TRAILERS = "response_headers", "response_body", "response_trailers"
KINDS = (
    REQUEST_HEADERS, REQUEST_BODY, REQUEST_TRAILERS, RESPONSE_HEADERS, RESPONSE_BODY, RESPONSE_TRAILERS,
)  # fmt: skip

# Where a stream state.
OPENED, AWAITING_DECISION, DISPATCHED, REPORTED, REJECTED, OBSERVED = (
    "opened",
    "asked",
    "handed",
    "reported",
    "refused",
    "watched",
)
STATES = (OPENED, AWAITING_DECISION, DISPATCHED, REPORTED, REJECTED, OBSERVED)

# What is to be done with a message.
DECIDE, REPORT, CONTINUE, DEFER, IGNORE = "decide", "report", "pass", "wait", "ignore"

# A row a standing: what each kind brings, and where the stream state then. A body or trailers while a
# decision is awaited wait behind it: a proxy that streams both ways need not wait for the answer.
TRANSITIONS: dict[str, dict[str, tuple[str, str]]] = {
    OPENED: {REQUEST_HEADERS: (DECIDE, AWAITING_DECISION)},
    AWAITING_DECISION: {REQUEST_BODY: (DEFER, AWAITING_DECISION), REQUEST_TRAILERS: (DEFER, AWAITING_DECISION)},
    DISPATCHED: {
        REQUEST_BODY: (CONTINUE, DISPATCHED), REQUEST_TRAILERS: (CONTINUE, DISPATCHED), RESPONSE_HEADERS: (REPORT, REPORTED),
    },
    REPORTED: {
        REQUEST_BODY: (CONTINUE, REPORTED), REQUEST_TRAILERS: (CONTINUE, REPORTED), RESPONSE_BODY: (CONTINUE, REPORTED),
        RESPONSE_TRAILERS: (REPORT, REPORTED),
    },
    REJECTED: {REQUEST_BODY: (IGNORE, REJECTED), REQUEST_TRAILERS: (IGNORE, REJECTED)},
    OBSERVED: {kind: (IGNORE, OBSERVED) for kind in KINDS},
}  # fmt: skip
ONCE = frozenset((REQUEST_HEADERS, REQUEST_TRAILERS, RESPONSE_HEADERS, RESPONSE_TRAILERS))
MAX_DEFERRED = 8  # messages that wait for one decision


class OutOfOrderError(ValueError):
    """A message that may not come now; the text goes to the proxy."""


class StreamPhases:
    """One stream's standing. `on_message` takes each message, `on_dispatched` and `on_rejected` the decision."""

    __slots__ = ("seen", "state", "deferred")

    def __init__(self) -> None:
        self.state = OPENED
        self.seen: set[str] = set()
        self.deferred: list[str] = []

    def on_message(self, kind: str | None, observed: bool = False) -> str:
        """What to do with a message of this kind; `observed` where the proxy takes no answers on it."""
        if kind is None:
            raise OutOfOrderError("the message holds no phase that is known here")
        if observed != (self.state == OBSERVED) and self.state != OPENED:
            raise OutOfOrderError("a stream is watched from its first message on, or never")
        if observed:
            self.state = OBSERVED
        if kind in self.seen and kind in ONCE:
            raise OutOfOrderError(f"{kind} came twice")
        if (row := TRANSITIONS[self.state].get(kind)) is None:
            raise OutOfOrderError(f"{kind} cannot come now: the stream is {self.state}")
        self.seen.add(kind)
        what, self.state = row
        if what == DEFER:
            if len(self.deferred) >= MAX_DEFERRED:
                raise OutOfOrderError("too much came before the decision")
            self.deferred.append(kind)
        return what

    def on_dispatched(self) -> list[str]:
        """The request may go on; returns what has waited for that, to be answered after it."""
        return self._end_decision(DISPATCHED)

    def on_rejected(self) -> None:
        """The request was answered here. What waited gets no answer: the proxy has its final one."""
        self._end_decision(REJECTED)

    def _end_decision(self, state: str) -> list[str]:
        if self.state != AWAITING_DECISION:
            raise OutOfOrderError(f"nothing was to be decided: the stream is {self.state}")
        waited, self.state, self.deferred = self.deferred, state, []
        return waited
