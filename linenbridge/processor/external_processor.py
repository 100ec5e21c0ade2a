"""The external processor: turns streams of proxies into RPCs, and decisions into responses on these streams.

Acts as the transport of attempts: dispatches them to proxies and opens no connection to an instance. The
decision module chooses the instance, and the reservation ledger admits the request. The id of a
non-idempotent request is in the store before its reservation is sent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from linenbridge.interface import NOT_EXECUTED, EndpointEntry, Id, Idempotency, Outcome
from linenbridge.net.decision_loop import REJECTED, ActiveRequest, DecisionLoop
from linenbridge.net.load_reports import load_report
from linenbridge.processor import codec, http2
from linenbridge.processor.dispatch_queue import DispatchQueue
from linenbridge.processor.durable_ids import DurableIds
from linenbridge.processor.endpoints import EndpointDirectory
from linenbridge.processor.evidence import Evidence
from linenbridge.processor.expiry_timer import ExpiryTimer
from linenbridge.processor.pending_responses import PendingResponses
from linenbridge.processor.reservations import (
    Admission,
    AttemptReservation,
    Expired,
    ExpiryReason,
    ReservationLedger,
    RpcEntry,
)
from linenbridge.processor.response_classification import Pending, ResponseClassifier
from linenbridge.processor.responses import ResponseFormat, retry_after_seconds
from linenbridge.processor.store import ReservationStore, request_digest
from linenbridge.processor.stream_phases import MessageKind
from linenbridge.processor.stream_session import StreamSession
from linenbridge.routes.table import Routing

MAX_ATTEMPT_DIGITS = 4
LATE_MARGIN = 20_000  # microseconds before the deadline from which a failed RPC counts as timed out
GRPC_CONTENT_TYPE = "application/grpc"


class ExternalProcessor:
    """The sessions of one gateway with proxies, and the decision loop's callbacks for their RPCs."""

    can_hedge = False  # a proxy sends its next attempt when the last one has ended, and can't be interrupted

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
        self.loop = loop
        self.log = loop.log
        self.table = table
        self.ledger = ledger
        self.evidence = evidence
        self.classifier = classifier
        self.format = response_format
        self.pass_unrouted = pass_unrouted
        self.ids = DurableIds(ledger, store, loop.now, unix, loop.log)
        self.endpoints = EndpointDirectory()
        self.pending = PendingResponses(
            response_format, {response_format.outcome: "again", response_format.again: "1"}
        )
        self.active: dict[str, ActiveRequest] = {}
        self.dispatches = DispatchQueue(
            self.ids, self.endpoints, response_format, loop.now, loop.log, self._on_not_dispatched
        )
        self.timer = ExpiryTimer(reactor, ledger, loop.now, self._on_expired)
        loop.on_turn_end.append(self.on_turn_end)

    def start(self) -> None:
        """Load the ids that earlier processes dispatched; must be called before any stream opens."""
        self.ids.load()

    def listed(self, endpoints: Iterable[tuple[EndpointEntry, tuple[str, int]]], is_snapshot: bool) -> None:
        """Apply entries of discovery with their addresses; a snapshot replaces all earlier entries."""
        self.endpoints.update(endpoints, is_snapshot=is_snapshot)

    # ---- messages of proxies ---------------------------------------------------------------------

    def on_request_headers(self, session: StreamSession, message: codec.ProxyMessage) -> None:
        """Route a request and admit it as a new RPC or a retry, or reject it."""
        headers = message.headers
        session.grpc = headers.get("content-type", "").startswith(GRPC_CONTENT_TYPE)
        attempt = headers.get(self.format.attempt, "1")
        if not (attempt.isascii() and attempt.isdigit() and len(attempt) <= MAX_ATTEMPT_DIGITS):
            self.log.count("invalid", "attempt")
            session.fail(http2.INVALID_ARGUMENT, f"{self.format.attempt} is no number")
            return
        routed = self.table.find(message.request())
        if routed is None:
            self._on_unrouted(session)
            return
        request = headers.get(self.format.request_id, "")
        admission, entry = self.ledger.admit(
            self.loop.now(),
            session.peer.name,
            request_digest(request) if request else "",
            int(attempt),
            self.table.methods[routed.method].idempotency,
        )
        self.log.count("admitted", admission)
        if admission == Admission.ACCEPTED and entry is not None:
            self._accept(session, entry, routed)
        elif admission == Admission.RETRY and entry is not None:
            self._retry(session, entry)
        elif admission == Admission.CAPACITY_EXHAUSTED:
            wait = self.ledger.terms.retry_within
            session.reject(self.format.rejection(session.grpc, wait, "too many requests are open"))
        else:
            self.log.event_sampled(
                "refused", admission, proxy=session.peer.name, request=request[:64], attempt=int(attempt)
            )
            no_id = admission == Admission.NO_ID
            text = "the request has no id" if no_id else "an earlier attempt may have run"
            session.reject(self.format.final_response(session.grpc, self.format.aborted, {}, text))

    def _on_unrouted(self, session: StreamSession) -> None:
        self.log.count("unrouted", session.peer.name)
        if self.pass_unrouted:
            session.dispatch(codec.continue_response(MessageKind.REQUEST_HEADERS))
            return
        text = "no route takes this request"
        session.reject(self.format.final_response(session.grpc, self.format.unrouted, {}, text))

    def _accept(self, session: StreamSession, entry: RpcEntry, routed: Any) -> None:
        session.entry = entry
        active = ActiveRequest(entry.id, routed.method, self, entry, partial(self.answered, entry))
        self.active[entry.id] = active
        self.pending.await_decision(entry, session)
        self.loop.accept(active, routed.deadline, routed.cost, routed.tenant, routed.key or "")

    def _retry(self, session: StreamSession, entry: RpcEntry) -> None:
        """Start a further attempt of an open RPC.

        An earlier attempt still in flight ends as cancelled, because it may have been executed. A reserved
        attempt is dispatched if its reservation is still valid; otherwise the decision module decides again.
        """
        now = self.loop.now()
        session.entry = entry
        self.pending.await_decision(entry, session)
        if (reservation := entry.in_flight()) is not None:
            self._on_attempt_ended(entry, reservation, Outcome.CANCELLED)
        elif (reservation := entry.reserved()) is not None:
            if now < reservation.use_by and self.endpoints.find(reservation.instance) is not None:
                self.pending.take_for_dispatch(entry)
                self.ledger.dispatch(entry, reservation)
                self.dispatches.put(session, entry, reservation)
                self.loop.enqueue(lambda _: None)  # triggers a turn, at whose end the queue is flushed
            else:
                self._on_attempt_ended(entry, reservation, Outcome.NOT_SENT)

    def on_response(self, session: StreamSession, message: codec.ProxyMessage) -> None:
        """Report the outcome of response headers, or of trailers if the headers determine none."""
        entry = session.entry
        reservation = session.reservation
        is_trailers = message.kind == MessageKind.RESPONSE_TRAILERS
        if (
            entry is None
            or reservation is None
            or reservation.outcome is not None
            or (is_trailers and not session.awaits_trailers)
        ):
            # The RPC has ended, or a later attempt has replaced this one.
            session.call.send(codec.continue_response(message.kind))
            return
        if is_trailers:
            outcome: Outcome | Pending | None = self.classifier.classify_trailers(
                message.headers, message.attributes
            )
        else:
            outcome = self.classifier.classify_headers(message.headers, message.attributes, message.ended)
        session.awaits_trailers = outcome is Pending.TRAILERS
        if outcome is None or outcome is Pending.TRAILERS:
            session.call.send(codec.continue_response(message.kind))
            return
        self._report(session, entry, reservation, outcome, message)

    def _report(
        self,
        session: StreamSession,
        entry: RpcEntry,
        reservation: AttemptReservation,
        outcome: Outcome,
        message: codec.ProxyMessage,
    ) -> None:
        """Report an outcome to the decision module.

        After a failure that the proxy may retry, the response to the proxy is sent after the module's
        decision.
        """
        peer = session.peer
        now = self.loop.now()
        module_outcome = self.evidence.on_report(
            now, peer.name, reservation.build, self.active[entry.id].method, entry.effect, outcome
        )
        may_be_retried = (
            not entry.ended
            and outcome != Outcome.OK
            and message.kind == MessageKind.RESPONSE_HEADERS
            and entry.attempt < peer.attempts
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
        if may_be_retried:
            self.pending.await_retry(entry, session)
            self._on_attempt_ended(entry, reservation, module_outcome, load)
            self.ledger.await_retry(now, entry)
            return
        # The proxy forwards the instance's response to its client as the final response of the RPC.
        self.loop.mark_answered(self.active[entry.id], outcome)
        self._on_attempt_ended(entry, reservation, module_outcome, load)
        self._finish(now, entry, answered=module_outcome not in NOT_EXECUTED)
        session.release()
        session.call.send(codec.continue_response(message.kind))

    def on_stream_ended(self, session: StreamSession) -> None:
        """Detach a session from its RPC when its stream ends.

        A dispatched reservation without a report stays in flight if the proxy may retry; otherwise it ends as
        unreported.
        """
        entry = session.entry
        reservation = session.reservation
        session.release()
        if entry is None or entry.ended:
            return
        now = self.loop.now()
        if self.pending.remove_report(entry, session):
            return
        if self.pending.remove_decision(entry, session):
            self._on_not_dispatched(session, entry)
        elif reservation is not None and entry.in_flight() is reservation:
            if entry.attempt < session.peer.attempts:
                self.ledger.await_retry(now, entry)
                self.timer.set()
            else:
                self._on_unreported(entry, reservation, session.peer.name)

    def _on_not_dispatched(self, session: StreamSession, entry: RpcEntry) -> None:
        """End an RPC whose stream ended before its response was sent.

        A proxy that fails open may have sent the request without a response, so its id is kept as possibly
        executed.
        """
        self._abandon(entry)
        if entry.effect != Idempotency.IDEMPOTENT and session.peer.fail_open:
            self.ids.remember_executed(entry.request)

    def has_pending_response(self, session: StreamSession) -> bool:
        """Return whether the response to a report is delayed until the module's decision."""
        return self.pending.awaits_retry(session)

    # ---- callbacks of the loop -------------------------------------------------------------------

    def send(self, now: int, active: ActiveRequest, number: int, instance: Id, timeout: int) -> None:
        """Reserve the module's attempt for the stream that waits for it, or for the expected retry."""
        entry: RpcEntry = active.payload
        endpoint = self.endpoints.find(instance)
        if endpoint is None:
            self.loop.attempt_finished(active, number, now, Outcome.NOT_SENT, {})
            return
        session = self.pending.take_for_dispatch(entry)
        reservation = self.ledger.reserve(
            now, entry, number, instance, endpoint.build, timeout, dispatch=session is not None
        )
        if session is not None:
            self.dispatches.put(session, entry, reservation)

    def cancel(self, active: ActiveRequest, number: int) -> None:
        """Do nothing: a proxy's attempt cannot be cancelled, and its outcome is reported like any other."""

    def withdraw_unsent(self, active: ActiveRequest) -> None:
        """Do nothing: a reservation that is not dispatched ends with the final response."""

    def answered(self, entry: RpcEntry, outcome: str, retry_after: int, _value: object) -> None:
        """Send the final response to the streams that wait for one; `retry_after` is in microseconds."""
        now = self.loop.now()
        rejected = outcome == REJECTED
        outcome_header = {self.format.outcome: self.format.outcome_value(outcome)}
        session = self.pending.take_for_rejection(entry)
        if session is not None and rejected:
            text = "pushed back: trying again is harmless"
            session.reject(self.format.rejection(session.grpc, retry_after, text))
        elif session is not None:
            late = bool(entry.reservations) and now >= entry.reservations[0].report_by - LATE_MARGIN
            status = self.format.timed_out if late else self.format.aborted
            session.reject(self.format.final_response(session.grpc, status, outcome_header, "aborted"))
        retry_headers = {"retry-after": retry_after_seconds(retry_after)} if rejected and retry_after else {}
        self.pending.answer_report(entry, outcome_header | retry_headers)
        if (reservation := entry.in_flight()) is not None:  # it has expired at the proxy as well
            self._on_attempt_ended(entry, reservation, Outcome.CANCELLED)
        self._finish(now, entry, answered=not rejected)

    def on_turn_end(self) -> None:
        """Send the queued reservations, and log the proxies that became distrusted."""
        self.dispatches.flush()
        for distrusted in self.evidence.notices:
            self.log.event("proxy.distrusted", proxy=distrusted.proxy, reason=distrusted.reason)
        self.evidence.notices.clear()
        self.timer.set()

    # ---- ends of attempts and RPCs ---------------------------------------------------------------

    def _on_attempt_ended(
        self,
        entry: RpcEntry,
        reservation: AttemptReservation,
        outcome: Outcome,
        load: dict[str, float] | None = None,
    ) -> None:
        """Pass the first outcome of an attempt to the decision module; later ones are ignored."""
        if self.ledger.record_outcome(reservation, outcome):
            self.loop.attempt_finished(
                self.active[entry.id], reservation.number, reservation.decided_at, outcome, load or {}
            )
            if entry.ended:
                self.active.pop(entry.id, None)

    def _abandon(self, entry: RpcEntry) -> None:
        """End an RPC whose client has left."""
        self.loop.client_disconnected(self.active[entry.id])
        self._finish(self.loop.now(), entry, answered=False)

    def _on_unreported(self, entry: RpcEntry, reservation: AttemptReservation, proxy: str) -> None:
        """End an RPC that may have been executed because its dispatched reservation has no report."""
        self.log.count("unreported", proxy)
        self.evidence.on_missing_report(self.loop.now(), proxy)
        self.loop.client_disconnected(self.active[entry.id])
        self._on_attempt_ended(entry, reservation, Outcome.CANCELLED)
        self._finish(self.loop.now(), entry, answered=False)

    def _finish(self, now: int, entry: RpcEntry, *, answered: bool) -> None:
        """End an RPC, and respond to the streams that still wait for it. Every RPC ends here.

        An attempt that was not dispatched counts as not sent.
        """
        if entry.ended:
            return
        if (reservation := entry.reserved()) is not None:
            self._on_attempt_ended(entry, reservation, Outcome.NOT_SENT)
        self.ledger.finish(now, entry, answered=answered)
        self.pending.reject(entry, "aborted")
        self.pending.answer_report(entry, {})
        if not self.active[entry.id].in_flight:
            del self.active[entry.id]
        if (
            entry.effect != Idempotency.IDEMPOTENT
            and entry.reservations
            and not answered
            and not entry.maybe_executed()
        ):
            self.ids.delete_later(entry.request)

    def _on_expired(self, expired: Expired) -> None:
        reason, entry, reservation = expired
        if reason == ExpiryReason.UNREPORTED and reservation is not None:
            self._on_unreported(entry, reservation, entry.proxy)
        elif reason == ExpiryReason.NOT_RETRIED and (in_flight := entry.in_flight()) is not None:
            self._on_unreported(entry, in_flight, entry.proxy)
        elif reservation is not None and entry.in_flight() is not None:
            self._on_attempt_ended(entry, reservation, Outcome.NOT_SENT)
        elif not self.pending.awaits_decision(entry):
            self._abandon(entry)
