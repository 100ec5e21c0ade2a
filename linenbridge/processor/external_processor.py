"""The external processor's front: streams of proxies become RPCs, decisions become answers on them.

Owns each session with a proxy, what waits for the turn's end, and the ledger's one timer. It carries the
picks of its RPCs by handing them out: it opens no connection to an instance. It must never choose, nor hand
out what the ledger does not admit, nor let a reservation leave before the store has its id.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from linenbridge.interface import NOT_EXECUTED, EndpointEntry, Id, Idempotency, InstanceState, Outcome
from linenbridge.net.decision_loop import REJECTED, ActiveRequest, DecisionLoop
from linenbridge.net.upstream import load_report
from linenbridge.processor import codec, http2
from linenbridge.processor.evidence import Evidence
from linenbridge.processor.reservations import (
    Admission,
    AttemptReservation,
    ExpiryReason,
    ReservationLedger,
    RpcEntry,
)
from linenbridge.processor.response_classification import PENDING_TRAILERS, ResponseClassifier
from linenbridge.processor.responses import ResponseFormat, retry_after_seconds
from linenbridge.processor.store import ReservationStore, request_digest
from linenbridge.processor.stream_phases import MessageKind
from linenbridge.processor.stream_session import StreamSession
from linenbridge.routes.table import Request, Routing

MAX_ATTEMPT_DIGITS = 4
LATE_MARGIN = 20_000  # microseconds before the deadline from which an abort is said to be one for time


class ExternalProcessor:
    """All sessions of one gateway; what the loop calls when the module has decided."""

    def __init__(
        self,
        loop: DecisionLoop,
        reactor: Any,
        table: Routing,
        ledger: ReservationLedger,
        evidence: Evidence,
        classifier: ResponseClassifier,
        response_format: ResponseFormat,
        store: ReservationStore | None,
        pass_unrouted: bool,
        unix: Callable[[], float],
    ) -> None:
        self.loop, self.reactor, self.log = loop, reactor, loop.log
        self.table, self.ledger, self.evidence, self.classifier = table, ledger, evidence, classifier
        self.format, self.store, self.unix = response_format, store, unix
        self.pass_unrouted = pass_unrouted
        self.addresses: dict[Id, tuple[str, int]] = {}
        self.builds: dict[Id, int] = {}
        self.awaiting_decision: dict[str, StreamSession] = {}  # by RPC: who waits for its first answer
        self.awaiting_retry: dict[str, StreamSession] = {}  # by RPC: who waits to hear what a failure means
        self.taken: dict[str, ActiveRequest] = {}
        self.dispatching: list[tuple[StreamSession, RpcEntry, AttemptReservation]] = []
        self.forgettable: list[str] = []
        self.timer: Any = None
        self.timer_at = 0
        loop.on_turn_end.append(self.on_turn_end)

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

    def listed(self, endpoints: Iterable[tuple[EndpointEntry, tuple[str, int]]], is_snapshot: bool) -> None:
        """Addresses as discovery has them; an instance that leaves the list is not handed out any more."""
        endpoints = list(endpoints)
        if is_snapshot:
            named = {entry.instance for entry, _ in endpoints}
            for instance in [instance for instance in self.addresses if instance not in named]:
                self._forget_instance(instance)
        for entry, address in endpoints:
            if entry.state == InstanceState.READY:
                self.addresses[entry.instance], self.builds[entry.instance] = address, entry.build
            else:
                self._forget_instance(entry.instance)

    def _forget_instance(self, instance: Id) -> None:
        self.addresses.pop(instance, None)
        self.builds.pop(instance, None)

    # ---- what proxies say ------------------------------------------------------------------------

    def on_request_headers(self, session: StreamSession, message: codec.ProxyMessage) -> None:
        """Request headers: an RPC, a further attempt of one, or what must not go out."""
        peer, headers = session.peer, message.headers
        session.grpc = headers.get("content-type", "").startswith("application/grpc")
        count = headers.get(self.format.attempt, "1")
        if not (count.isascii() and count.isdigit() and len(count) <= MAX_ATTEMPT_DIGITS):
            self.log.count("unfit", "attempt")
            session.fail(http2.INVALID_ARGUMENT, f"{self.format.attempt} is no number")
            return
        request = Request(
            headers.get(":authority", headers.get("host", "")),
            headers.get(":path", "/"),
            headers.get(":method", "GET"),
            headers.get(":scheme", "http"),
            headers,
            message.attributes,
        )
        asked = self.table.find(request)
        if asked is None:
            self.log.count("unrouted", peer.name)
            if self.pass_unrouted:
                session.dispatch(codec.continue_response(MessageKind.REQUEST_HEADERS))
                return
            session.reject(
                self.format.final_response(
                    session.grpc, self.format.unrouted, {}, "no route takes this request"
                )
            )
            return
        name = headers.get(self.format.request_id, "")
        method = self.table.methods[asked.method]
        admission, entry = self.ledger.admit(
            self.loop.now(), peer.name, request_digest(name) if name else "", int(count), method.idempotency
        )
        self.log.count("admitted", admission)
        if admission == Admission.ACCEPTED and entry is not None:
            self._accept(session, entry, asked)
        elif admission == Admission.RETRY and entry is not None:
            self._retry(session, entry)
        elif admission == Admission.CAPACITY_EXHAUSTED:
            wait, text = self.ledger.terms.retry_within, "too many requests are open"
            session.reject(self.format.rejection(session.grpc, wait, text))
        else:
            self.log.rarely("refused", admission, proxy=peer.name, request=name[:64], attempt=int(count))
            text = (
                "the request has no id" if admission == Admission.NO_ID else "an earlier attempt may have run"
            )
            session.reject(self.format.final_response(session.grpc, self.format.aborted, {}, text))

    def _accept(self, session: StreamSession, entry: RpcEntry, asked: Any) -> None:
        session.entry = entry
        taken = self.taken[entry.id] = ActiveRequest(
            entry.id, asked.method, self, entry, partial(self.answered, entry)
        )
        self.awaiting_decision[entry.id] = session
        self.loop.accept(taken, asked.deadline, asked.cost, asked.tenant, asked.key or "")

    def _retry(self, session: StreamSession, entry: RpcEntry) -> None:
        """A further attempt. What is still out of the one before may have run; a pick already decided on goes
        out if it may still be used, else the module decides anew."""
        now = self.loop.now()
        session.entry = entry
        self.awaiting_decision[entry.id] = session
        if (reservation := entry.in_flight()) is not None:
            self._on_attempt_ended(entry, reservation, Outcome.CANCELLED)
        elif (reservation := entry.reserved()) is not None:
            if now < reservation.use_by and reservation.instance in self.addresses:
                del self.awaiting_decision[entry.id]
                self.ledger.dispatch(entry, reservation)
                self.dispatching.append((session, entry, reservation))
                self.loop.enqueue(lambda _: None)  # So that a turn comes, and its end.
            else:
                self._on_attempt_ended(entry, reservation, Outcome.NOT_SENT)

    def on_response(self, session: StreamSession, message: codec.ProxyMessage) -> None:
        """The response's headers, or its trailers where these tell how it went."""
        entry, reservation, kind = session.entry, session.reservation, message.kind
        if kind == MessageKind.RESPONSE_TRAILERS:
            if (
                not session.awaits_trailers
                or entry is None
                or reservation is None
                or reservation.outcome is not None
            ):
                session.call.send(codec.continue_response(kind))
                return
            outcome: str | None = self.classifier.classify_trailers(message.headers, message.attributes)
        elif entry is None or reservation is None or reservation.outcome is not None:
            session.call.send(codec.continue_response(kind))  # Its RPC went on, or ended, without it.
            return
        else:
            outcome = self.classifier.classify_headers(message.headers, message.attributes, message.ended)
        if outcome is None or outcome == PENDING_TRAILERS:
            session.awaits_trailers = outcome == PENDING_TRAILERS
            session.call.send(codec.continue_response(kind))
            return
        session.awaits_trailers = False
        self._report(session, entry, reservation, outcome, message)

    def _report(
        self,
        session: StreamSession,
        entry: RpcEntry,
        reservation: AttemptReservation,
        outcome: str,
        message: codec.ProxyMessage,
    ) -> None:
        """One that failed may be tried again by its proxy: then the module says first what it means."""
        peer, kind, now = session.peer, message.kind, self.loop.now()
        module_outcome = self.evidence.on_report(
            now, peer.name, reservation.build, self._method(entry), entry.effect, outcome
        )
        again = (
            outcome != Outcome.OK and kind == MessageKind.RESPONSE_HEADERS and entry.attempt < peer.attempts
        )
        load = load_report(message.headers.get(self.format.load, "").encode("latin-1", "replace") or None)
        self.log.count("reported", outcome)
        if self.log.detail is not None:
            self.log.detail(
                "reported",
                request=entry.request[:16],
                reservation=reservation.number,
                proxy=peer.name,
                outcome=outcome,
                module_outcome=module_outcome,
            )
        if again:
            self.awaiting_retry[entry.id] = session
            self._on_attempt_ended(entry, reservation, module_outcome, load)
            self.ledger.await_retry(now, entry)
            return
        # The proxy passes the upstream's answer on: that is the RPC's final answer.
        self.loop.mark_answered(self.taken[entry.id], outcome)
        self._on_attempt_ended(entry, reservation, module_outcome, load)
        self._finish(now, entry, answered=module_outcome not in NOT_EXECUTED)
        session.entry = session.reservation = None
        session.call.send(codec.continue_response(kind))

    def on_stream_ended(self, session: StreamSession) -> None:
        """The one place where a session is given back. A reservation without a report stays in flight: a
        further attempt may come, or its time is over."""
        entry, session.entry = session.entry, None
        reservation, session.reservation = session.reservation, None
        if entry is None or entry.ended:
            return
        now = self.loop.now()
        if self.awaiting_retry.get(entry.id) is session:
            del self.awaiting_retry[entry.id]
            return
        if self.awaiting_decision.get(entry.id) is session:
            del self.awaiting_decision[entry.id]
            self._on_not_dispatched(session, entry)
        elif reservation is not None and entry.in_flight() is reservation:
            if entry.attempt < session.peer.attempts:
                self.ledger.await_retry(now, entry)
                self._set_timer()
            else:
                self._on_unreported(entry, reservation, session.peer.name)

    def _on_not_dispatched(self, session: StreamSession, entry: RpcEntry) -> None:
        """The stream ended before its answer left. A proxy that fails open may have sent the request all the
        same: then it is known as one that may have run."""
        self._abandon(entry)
        if entry.effect != Idempotency.IDEMPOTENT and session.peer.fail_open:
            until = self.ledger.terms.remember_for
            self.ledger.remember(entry.request, self.loop.now() + until, maybe_executed=True)
            if self.store is not None and self.store.is_open:
                self.store.persist([(entry.request, self.unix() + until / 1e6)])

    def owes_response(self, session: StreamSession) -> bool:
        entry = session.entry
        return entry is not None and self.awaiting_retry.get(entry.id) is session

    # ---- what the loop calls ---------------------------------------------------------------------

    def send(self, now: int, taken: ActiveRequest, number: int, instance: Id, time_out: int) -> None:
        """The module's pick: to the stream that waits for it, or kept for the attempt that is to come."""
        entry: RpcEntry = taken.payload
        if instance not in self.addresses:
            self.loop.attempt_finished(taken, number, now, Outcome.NOT_SENT, {})
            return
        session = self.awaiting_decision.pop(entry.id, None)
        reservation = self.ledger.reserve(
            now,
            entry,
            number,
            instance,
            self.builds[instance],
            time_out,
            dispatch=session is not None,
        )
        if session is not None:
            self.dispatching.append((session, entry, reservation))
        if (reporting := self.awaiting_retry.pop(entry.id, None)) is not None:
            self._answer_report(reporting, {self.format.outcome: "again", self.format.again: "1"})

    def cancel(self, taken: ActiveRequest, number: int) -> None:
        """A proxy cannot be called back: the pick goes on, and the module hears of its end as of any."""

    def withdraw_unsent(self, taken: ActiveRequest) -> None:
        """Nothing waits here to be sent: what is reserved and not yet handed out is ended with the answer."""

    def answered(self, entry: RpcEntry, outcome: str, retry_after: int, value: object) -> None:
        """The module's final answer, to whichever stream still waits for one."""
        now = self.loop.now()
        session = self.awaiting_decision.pop(entry.id, None)
        reporting = self.awaiting_retry.pop(entry.id, None)
        pushed = outcome == REJECTED
        if session is not None:
            if pushed:
                text = "pushed back: trying again is harmless"
                answer = self.format.rejection(session.grpc, retry_after, text)
            else:
                late = bool(entry.reservations) and now >= entry.reservations[0].report_by - LATE_MARGIN
                status = self.format.timed_out if late else self.format.aborted
                answer = self.format.final_response(
                    session.grpc, status, {self.format.outcome: self.format.outcome_value(outcome)}, "aborted"
                )
            session.reject(answer)
        if reporting is not None:
            headers = {self.format.outcome: self.format.outcome_value(outcome)}
            if pushed and retry_after:
                headers["retry-after"] = retry_after_seconds(retry_after)
            self._answer_report(reporting, headers)
        if (reservation := entry.in_flight()) is not None:
            # Its time is up at the proxy too; what comes now is late and tells nothing.
            self._on_attempt_ended(entry, reservation, Outcome.CANCELLED)
        elif (reservation := entry.reserved()) is not None:
            self._on_attempt_ended(entry, reservation, Outcome.NOT_SENT)
        self._finish(now, entry, answered=not pushed)

    def on_turn_end(self) -> None:
        """The turn's end: ids go to the store in one go, then the tickets leave, then all is written."""
        dispatching, self.dispatching = self.dispatching, []
        kept = {
            entry.request: self.unix() + self.ledger.terms.remember_for / 1e6
            for session, entry, _ in dispatching
            if entry.effect != Idempotency.IDEMPOTENT and not session.call.ended
        }
        if kept and self.store is not None and self.store.is_open:
            self.store.persist(kept.items())
        for session, entry, reservation in dispatching:
            self._dispatch(session, entry, reservation)
        if self.forgettable:
            ids, self.forgettable = self.forgettable, []
            if self.store is not None and self.store.is_open:
                self.store.delete([one for one in ids if not self.ledger.maybe_executed(one)])
        for distrusted in self.evidence.notices:
            self.log.event("proxy.distrusted", proxy=distrusted.proxy, reason=distrusted.reason)
        self.evidence.notices.clear()
        self._set_timer()

    def _dispatch(self, session: StreamSession, entry: RpcEntry, reservation: AttemptReservation) -> None:
        """The reservation leaves, unless its stream has ended in this very turn."""
        if session.call.ended or session.entry is not entry or reservation.outcome is not None:
            if reservation.outcome is None:
                reservation.dispatched = False
                self._on_not_dispatched(session, entry)
            return
        now = self.loop.now()
        host, port = self.addresses.get(reservation.instance, ("", 0))
        session.reservation = reservation
        if self.log.detail is not None:
            self.log.detail(
                "dispatched",
                request=entry.request[:16],
                reservation=reservation.number,
                proxy=entry.proxy,
                attempt=entry.attempt,
                instance=reservation.instance,
                build=reservation.build,
            )
        named = f"{entry.request[:16]}.{reservation.number}"
        answer = self.format.dispatch(
            session.grpc, f"{host}:{port}", named, reservation.report_by - now, reservation.use_by - now
        )
        session.dispatch(answer)

    # ---- ends ------------------------------------------------------------------------------------

    def _method(self, entry: RpcEntry) -> str:
        return self.taken[entry.id].method

    def _on_attempt_ended(
        self,
        entry: RpcEntry,
        reservation: AttemptReservation,
        outcome: str,
        load: dict[str, float] | None = None,
    ) -> None:
        """The first word on a reservation counts, and the module hears it once."""
        if self.ledger.record_outcome(reservation, outcome):
            self.loop.attempt_finished(
                self.taken[entry.id], reservation.number, reservation.decided_at, outcome, load or {}
            )
            if entry.ended:
                self.taken.pop(entry.id, None)

    def _abandon(self, entry: RpcEntry) -> None:
        """Nobody waits for it any more: nothing is owed, and what was not handed out never ran."""
        self.loop.client_disconnected(self.taken[entry.id])
        reservation = entry.reserved()
        if reservation is not None:
            self._on_attempt_ended(entry, reservation, Outcome.NOT_SENT)
        self._finish(self.loop.now(), entry, answered=False)

    def _on_unreported(self, entry: RpcEntry, reservation: AttemptReservation, proxy: str) -> None:
        """Nothing was said of a reservation: it may have run, and tells nothing of its instance."""
        self.log.count("unreported", proxy)
        self.evidence.on_missing_report(self.loop.now(), proxy)
        self.loop.client_disconnected(self.taken[entry.id])
        self._on_attempt_ended(entry, reservation, Outcome.CANCELLED)
        self._finish(self.loop.now(), entry, answered=False)

    def _finish(self, now: int, entry: RpcEntry, answered: bool) -> None:
        """The one place where an RPC is given back here; whoever still waits on it is told."""
        if entry.ended:
            return
        self.ledger.finish(now, entry, answered=answered)
        if (session := self.awaiting_decision.pop(entry.id, None)) is not None:
            session.reject(self.format.final_response(session.grpc, self.format.aborted, {}, "aborted"))
        if (reporting := self.awaiting_retry.pop(entry.id, None)) is not None:
            self._answer_report(reporting, {})
        if not self.taken[entry.id].in_flight:
            del self.taken[entry.id]
        if (
            entry.effect != Idempotency.IDEMPOTENT
            and entry.reservations
            and not answered
            and not entry.maybe_executed()
        ):
            self.forgettable.append(entry.request)

    # ---- time ------------------------------------------------------------------------------------

    def _set_timer(self) -> None:
        due = self.ledger.wake_at()
        if due is None or (self.timer is not None and self.timer_at <= due):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.reactor.callLater(max(0, due - self.loop.now()) / 1e6, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        for reason, entry, reservation in list(self.ledger.take_expired(self.loop.now())):
            if entry.ended:
                continue
            if reason == ExpiryReason.UNREPORTED and reservation is not None:
                self._on_unreported(entry, reservation, entry.proxy)
            elif reason == ExpiryReason.NOT_RETRIED and (in_flight := entry.in_flight()) is not None:
                self._on_unreported(entry, in_flight, entry.proxy)
            elif entry.id not in self.awaiting_decision:
                self._abandon(entry)
        self._set_timer()

    # ---- wording ---------------------------------------------------------------------------------

    def _answer_report(self, session: StreamSession, headers: dict[str, str]) -> None:
        """A failure goes on to the proxy with what it means."""
        session.entry = session.reservation = None
        session.call.send(codec.continue_response(MessageKind.RESPONSE_HEADERS, headers))
        if session.call.half:
            session.on_half_closed()
