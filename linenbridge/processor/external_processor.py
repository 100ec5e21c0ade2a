"""The external processor's front: streams of proxies become RPCs, decisions become answers on them.

Owns each conversation with a proxy, what waits for the turn's end, and the ledger's one timer. It carries the
picks of its RPCs by handing them out: it opens no connection to an instance. It must never choose, nor hand
out what the ledger does not admit, nor let a ticket leave before the store has its id.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from linenbridge.interface import EndpointEntry, Id, Idempotency, InstanceState, NOT_EXECUTED, Outcome
from linenbridge.net.upstream import load_report
from linenbridge.net.decision_loop import REJECTED, ActiveRequest, DecisionLoop
from linenbridge.processor import codec, http2, reservations, stream_phases
from linenbridge.processor.responses import AnswerForm, seconds
from linenbridge.processor.stream_session import Conversation
from linenbridge.processor.evidence import Evidence
from linenbridge.processor.store import Store, digest
from linenbridge.processor.reservations import Entry, Ledger, Ticket
from linenbridge.processor.response_classification import LATER, Verdicts
from linenbridge.routes.table import Request, Routing

ATTEMPT_DIGITS = 4
LATE = 20_000  # microseconds before the deadline from which an abort is said to be one for time


class Front:
    """All conversations of one gateway; what the loop calls when the module has decided."""

    def __init__(
        self, loop: DecisionLoop, reactor: Any, table: Routing, ledger: Ledger, evidence: Evidence,
        verdicts: Verdicts, form: AnswerForm, store: Store | None, passes_unrouted: bool,
        unix: Callable[[], float],
    ) -> None:  # fmt: skip
        self.loop, self.reactor, self.log = loop, reactor, loop.log
        self.table, self.ledger, self.evidence, self.verdicts = table, ledger, evidence, verdicts
        self.form, self.store, self.unix = form, store, unix
        self.passes_unrouted = passes_unrouted
        self.addresses: dict[Id, tuple[str, int]] = {}
        self.builds: dict[Id, int] = {}
        self.deciding: dict[str, Conversation] = {}  # by RPC: who waits for its first answer
        self.telling: dict[str, Conversation] = {}  # by RPC: who waits to hear what a failure means
        self.taken: dict[str, ActiveRequest] = {}
        self.giving: list[tuple[Conversation, Entry, Ticket]] = []
        self.forgetting: list[str] = []
        self.timer: Any = None
        self.timer_at = 0
        loop.on_turn_end.append(self.turned)

    def start(self) -> None:
        """What earlier lives handed out is known again before anyone can ask."""
        if self.store is None:
            self.log.event("store.none", what="after a restart a repeat is known by its attempt count alone")
            return
        if self.store.open():
            now, wall = self.loop.now(), self.unix()
            rows = ((one, now + round((until - wall) * 1e6)) for one, until in self.store.recall())
            self.log.event("store.recalled", ids=self.ledger.recall(rows))

    # ---- the list --------------------------------------------------------------------------------

    def listed(self, listed: Iterable[tuple[EndpointEntry, tuple[str, int]]], whole: bool) -> None:
        """Addresses as discovery has them; an instance that leaves the list is not handed out any more."""
        listed = list(listed)
        if whole:
            named = {entry.instance for entry, _ in listed}
            for instance in [instance for instance in self.addresses if instance not in named]:
                self._forget_instance(instance)
        for entry, address in listed:
            if entry.state == InstanceState.READY:
                self.addresses[entry.instance], self.builds[entry.instance] = address, entry.build
            else:
                self._forget_instance(entry.instance)

    def _forget_instance(self, instance: Id) -> None:
        self.addresses.pop(instance, None)
        self.builds.pop(instance, None)

    # ---- what proxies say ------------------------------------------------------------------------

    def asked(self, conversation: Conversation, heard: codec.Heard) -> None:
        """Request headers: an RPC, a further attempt of one, or what must not go out."""
        partner, headers = conversation.partner, heard.headers
        conversation.grpc = headers.get("content-type", "").startswith("application/grpc")
        count = headers.get(self.form.attempt, "1")
        if not (count.isascii() and count.isdigit() and len(count) <= ATTEMPT_DIGITS):
            self.log.count("unfit", "attempt")
            conversation.fail(http2.INVALID_ARGUMENT, f"{self.form.attempt} is no number")
            return
        request = Request(
            headers.get(":authority", headers.get("host", "")), headers.get(":path", "/"),
            headers.get(":method", "GET"), headers.get(":scheme", "http"), headers, heard.attributes,
        )  # fmt: skip
        asked = self.table.find(request)
        if asked is None:
            self.log.count("unrouted", partner.name)
            if self.passes_unrouted:
                conversation.handed(codec.go_on(stream_phases.REQUEST_HEADERS))
                return
            conversation.refused(
                self.form.final(conversation.grpc, self.form.unrouted, {}, "no route takes this request")
            )
            return
        name = headers.get(self.form.request_id, "")
        method = self.table.methods[asked.method]
        what, entry = self.ledger.admit(
            self.loop.now(), partner.name, digest(name) if name else "", int(count), method.idempotency
        )
        self.log.count("admitted", what)
        if what == reservations.TAKE and entry is not None:
            self._take(conversation, entry, asked)
        elif what == reservations.AGAIN and entry is not None:
            self._again(conversation, entry)
        elif what == reservations.FULL_HOUSE:
            wait, text = self.ledger.terms.retry_within, "too many requests are open"
            conversation.refused(self.form.pushed_back_by(conversation.grpc, wait, text))
        else:
            self.log.rarely("refused", what, proxy=partner.name, request=name[:64], attempt=int(count))
            text = (
                "the request has no id" if what == reservations.NO_ID else "an earlier attempt may have run"
            )
            conversation.refused(self.form.final(conversation.grpc, self.form.aborted, {}, text))

    def _take(self, conversation: Conversation, entry: Entry, asked: Any) -> None:
        conversation.entry = entry
        taken = self.taken[entry.id] = ActiveRequest(
            entry.id, asked.method, self, entry, partial(self.answered, entry)
        )
        self.deciding[entry.id] = conversation
        self.loop.accept(taken, asked.deadline, asked.cost, asked.tenant, asked.key or "")

    def _again(self, conversation: Conversation, entry: Entry) -> None:
        """A further attempt. What is still out of the one before may have run; a pick already decided on goes
        out if it may still be used, else the module decides anew."""
        now = self.loop.now()
        conversation.entry = entry
        self.deciding[entry.id] = conversation
        if (ticket := entry.out()) is not None:
            self._ended(entry, ticket, Outcome.CANCELLED)
        elif (ticket := entry.reserved()) is not None:
            if now < ticket.use_by and ticket.instance in self.addresses:
                del self.deciding[entry.id]
                self.ledger.give(entry, ticket)
                self.giving.append((conversation, entry, ticket))
                self.loop.enqueue(lambda _: None)  # So that a turn comes, and its end.
            else:
                self._ended(entry, ticket, Outcome.NOT_SENT)

    def reported(self, conversation: Conversation, heard: codec.Heard) -> None:
        """The response's headers, or its trailers where these tell how it went."""
        entry, ticket, kind = conversation.entry, conversation.ticket, heard.kind or ""
        if kind == stream_phases.RESPONSE_TRAILERS:
            if not conversation.later or entry is None or ticket is None or ticket.outcome is not None:
                conversation.call.send(codec.go_on(kind))
                return
            outcome: str | None = self.verdicts.of_trailers(heard.headers, heard.attributes)
        elif entry is None or ticket is None or ticket.outcome is not None:
            conversation.call.send(codec.go_on(kind))  # Its RPC went on, or ended, without it.
            return
        else:
            outcome = self.verdicts.of_headers(heard.headers, heard.attributes, heard.ended)
        if outcome is None or outcome == LATER:
            conversation.later = outcome == LATER
            conversation.call.send(codec.go_on(kind))
            return
        conversation.later = False
        self._report(conversation, entry, ticket, outcome, heard)

    def _report(
        self, conversation: Conversation, entry: Entry, ticket: Ticket, outcome: str, heard: codec.Heard
    ) -> None:
        """One that failed may be tried again by its proxy: then the module says first what it means."""
        partner, kind, now = conversation.partner, heard.kind or "", self.loop.now()
        told = self.evidence.heard(
            now, partner.name, ticket.build, self._method(entry), entry.effect, outcome
        )
        again = (
            outcome != Outcome.OK
            and kind == stream_phases.RESPONSE_HEADERS
            and entry.attempt < partner.attempts
        )
        load = load_report(heard.headers.get(self.form.load, "").encode("latin-1", "replace") or None)
        self.log.count("reported", outcome)
        if self.log.detail is not None:
            self.log.detail("reported", request=entry.request[:16], ticket=ticket.number, proxy=partner.name,
                            outcome=outcome, told=told)  # fmt: skip
        if again:
            self.telling[entry.id] = conversation
            self._ended(entry, ticket, told, load)
            self.ledger.waits(now, entry)
            return
        # The proxy passes the upstream's answer on: that is the RPC's final answer.
        self.loop.mark_answered(self.taken[entry.id], outcome)
        self._ended(entry, ticket, told, load)
        self._over(now, entry, answered=told not in NOT_EXECUTED)
        conversation.entry = conversation.ticket = None
        conversation.call.send(codec.go_on(kind))

    def left(self, conversation: Conversation) -> None:
        """The one place where a conversation is given back. A ticket of which nothing was said stays out: a
        further attempt may come, or its time is over."""
        entry, conversation.entry = conversation.entry, None
        ticket, conversation.ticket = conversation.ticket, None
        if entry is None or entry.ended:
            return
        now = self.loop.now()
        if self.telling.get(entry.id) is conversation:
            del self.telling[entry.id]
            return
        if self.deciding.get(entry.id) is conversation:
            del self.deciding[entry.id]
            self._not_given(conversation, entry)
        elif ticket is not None and entry.out() is ticket:
            if entry.attempt < conversation.partner.attempts:
                self.ledger.waits(now, entry)
                self._arm()
            else:
                self._unreported(entry, ticket, conversation.partner.name)

    def _not_given(self, conversation: Conversation, entry: Entry) -> None:
        """The stream ended before its answer left. A proxy that fails open may have sent the request all the
        same: then it is known as one that may have run."""
        self._give_up(entry)
        if entry.effect != Idempotency.IDEMPOTENT and conversation.partner.fail_open:
            until = self.ledger.terms.remember
            self.ledger.remember(entry.request, self.loop.now() + until, True)
            if self.store is not None and self.store.serves:
                self.store.keep([(entry.request, self.unix() + until / 1e6)])

    def owes(self, conversation: Conversation) -> bool:
        entry = conversation.entry
        return entry is not None and self.telling.get(entry.id) is conversation

    # ---- what the loop calls ---------------------------------------------------------------------

    def send(self, now: int, taken: ActiveRequest, number: int, instance: Id, time_out: int) -> None:
        """The module's pick: to the stream that waits for it, or kept for the attempt that is to come."""
        entry: Entry = taken.payload
        if instance not in self.addresses:
            self.loop.attempt_finished(taken, number, now, Outcome.NOT_SENT, {})
            return
        conversation = self.deciding.pop(entry.id, None)
        ticket = self.ledger.decided(
            now, entry, number, instance, self.builds[instance], time_out, conversation is not None
        )
        if conversation is not None:
            self.giving.append((conversation, entry, ticket))
        if (told := self.telling.pop(entry.id, None)) is not None:
            self._tell(told, {self.form.outcome: "again", self.form.again: "1"})

    def cancel(self, taken: ActiveRequest, number: int) -> None:
        """A proxy cannot be called back: the pick goes on, and the module hears of its end as of any."""

    def withdraw_unsent(self, taken: ActiveRequest) -> None:
        """Nothing waits here to be sent: what is reserved and not yet handed out is ended with the answer."""

    def answered(self, entry: Entry, outcome: str, retry_after: int, value: object) -> None:
        """The module's final answer, to whichever stream still waits for one."""
        now = self.loop.now()
        conversation = self.deciding.pop(entry.id, None)
        told = self.telling.pop(entry.id, None)
        pushed = outcome == REJECTED
        if conversation is not None:
            if pushed:
                text = "pushed back: trying again is harmless"
                answer = self.form.pushed_back_by(conversation.grpc, retry_after, text)
            else:
                late = bool(entry.tickets) and now >= entry.tickets[0].report_by - LATE
                status = self.form.timed_out if late else self.form.aborted
                answer = self.form.final(
                    conversation.grpc,
                    status,
                    {self.form.outcome: self.form.outcome_value(outcome)},
                    "aborted",
                )
            conversation.refused(answer)
        if told is not None:
            headers = {self.form.outcome: self.form.outcome_value(outcome)}
            if pushed and retry_after:
                headers["retry-after"] = seconds(retry_after)
            self._tell(told, headers)
        if (ticket := entry.out()) is not None:
            # Its time is up at the proxy too; what comes now is late and tells nothing.
            self._ended(entry, ticket, Outcome.CANCELLED)
        elif (ticket := entry.reserved()) is not None:
            self._ended(entry, ticket, Outcome.NOT_SENT)
        self._over(now, entry, answered=not pushed)

    def turned(self) -> None:
        """The turn's end: ids go to the store in one go, then the tickets leave, then all is written."""
        giving, self.giving = self.giving, []
        kept = {
            entry.request: self.unix() + self.ledger.terms.remember / 1e6
            for conversation, entry, _ in giving
            if entry.effect != Idempotency.IDEMPOTENT and not conversation.call.ended
        }
        if kept and self.store is not None and self.store.serves:
            self.store.keep(kept.items())
        for conversation, entry, ticket in giving:
            self._give(conversation, entry, ticket)
        if self.forgetting:
            ids, self.forgetting = self.forgetting, []
            if self.store is not None and self.store.serves:
                self.store.forget([one for one in ids if not self.ledger.ran(one)])
        for note in self.evidence.notes:
            self.log.event("mode", text=note)
        self.evidence.notes.clear()
        self._arm()

    def _give(self, conversation: Conversation, entry: Entry, ticket: Ticket) -> None:
        """The ticket leaves, unless its stream has ended in this very turn."""
        if conversation.call.ended or conversation.entry is not entry or ticket.outcome is not None:
            if ticket.outcome is None:
                ticket.given = False
                self._not_given(conversation, entry)
            return
        now = self.loop.now()
        host, port = self.addresses.get(ticket.instance, ("", 0))
        conversation.ticket = ticket
        if self.log.detail is not None:
            self.log.detail("handed", request=entry.request[:16], ticket=ticket.number, proxy=entry.proxy,
                            attempt=entry.attempt, instance=ticket.instance, build=ticket.build)  # fmt: skip
        named = f"{entry.request[:16]}.{ticket.number}"
        answer = self.form.hand_out(
            conversation.grpc, f"{host}:{port}", named, ticket.report_by - now, ticket.use_by - now
        )
        conversation.handed(answer)

    # ---- ends ------------------------------------------------------------------------------------

    def _method(self, entry: Entry) -> str:
        return self.taken[entry.id].method

    def _ended(
        self, entry: Entry, ticket: Ticket, outcome: str, load: dict[str, float] | None = None
    ) -> None:
        """The first word on a ticket counts, and the module hears it once."""
        if self.ledger.ended(ticket, outcome):
            self.loop.attempt_finished(
                self.taken[entry.id], ticket.number, ticket.decided, outcome, load or {}
            )
            if entry.ended:
                self.taken.pop(entry.id, None)

    def _give_up(self, entry: Entry) -> None:
        """Nobody waits for it any more: nothing is owed, and what was not handed out never ran."""
        self.loop.client_disconnected(self.taken[entry.id])
        ticket = entry.reserved()
        if ticket is not None:
            self._ended(entry, ticket, Outcome.NOT_SENT)
        self._over(self.loop.now(), entry, answered=False)

    def _unreported(self, entry: Entry, ticket: Ticket, proxy: str) -> None:
        """Nothing was said of a ticket: it may have run, and tells nothing of its instance."""
        self.log.count("unreported", proxy)
        self.evidence.missed(self.loop.now(), proxy)
        self.loop.client_disconnected(self.taken[entry.id])
        self._ended(entry, ticket, Outcome.CANCELLED)
        self._over(self.loop.now(), entry, answered=False)

    def _over(self, now: int, entry: Entry, answered: bool) -> None:
        """The one place where an RPC is given back here; whoever still waits on it is told."""
        if entry.ended:
            return
        self.ledger.over(now, entry, answered)
        if (conversation := self.deciding.pop(entry.id, None)) is not None:
            conversation.refused(self.form.final(conversation.grpc, self.form.aborted, {}, "aborted"))
        if (told := self.telling.pop(entry.id, None)) is not None:
            self._tell(told, {})
        if not self.taken[entry.id].in_flight:
            del self.taken[entry.id]
        if (
            entry.effect != Idempotency.IDEMPOTENT
            and entry.tickets
            and not answered
            and not entry.may_have_run()
        ):
            self.forgetting.append(entry.request)

    # ---- time ------------------------------------------------------------------------------------

    def _arm(self) -> None:
        due = self.ledger.wake_at()
        if due is None or (self.timer is not None and self.timer_at <= due):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.reactor.callLater(max(0, due - self.loop.now()) / 1e6, self._woken)

    def _woken(self) -> None:
        self.timer = None
        for why, entry, ticket in list(self.ledger.overdue(self.loop.now())):
            if entry.ended:
                continue
            if why == reservations.UNREPORTED and ticket is not None:
                self._unreported(entry, ticket, entry.proxy)
            elif why == reservations.LEFT and (out := entry.out()) is not None:
                self._unreported(entry, out, entry.proxy)
            elif entry.id not in self.deciding:
                self._give_up(entry)
        self._arm()

    # ---- wording ---------------------------------------------------------------------------------

    def _tell(self, conversation: Conversation, headers: dict[str, str]) -> None:
        """A failure goes on to the proxy with what it means."""
        conversation.entry = conversation.ticket = None
        conversation.call.send(codec.go_on(stream_phases.RESPONSE_HEADERS, headers))
        if conversation.call.half:
            conversation.half_closed()
