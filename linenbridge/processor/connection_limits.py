"""What one connection may cost. Decides without I/O, from counts of what it has sent.

Each kind of frame that asks for work and brings no request has a bucket that fills with time; resets have one
that fills with each stream that ran to its end. An empty bucket ends the connection, and that connection
alone. It must never look at what a stream says, nor know another connection.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The bounds of one connection, from the settings; times in microseconds, sizes in bytes."""

    max_streams: int  # open at once
    max_message_bytes: int  # the largest message taken
    max_header_bytes: int  # of one request to us, all names and values
    max_unsent_bytes: int  # what may wait to be written, over all streams
    first_message_timeout: int  # from a stream's opening to its first message
    unsent_timeout: int  # how long the backlog may stand still
    idle_timeout: int  # how long a connection may have no stream at all


# Frames a second that a sound peer may send beside its requests, and how many at once.
CONTROL_FRAME_RATES = {"ping": (10, 50), "settings": (5, 20), "window": (2_000, 20_000), "priority": (200, 2_000),
           "empty": (50, 500), "unknown": (50, 500)}  # fmt: skip
FREE_RESETS = 200  # resets before a connection must have finished streams to show for more
RESETS_PER_FINISHED_STREAM = 4  # and how many each finished stream allows


class TokenBucket:
    """Tokens that come back with time."""

    __slots__ = ("capacity", "per_second", "tokens", "updated_at")

    def __init__(self, per_second: float, capacity: float, now: int) -> None:
        self.per_second, self.capacity, self.tokens, self.updated_at = (
            per_second,
            capacity,
            float(capacity),
            now,
        )

    def take(self, now: int) -> bool:
        gained = max(0, now - self.updated_at) * self.per_second / SECOND
        self.tokens, self.updated_at = min(self.capacity, self.tokens + gained), max(now, self.updated_at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ConnectionBudget:
    """One connection's counts. Each call returns why the connection must end, or None."""

    __slots__ = ("limits", "buckets", "finished", "last_progress", "open", "idle_since", "resets", "unsent")

    def __init__(self, limits: ConnectionLimits, now: int) -> None:
        self.limits = limits
        self.buckets = {kind: TokenBucket(*figures, now) for kind, figures in CONTROL_FRAME_RATES.items()}
        self.open = self.resets = self.finished = self.unsent = 0
        self.idle_since, self.last_progress = now, now

    def on_control_frame(self, kind: str, now: int) -> str | None:
        return None if self.buckets[kind].take(now) else f"too many {kind} frames"

    def on_stream_opened(self) -> str | None:
        self.open += 1
        return "more streams than were allowed" if self.open > self.limits.max_streams else None

    def on_stream_ended(self, now: int) -> None:
        """A stream ran to its end, whoever ended it well."""
        self.finished += 1
        self._closed(now)

    def on_stream_reset(self, now: int) -> str | None:
        """The peer reset a stream. Proxies do so when clients leave; one that does little else floods."""
        self.resets += 1
        self._closed(now)
        allowed = FREE_RESETS + RESETS_PER_FINISHED_STREAM * self.finished
        return "streams are opened only to be reset" if self.resets > allowed else None

    def _closed(self, now: int) -> None:
        self.open -= 1
        if not self.open:
            self.idle_since = now

    def on_written(self, unsent: int, now: int) -> str | None:
        """What waits to be written after an attempt to write it."""
        if unsent < self.unsent or not unsent:
            self.last_progress = now
        self.unsent = unsent
        return "the peer leaves too much unread" if unsent > self.limits.max_unsent_bytes else None

    def check_timeouts(self, now: int) -> str | None:
        if self.unsent and now - self.last_progress > self.limits.unsent_timeout:
            return "the peer reads nothing"
        if not self.open and now - self.idle_since > self.limits.idle_timeout:
            return "idle"
        return None
