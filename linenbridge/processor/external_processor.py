"""The external processor's front: streams of proxies become RPCs, decisions become answers on them.

Owns each conversation with a proxy, what waits for the turn's end, and the ledger's one timer. It carries the
picks of its RPCs by handing them out: it opens no connection to an instance. It must never choose, nor hand
out what the ledger does not admit, nor let a reservation leave before the store has its id.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from linenbridge import interface as face
from linenbridge.net.upstream import load_report
from linenbridge.net.decision_loop import Loop, Taken
from linenbridge.processor import codec, http2
from linenbridge.processor.responses import AnswerForm, seconds
from linenbridge.processor.stream_phases import MessageKind
from linenbridge.processor.stream_session import Conversation
from linenbridge.processor.evidence import Evidence
from linenbridge.processor.store import ReservationStore, request_digest
from linenbridge.processor.reservations import (
    Admission,
    AttemptReservation,
    ExpiryReason,
    ReservationLedger,
    RpcEntry,
)
from linenbridge.processor.response_classification import PENDING_TRAILERS, ResponseClassifier
from linenbridge.routes.table import Request, Routing

ATTEMPT_DIGITS = 4
LATE = 20_000  # microseconds before the deadline from which an abort is said to be one for time


class Front:
    """All conversations of one gateway; what the loop calls when the module has decided."""

    def __init__(
        self,
        loop: Loop,
        reactor: Any,
        table: Routing,
        ledger: ReservationLedger,
        evidence: Evidence,
        classifier: ResponseClassifier,
        form: AnswerForm,
        store: ReservationStore | None,
        passes_unrouted: bool,
        unix: Callable[[], float],
    ) -> None:
        self.loop, self.reactor, self.log = loop, reactor, loop.log
        self.table, self.ledger, self.evidence, self.classifier = table, ledger, evidence, classifier
        self.form, self.store, self.unix = form, store, unix
        self.passes_unrouted = passes_unrouted
        self.addresses: dict[face.Id, tuple[str, int]] = {}
        self.builds: dict[face.Id, int] = {}
        self.deciding: dict[str, Conversation] = {}  # by RPC: who waits for its first answer
        self.telling: dict[str, Conversation] = {}  # by RPC: who waits to hear what a failure means
        self.taken: dict[str, Taken] = {}
        self.giving: list[tuple[Conversation, RpcEntry, AttemptReservation]] = []
        self.forgetting: list[str] = []
        self.timer: Any = None
        self.timer_at = 0
        loop.settled.append(self.turned)

    def start(self) -> None:
        """What earlier lives handed out is known again before anyone can ask."""
        if self.store is None:
            self.log.event("store.none", what="after a restart a repeat is known by its attempt count alone")
            return
        if self.store.open():
            now, wall = self.loop.now(), self.unix()
            rows = ((one, now + round((until - wall) * 1e6)) for one, until in self.store.load())
            self.log.event("store.loaded", ids=self.ledger.load(rows))

    # ---- the list --------------------------------------------------------------------------------

    def listed(self, listed: Iterable[tuple[face.ListEntry, tuple[str, int]]], whole: bool) -> None:
        """Addresses as discovery has them; an instance that leaves the list is not handed out any more."""
        listed = list(listed)
        if whole:
            named = {entry.instance for entry, _ in listed}
            for instance in [instance for instance in self.addresses if instance not in named]:
                self._forget_instance(instance)
        for entry, address in listed:
            if entry.state == face.READY:
                self.addresses[entry.instance], self.builds[entry.instance] = address, entry.build
            else:
                self._forget_instance(entry.instance)

    def _forget_instance(self, instance: face.Id) -> None:
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
            headers.get(":authority", headers.get("host", "")),
            headers.get(":path", "/"),
            headers.get(":method", "GET"),
            headers.get(":scheme", "http"),
            headers,
            heard.attributes,
        )
        asked = self.table.find(request)
        if asked is None:
            self.log.count("unrouted", partner.name)
            if self.passes_unrouted:
                conversation.handed(codec.go_on(MessageKind.REQUEST_HEADERS))
                return
            conversation.refused(
                self.form.final(conversation.grpc, self.form.unrouted, {}, "no route takes this request")
            )
            return
        name = headers.get(self.form.request_id, "")
        method = self.table.methods[asked.method]
        admission, entry = self.ledger.admit(
            self.loop.now(), partner.name, request_digest(name) if name else "", int(count), method.effect
        )
        self.log.count("admitted", admission)
        if admission == Admission.ACCEPTED and entry is not None:
            self._take(conversation, entry, asked)
        elif admission == Admission.RETRY and entry is not None:
            self._again(conversation, entry)
        elif admission == Admission.CAPACITY_EXHAUSTED:
            wait, text = self.ledger.terms.retry_within, "too many requests are open"
            conversation.refused(self.form.pushed_back_by(conversation.grpc, wait, text))
        else:
            self.log.rarely("refused", admission, proxy=partner.name, request=name[:64], attempt=int(count))
            text = (
                "the request has no id" if admission == Admission.NO_ID else "an earlier attempt may have run"
            )
            conversation.refused(self.form.final(conversation.grpc, self.form.aborted, {}, text))

    def _take(self, conversation: Conversation, entry: RpcEntry, asked: Any) -> None:
        conversation.entry = entry
        taken = self.taken[entry.id] = Taken(
            entry.id, asked.method, self, entry, partial(self.answered, entry)
        )
        self.deciding[entry.id] = conversation
        self.loop.take(taken, asked.deadline, asked.cost, asked.tenant, asked.key or "")

    def _again(self, conversation: Conversation, entry: RpcEntry) -> None:
        """A further attempt. What is still out of the one before may have run; a pick already decided on goes
        out if it may still be used, else the module decides anew."""
        now = self.loop.now()
        conversation.entry = entry
        self.deciding[entry.id] = conversation
        if (reservation := entry.in_flight()) is not None:
            self._ended(entry, reservation, face.CANCELLED)
        elif (reservation := entry.reserved()) is not None:
            if now < reservation.use_by and reservation.instance in self.addresses:
                del self.deciding[entry.id]
                self.ledger.dispatch(entry, reservation)
                self.giving.append((conversation, entry, reservation))
                self.loop.gather(lambda _: None)  # So that a turn comes, and its end.
            else:
                self._ended(entry, reservation, face.UNSENT)

    def reported(self, conversation: Conversation, heard: codec.Heard) -> None:
        """The response's headers, or its trailers where these tell how it went."""
        entry, reservation, kind = conversation.entry, conversation.reservation, heard.kind
        if kind == MessageKind.RESPONSE_TRAILERS:
            if (
                not conversation.later
                or entry is None
                or reservation is None
                or reservation.outcome is not None
            ):
                conversation.call.send(codec.go_on(kind))
                return
            outcome: str | None = self.classifier.classify_trailers(heard.headers, heard.attributes)
        elif entry is None or reservation is None or reservation.outcome is not None:
            conversation.call.send(codec.go_on(kind))  # Its RPC went on, or ended, without it.
            return
        else:
            outcome = self.classifier.classify_headers(heard.headers, heard.attributes, heard.ended)
        if outcome is None or outcome == PENDING_TRAILERS:
            conversation.later = outcome == PENDING_TRAILERS
            conversation.call.send(codec.go_on(kind))
            return
        conversation.later = False
        self._report(conversation, entry, reservation, outcome, heard)

    def _report(
        self,
        conversation: Conversation,
        entry: RpcEntry,
        reservation: AttemptReservation,
        outcome: str,
        heard: codec.Heard,
    ) -> None:
        """One that failed may be tried again by its proxy: then the module says first what it means."""
        partner, kind, now = conversation.partner, heard.kind, self.loop.now()
        told = self.evidence.on_report(
            now, partner.name, reservation.build, self._method(entry), entry.effect, outcome
        )
        again = (
            outcome != face.OK and kind == MessageKind.RESPONSE_HEADERS and entry.attempt < partner.attempts
        )
        load = load_report(heard.headers.get(self.form.load, "").encode("latin-1", "replace") or None)
        self.log.count("reported", outcome)
        if self.log.detail is not None:
            self.log.detail(
                "reported",
                request=entry.request[:16],
                ticket=reservation.number,
                proxy=partner.name,
                outcome=outcome,
                told=told,
            )
        if again:
            self.telling[entry.id] = conversation
            self._ended(entry, reservation, told, load)
            self.ledger.await_retry(now, entry)
            return
        # The proxy passes the upstream's answer on: that is the RPC's final answer.
        self.loop.settle(self.taken[entry.id], outcome)
        self._ended(entry, reservation, told, load)
        self._over(now, entry, answered=told not in face.NEVER_RAN)
        conversation.entry = conversation.reservation = None
        conversation.call.send(codec.go_on(kind))

    def left(self, conversation: Conversation) -> None:
        """The one place where a conversation is given back. A reservation without a report stays in flight: a
        further attempt may come, or its time is over."""
        entry, conversation.entry = conversation.entry, None
        reservation, conversation.reservation = conversation.reservation, None
        if entry is None or entry.ended:
            return
        now = self.loop.now()
        if self.telling.get(entry.id) is conversation:
            del self.telling[entry.id]
            return
        if self.deciding.get(entry.id) is conversation:
            del self.deciding[entry.id]
            self._not_given(conversation, entry)
        elif reservation is not None and entry.in_flight() is reservation:
            if entry.attempt < conversation.partner.attempts:
                self.ledger.await_retry(now, entry)
                self._arm()
            else:
                self._unreported(entry, reservation, conversation.partner.name)

    def _not_given(self, conversation: Conversation, entry: RpcEntry) -> None:
        """The stream ended before its answer left. A proxy that fails open may have sent the request all the
        same: then it is known as one that may have run."""
        self._give_up(entry)
        if entry.effect != face.IDEMPOTENT and conversation.partner.fail_open:
            until = self.ledger.terms.remember_for
            self.ledger.remember(entry.request, self.loop.now() + until, maybe_executed=True)
            if self.store is not None and self.store.is_open:
                self.store.persist([(entry.request, self.unix() + until / 1e6)])

    def owes(self, conversation: Conversation) -> bool:
        entry = conversation.entry
        return entry is not None and self.telling.get(entry.id) is conversation

    # ---- what the loop calls ---------------------------------------------------------------------

    def pick(self, now: int, taken: Taken, number: int, instance: face.Id, time_out: int) -> None:
        """The module's pick: to the stream that waits for it, or kept for the attempt that is to come."""
        entry: RpcEntry = taken.load
        if instance not in self.addresses:
            self.loop.pick_ended(taken, number, now, face.UNSENT, {})
            return
        conversation = self.deciding.pop(entry.id, None)
        reservation = self.ledger.reserve(
            now,
            entry,
            number,
            instance,
            self.builds[instance],
            time_out,
            dispatch=conversation is not None,
        )
        if conversation is not None:
            self.giving.append((conversation, entry, reservation))
        if (told := self.telling.pop(entry.id, None)) is not None:
            self._tell(told, {self.form.outcome: "again", self.form.again: "1"})

    def cancel(self, taken: Taken, number: int) -> None:
        """A proxy cannot be called back: the pick goes on, and the module hears of its end as of any."""

    def withdraw(self, taken: Taken) -> None:
        """Nothing waits here to be sent: what is reserved and not yet handed out is ended with the answer."""

    def answered(self, entry: RpcEntry, outcome: str, retry_after: int, value: object) -> None:
        """The module's final answer, to whichever stream still waits for one."""
        now = self.loop.now()
        conversation = self.deciding.pop(entry.id, None)
        told = self.telling.pop(entry.id, None)
        pushed = outcome == "pushed_back"
        if conversation is not None:
            if pushed:
                text = "pushed back: trying again is harmless"
                answer = self.form.pushed_back_by(conversation.grpc, retry_after, text)
            else:
                late = bool(entry.reservations) and now >= entry.reservations[0].report_by - LATE
                status = self.form.timed_out if late else self.form.aborted
                answer = self.form.final(conversation.grpc, status, {self.form.outcome: outcome}, "aborted")
            conversation.refused(answer)
        if told is not None:
            headers = {self.form.outcome: outcome}
            if pushed and retry_after:
                headers["retry-after"] = seconds(retry_after)
            self._tell(told, headers)
        if (reservation := entry.in_flight()) is not None:
            # Its time is up at the proxy too; what comes now is late and tells nothing.
            self._ended(entry, reservation, face.CANCELLED)
        elif (reservation := entry.reserved()) is not None:
            self._ended(entry, reservation, face.UNSENT)
        self._over(now, entry, answered=not pushed)

    def turned(self) -> None:
        """The turn's end: ids go to the store in one go, then the tickets leave, then all is written."""
        giving, self.giving = self.giving, []
        kept = {
            entry.request: self.unix() + self.ledger.terms.remember_for / 1e6
            for conversation, entry, _ in giving
            if entry.effect != face.IDEMPOTENT and not conversation.call.ended
        }
        if kept and self.store is not None and self.store.is_open:
            self.store.persist(kept.items())
        for conversation, entry, reservation in giving:
            self._give(conversation, entry, reservation)
        if self.forgetting:
            ids, self.forgetting = self.forgetting, []
            if self.store is not None and self.store.is_open:
                self.store.delete([one for one in ids if not self.ledger.maybe_executed(one)])
        for distrusted in self.evidence.notices:
            self.log.event("proxy.distrusted", proxy=distrusted.proxy, reason=distrusted.reason)
        self.evidence.notices.clear()
        self._arm()

    def _give(self, conversation: Conversation, entry: RpcEntry, reservation: AttemptReservation) -> None:
        """The reservation leaves, unless its stream has ended in this very turn."""
        if conversation.call.ended or conversation.entry is not entry or reservation.outcome is not None:
            if reservation.outcome is None:
                reservation.dispatched = False
                self._not_given(conversation, entry)
            return
        now = self.loop.now()
        host, port = self.addresses.get(reservation.instance, ("", 0))
        conversation.reservation = reservation
        if self.log.detail is not None:
            self.log.detail(
                "handed",
                request=entry.request[:16],
                ticket=reservation.number,
                proxy=entry.proxy,
                attempt=entry.attempt,
                instance=reservation.instance,
                build=reservation.build,
            )
        named = f"{entry.request[:16]}.{reservation.number}"
        answer = self.form.hand_out(
            conversation.grpc, f"{host}:{port}", named, reservation.report_by - now, reservation.use_by - now
        )
        conversation.handed(answer)

    # ---- ends ------------------------------------------------------------------------------------

    def _method(self, entry: RpcEntry) -> str:
        return self.taken[entry.id].method

    def _ended(
        self,
        entry: RpcEntry,
        reservation: AttemptReservation,
        outcome: str,
        load: dict[str, float] | None = None,
    ) -> None:
        """The first word on a reservation counts, and the module hears it once."""
        if self.ledger.record_outcome(reservation, outcome):
            self.loop.pick_ended(
                self.taken[entry.id], reservation.number, reservation.decided_at, outcome, load or {}
            )
            if entry.ended:
                self.taken.pop(entry.id, None)

    def _give_up(self, entry: RpcEntry) -> None:
        """Nobody waits for it any more: nothing is owed, and what was not handed out never ran."""
        self.loop.gone(self.taken[entry.id])
        reservation = entry.reserved()
        if reservation is not None:
            self._ended(entry, reservation, face.UNSENT)
        self._over(self.loop.now(), entry, answered=False)

    def _unreported(self, entry: RpcEntry, reservation: AttemptReservation, proxy: str) -> None:
        """Nothing was said of a reservation: it may have run, and tells nothing of its instance."""
        self.log.count("unreported", proxy)
        self.evidence.on_missing_report(self.loop.now(), proxy)
        self.loop.gone(self.taken[entry.id])
        self._ended(entry, reservation, face.CANCELLED)
        self._over(self.loop.now(), entry, answered=False)

    def _over(self, now: int, entry: RpcEntry, answered: bool) -> None:
        """The one place where an RPC is given back here; whoever still waits on it is told."""
        if entry.ended:
            return
        self.ledger.finish(now, entry, answered=answered)
        if (conversation := self.deciding.pop(entry.id, None)) is not None:
            conversation.refused(self.form.final(conversation.grpc, self.form.aborted, {}, "aborted"))
        if (told := self.telling.pop(entry.id, None)) is not None:
            self._tell(told, {})
        if not self.taken[entry.id].out:
            del self.taken[entry.id]
        if (
            entry.effect != face.IDEMPOTENT
            and entry.reservations
            and not answered
            and not entry.maybe_executed()
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
        for reason, entry, reservation in list(self.ledger.take_expired(self.loop.now())):
            if entry.ended:
                continue
            if reason == ExpiryReason.UNREPORTED and reservation is not None:
                self._unreported(entry, reservation, entry.proxy)
            elif reason == ExpiryReason.NOT_RETRIED and (in_flight := entry.in_flight()) is not None:
                self._unreported(entry, in_flight, entry.proxy)
            elif entry.id not in self.deciding:
                self._give_up(entry)
        self._arm()

    # ---- wording ---------------------------------------------------------------------------------

    def _tell(self, conversation: Conversation, headers: dict[str, str]) -> None:
        """A failure goes on to the proxy with what it means."""
        conversation.entry = conversation.reservation = None
        conversation.call.send(codec.go_on(MessageKind.RESPONSE_HEADERS, headers))
        if conversation.call.half:
            conversation.half_closed()
