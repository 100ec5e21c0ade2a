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

# Where a stream stands.
OPENED, ASKED, HANDED, REPORTED, REFUSED, WATCHED = (
    "opened",
    "asked",
    "handed",
    "reported",
    "refused",
    "watched",
)
STANDS = (OPENED, ASKED, HANDED, REPORTED, REFUSED, WATCHED)

# What is to be done with a message.
DECIDE, REPORT, PASS, WAIT, IGNORE = "decide", "report", "pass", "wait", "ignore"

# A row a standing: what each kind brings, and where the stream stands then. A body or trailers while a
# decision is awaited wait behind it: a proxy that streams both ways need not wait for the answer.
TABLE: dict[str, dict[str, tuple[str, str]]] = {
    OPENED: {REQUEST_HEADERS: (DECIDE, ASKED)},
    ASKED: {REQUEST_BODY: (WAIT, ASKED), REQUEST_TRAILERS: (WAIT, ASKED)},
    HANDED: {
        REQUEST_BODY: (PASS, HANDED), REQUEST_TRAILERS: (PASS, HANDED), RESPONSE_HEADERS: (REPORT, REPORTED),
    },
    REPORTED: {
        REQUEST_BODY: (PASS, REPORTED), REQUEST_TRAILERS: (PASS, REPORTED), RESPONSE_BODY: (PASS, REPORTED),
        RESPONSE_TRAILERS: (REPORT, REPORTED),
    },
    REFUSED: {REQUEST_BODY: (IGNORE, REFUSED), REQUEST_TRAILERS: (IGNORE, REFUSED)},
    WATCHED: {kind: (IGNORE, WATCHED) for kind in KINDS},
}  # fmt: skip
ONCE = frozenset((REQUEST_HEADERS, REQUEST_TRAILERS, RESPONSE_HEADERS, RESPONSE_TRAILERS))
WAIT_MOST = 8  # messages that wait for one decision


class OutOfOrderError(ValueError):
    """A message that may not come now; the text goes to the proxy."""


class Phases:
    """One stream's standing. `step` takes each message, `handed` and `refused` what was decided."""

    __slots__ = ("seen", "stands", "waiting")

    def __init__(self) -> None:
        self.stands = OPENED
        self.seen: set[str] = set()
        self.waiting: list[str] = []

    def step(self, kind: str | None, watched: bool = False) -> str:
        """What to do with a message of this kind; `watched` where the proxy takes no answers on it."""
        if kind is None:
            raise OutOfOrderError("the message holds no phase that is known here")
        if watched != (self.stands == WATCHED) and self.stands != OPENED:
            raise OutOfOrderError("a stream is watched from its first message on, or never")
        if watched:
            self.stands = WATCHED
        if kind in self.seen and kind in ONCE:
            raise OutOfOrderError(f"{kind} came twice")
        if (row := TABLE[self.stands].get(kind)) is None:
            raise OutOfOrderError(f"{kind} cannot come now: the stream is {self.stands}")
        self.seen.add(kind)
        what, self.stands = row
        if what == WAIT:
            if len(self.waiting) >= WAIT_MOST:
                raise OutOfOrderError("too much came before the decision")
            self.waiting.append(kind)
        return what

    def handed(self) -> list[str]:
        """The request may go on; returns what has waited for that, to be answered after it."""
        return self._decided(HANDED)

    def refused(self) -> None:
        """The request was answered here. What waited gets no answer: the proxy has its final one."""
        self._decided(REFUSED)

    def _decided(self, stands: str) -> list[str]:
        if self.stands != ASKED:
            raise OutOfOrderError(f"nothing was to be decided: the stream is {self.stands}")
        waited, self.stands, self.waiting = self.waiting, stands, []
        return waited
