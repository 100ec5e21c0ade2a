"""Ids of dispatched requests with an effect, in the reservation ledger and in its store alike.

Connects the clock of the ledger (microseconds of the loop) with that of the store (Unix seconds). Without a
store, or with one that has failed, only the ledger is kept.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from linenbridge.logging.event_log import Log
from linenbridge.processor.reservations import ReservationLedger
from linenbridge.processor.store import ReservationStore


class DurableIds:
    """`now` gives microseconds of the loop's clock, `unix` gives Unix seconds."""

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
        """Open the store and let the ledger know what earlier processes dispatched; called before any stream
        opens."""
        if self.store is None:
            self._log.event("store.none", what="after a restart a repeat is known by its attempt count alone")
            return
        if self.store.open():
            now = self._now()
            unix = self._unix()
            rows = (
                (request, now + round((expires_at - unix) * 1e6)) for request, expires_at in self.store.load()
            )
            self._log.event("store.loaded", ids=self.ledger.load(rows))

    def persist(self, requests: Iterable[str]) -> None:
        """Store ids before their reservations leave."""
        expires_at = self._unix() + self.ledger.terms.remember_for / 1e6
        rows = {request: expires_at for request in requests}
        if rows and self.store is not None and self.store.is_open:
            self.store.persist(rows.items())

    def remember_executed(self, request: str) -> None:
        """Keep an id that a proxy may have sent on without a reservation."""
        self.ledger.remember(request, self._now() + self.ledger.terms.remember_for, maybe_executed=True)
        self.persist([request])

    def delete_later(self, request: str) -> None:
        """An id whose attempts certainly were not executed goes from the store at the turn's end."""
        self._not_executed.append(request)

    def delete(self) -> None:
        """Delete the ids that `delete_later` took, but those that may have been executed since."""
        requests = self._not_executed
        self._not_executed = []
        if requests and self.store is not None and self.store.is_open:
            self.store.delete([request for request in requests if not self.ledger.maybe_executed(request)])

    def close(self) -> None:
        """Close the store."""
        if self.store is not None:
            self.store.close()
