"""A reactor timer for the deadlines of the reservation ledger."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from linenbridge.processor.reservations import Expired, ReservationLedger


class ExpiryTimer:
    """Calls `on_expired` for each passed deadline whose RPC has not ended.

    `now` returns the time of the loop's clock in microseconds.
    """

    def __init__(
        self,
        reactor: Any,
        ledger: ReservationLedger,
        now: Callable[[], int],
        on_expired: Callable[[Expired], None],
    ) -> None:
        self.reactor = reactor
        self.ledger = ledger
        self.now = now
        self.on_expired = on_expired
        self._timer: Any = None
        self._due = 0  # microseconds

    def set(self) -> None:
        """Set the timer to the ledger's next deadline, unless it is already set to an earlier time."""
        due = self.ledger.wake_at()
        if due is None or (self._timer is not None and self._due <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = self.reactor.callLater(max(0, due - self.now()) / 1e6, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        for expired in list(self.ledger.take_expired(self.now())):
            if not expired.entry.ended:
                self.on_expired(expired)
        self.set()
