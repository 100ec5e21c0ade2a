"""Endpoint polling: when the module asks the host to watch the endpoint list.

Decides without I/O.
"""

from __future__ import annotations

from random import Random

from linenbridge.interface import SECOND

WATCH_RETRY = 300_000  # microseconds after a failed call, doubled with each
MAX_WATCH_RETRY = 4 * SECOND  # microseconds


class EndpointPolling:
    """When to ask next, None while a call is open or lists come by themselves. Times are microseconds."""

    def __init__(self, enabled: bool, random: Random, now: int) -> None:
        self.random = random
        self.next_at: int | None = now if enabled else None
        self.retry_wait = WATCH_RETRY

    def on_response(self) -> None:
        """A call was answered: retries begin anew."""
        self.retry_wait = WATCH_RETRY

    def on_failure(self, now: int) -> None:
        """A call has failed: it is made again after a wait."""
        self.next_at = now + int(self.retry_wait * self.random.uniform(0.5, 1.5))
        self.retry_wait = min(2 * self.retry_wait, MAX_WATCH_RETRY)

    def is_due(self, now: int) -> bool:
        """Whether to ask now; true once for each call."""
        if self.next_at is None or now < self.next_at:
            return False
        self.next_at = None
        return True
