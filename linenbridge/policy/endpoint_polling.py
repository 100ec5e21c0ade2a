"""Endpoint polling: determines when the host has to request the endpoint list."""

from __future__ import annotations

from random import Random

from linenbridge.interface import SECOND

WATCH_RETRY = 300_000  # microseconds after a failed request; doubled with each further failure
MAX_WATCH_RETRY = 4 * SECOND  # microseconds


class EndpointPolling:
    """The time of the next request for the endpoint list. Times are microseconds.

    `next_at` is None while a request is open, and always if polling is disabled.
    """

    def __init__(self, enabled: bool, random: Random, now: int) -> None:
        self.random = random
        self.next_at: int | None = now if enabled else None
        self.retry_wait = WATCH_RETRY

    def on_response(self) -> None:
        """Reset the retry wait after a response."""
        self.retry_wait = WATCH_RETRY

    def on_failure(self, now: int) -> None:
        """Schedule a retry after a failed request; the wait is randomized."""
        self.next_at = now + int(self.retry_wait * self.random.uniform(0.5, 1.5))
        self.retry_wait = min(2 * self.retry_wait, MAX_WATCH_RETRY)

    def is_due(self, now: int) -> bool:
        """Return whether to make a request now; True once for each request."""
        if self.next_at is None or now < self.next_at:
            return False
        self.next_at = None
        return True
