"""Ids of dispatched non-idempotent requests, kept in both the reservation ledger and its store.

Converts between the clock of the ledger (microseconds of the loop) and that of the store (Unix seconds).
Without a usable store, ids are kept in the ledger only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from linenbridge.logging.event_log import Log
from linenbridge.processor.reservations import ReservationLedger
from linenbridge.processor.store import ReservationStore


class DurableIds:
    """Writes ids to the ledger and its store.

    `now` returns microseconds of the loop's clock, `unix` returns Unix seconds.
    """

    def __init__(
        self,
        ledger: ReservationLedger,
        store: ReservationStore | None,
        now: Callable[[], int],
        unix: Callable[[], float],
        log: Log,
    ) -> None:
        self.ledger = ledger
        self.store = store
        self._now = now
        self._unix = unix
        self._log = log
        self._not_executed: list[str] = []

    def load(self) -> None:
        """Open the store and load the ids that earlier processes dispatched into the ledger.

        Must be called before any stream opens.
        """
        if self.store is None:
            self._log.event(
                "store.none",
                what="after a restart, repeated requests are recognized only by their attempt count",
            )
            return
        if self.store.open():
            now = self._now()
            unix = self._unix()
            rows = (
                (request, now + round((expires_at - unix) * 1e6)) for request, expires_at in self.store.load()
            )
            self._log.event("store.loaded", ids=self.ledger.load(rows))

    def persist(self, requests: Iterable[str]) -> None:
        """Store ids; must be called before their reservations are sent."""
        expires_at = self._unix() + self.ledger.terms.remember_for / 1e6
        rows = {request: expires_at for request in requests}
        if rows and self.store is not None and self.store.is_open:
            self.store.persist(rows.items())

    def remember_executed(self, request: str) -> None:
        """Keep the id of a request that a proxy may have sent without a reservation."""
        self.ledger.remember(request, self._now() + self.ledger.terms.remember_for, maybe_executed=True)
        self.persist([request])

    def delete_later(self, request: str) -> None:
        """Delete an id at the end of the turn; its attempts must certainly not have been executed."""
        self._not_executed.append(request)

    def delete(self) -> None:
        """Delete the ids passed to `delete_later`, except those that may have been executed since."""
        requests = self._not_executed
        self._not_executed = []
        if requests and self.store is not None and self.store.is_open:
            self.store.delete([request for request in requests if not self.ledger.maybe_executed(request)])

    def close(self) -> None:
        """Close the store."""
        if self.store is not None:
            self.store.close()
