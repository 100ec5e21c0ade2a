"""The queue of reservations that are sent to proxies at the end of a turn, after their ids are in the store.

A reservation whose stream has ended in the meantime is not sent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from linenbridge.interface import Idempotency
from linenbridge.logging.event_log import Log
from linenbridge.processor.durable_ids import DurableIds
from linenbridge.processor.endpoints import EndpointDirectory
from linenbridge.processor.reservations import AttemptReservation, RpcEntry
from linenbridge.processor.responses import ResponseFormat
from linenbridge.processor.stream_session import StreamSession


class Dispatch(NamedTuple):
    """A reservation, and the stream that waits for it."""

    session: StreamSession
    entry: RpcEntry
    reservation: AttemptReservation


class DispatchQueue:
    """The queued reservations of one turn.

    Calls `on_not_dispatched(session, entry)` for a stream that has ended before its reservation was sent.
    """

    def __init__(
        self,
        ids: DurableIds,
        endpoints: EndpointDirectory,
        response_format: ResponseFormat,
        now: Callable[[], int],
        log: Log,
        on_not_dispatched: Callable[[StreamSession, RpcEntry], None],
    ) -> None:
        self.ids = ids
        self.endpoints = endpoints
        self.format = response_format
        self.now = now
        self.log = log
        self.on_not_dispatched = on_not_dispatched
        self.pending: list[Dispatch] = []

    def put(self, session: StreamSession, entry: RpcEntry, reservation: AttemptReservation) -> None:
        """Queue a reservation to be sent at the end of the turn."""
        self.pending.append(Dispatch(session, entry, reservation))

    def flush(self) -> None:
        """Store the ids of non-idempotent requests in one transaction, then send the reservations."""
        dispatches = self.pending
        self.pending = []
        self.ids.persist(
            entry.request
            for session, entry, _ in dispatches
            if entry.effect != Idempotency.IDEMPOTENT and not session.call.ended
        )
        for dispatch in dispatches:
            self._dispatch(dispatch)
        self.ids.delete()

    def _dispatch(self, dispatch: Dispatch) -> None:
        session, entry, reservation = dispatch
        if session.call.ended or session.entry is not entry or reservation.outcome is not None:
            if reservation.outcome is None:
                reservation.dispatched = False
                self.on_not_dispatched(session, entry)
            return
        now = self.now()
        endpoint = self.endpoints.find(reservation.instance)
        address = ":0" if endpoint is None else f"{endpoint.host}:{endpoint.port}"
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
        reservation_id = f"{entry.request[:16]}.{reservation.number}"
        response = self.format.dispatch(
            session.grpc, address, reservation_id, reservation.report_by - now, reservation.use_by - now
        )
        session.dispatch(response)
