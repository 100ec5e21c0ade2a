"""One stream of a proxy: the receiver of its messages, and the RPC that it is about while it is.

Owns the stream's phases and what is said on it. It must never decide: what it hears goes to the front.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linenbridge.processor import http2, phases, wording
from linenbridge.processor.tickets import Entry, Ticket

if TYPE_CHECKING:
    from linenbridge.processor.front import Front


@dataclass(frozen=True, slots=True)
class Partner:
    """One proxy, or a group that counts as one. `ours`: its reports may be evidence. `attempts`: how often it
    sends one request. `fail_open`: it sends a request on when it hears nothing from here."""

    name: str
    ours: bool = False
    attempts: int = 1
    fail_open: bool = True


class Conversation:
    """One stream: the receiver of its messages, and the RPC that it is about while it is."""

    __slots__ = ("call", "entry", "front", "grpc", "later", "partner", "phases", "ticket")

    def __init__(self, front: Front, partner: Partner, call: http2.Call) -> None:
        self.front, self.partner, self.call = front, partner, call
        self.phases = phases.Phases()
        self.entry: Entry | None = None
        self.ticket: Ticket | None = None
        self.grpc = self.later = False

    def message(self, data: memoryview) -> None:
        front = self.front
        try:
            heard = wording.read(data)
            what = self.phases.step(heard.kind, heard.watched)
        except wording.MalformedError as error:
            front.log.rarely("malformed", "message", error=str(error), proxy=self.partner.name)
            self.fail(http2.INVALID_ARGUMENT, str(error))
            return
        except phases.OutOfOrderError as error:
            front.log.rarely("malformed", "order", error=str(error), proxy=self.partner.name)
            self.fail(http2.FAILED_PRECONDITION, str(error))
            return
        if what == phases.DECIDE:
            front.asked(self, heard)
        elif what == phases.REPORT:
            front.reported(self, heard)
        elif what == phases.PASS:
            self.call.send(wording.go_on(heard.kind or ""))

    def fail(self, status: int, text: str) -> None:
        """The stream ends here; what it was about is settled as if the proxy had left."""
        self.front.left(self)
        self.call.finish(status, text)

    def half_closed(self) -> None:
        """The proxy says no more: an answer still owed is given, else the stream ends well."""
        if self.phases.stands != phases.ASKED and not self.front.owes(self):
            self.front.left(self)
            self.call.finish(http2.OK)

    def gone(self) -> None:
        self.front.left(self)

    def handed(self, answer: bytes) -> None:
        """The request goes on, and so does what has waited behind it."""
        waited = self.phases.handed()
        self.call.send(answer)
        for kind in waited:
            self.call.send(wording.go_on(kind))
        if self.call.half:
            self.half_closed()

    def refused(self, answer: bytes) -> None:
        """The final answer from here; the stream has served."""
        self.phases.refused()
        self.entry = None
        self.call.send(answer)
        self.call.finish(http2.OK)
