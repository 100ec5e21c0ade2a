"""Limits on the resources that one connection of a proxy may use. Counts events; no I/O.

Each kind of frame that causes work without carrying a request has a token bucket that refills with time.
Resets have a budget that grows with each finished stream. Only the connection that exceeds its budget is
closed. The module does not read the contents of streams.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

SECOND = 1_000_000  # microseconds
FREE_RESETS = 200  # resets allowed before any stream has finished
RESETS_PER_FINISHED_STREAM = 4


class ControlFrame(StrEnum):
    """Kinds of frames that a peer may send apart from its requests."""

    PING = "ping"
    SETTINGS = "settings"
    WINDOW = "window"
    PRIORITY = "priority"
    EMPTY = "empty"
    UNKNOWN = "unknown"


class FrameRate(NamedTuple):
    """The refill rate and the capacity of a token bucket, in frames."""

    per_second: float
    burst: float


# The rates stay above what a well-behaved peer sends apart from its requests.
CONTROL_FRAME_RATES = {
    ControlFrame.PING: FrameRate(10, 50),
    ControlFrame.SETTINGS: FrameRate(5, 20),
    ControlFrame.WINDOW: FrameRate(2_000, 20_000),
    ControlFrame.PRIORITY: FrameRate(200, 2_000),
    ControlFrame.EMPTY: FrameRate(50, 500),
    ControlFrame.UNKNOWN: FrameRate(50, 500),
}


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection, from the settings. Times are in microseconds, sizes in bytes."""

    max_streams: int  # open at once
    max_message_bytes: int
    max_header_bytes: int  # of one request to this server, all names and values
    max_unsent_bytes: int  # waiting to be written, over all streams
    first_message_timeout: int  # from a stream's opening to its first message
    unsent_timeout: int  # without progress in writing
    idle_timeout: int  # without any open stream


class TokenBucket:
    """A token bucket that refills with time up to its burst."""

    __slots__ = ("rate", "tokens", "updated_at")

    def __init__(self, rate: FrameRate, now: int) -> None:
        self.rate = rate
        self.tokens = float(rate.burst)
        self.updated_at = now

    def take(self, now: int) -> bool:
        """Take one token at `now` in microseconds; return False if the bucket is empty."""
        gained = max(0, now - self.updated_at) * self.rate.per_second / SECOND
        self.tokens = min(self.rate.burst, self.tokens + gained)
        self.updated_at = max(now, self.updated_at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ConnectionBudget:
    """The counts of one connection.

    A method that returns a text gives the reason why the connection must be closed, and None if it may stay
    open. Times are whole microseconds.
    """

    __slots__ = ("buckets", "finished", "idle_since", "last_progress", "limits", "open", "resets", "unsent")

    def __init__(self, limits: ConnectionLimits, now: int) -> None:
        self.limits = limits
        self.buckets = {kind: TokenBucket(rate, now) for kind, rate in CONTROL_FRAME_RATES.items()}
        self.open = 0  # streams
        self.resets = 0
        self.finished = 0  # streams that ran to their end
        self.unsent = 0  # bytes
        self.idle_since = now
        self.last_progress = now  # in writing

    def on_control_frame(self, kind: ControlFrame, now: int) -> str | None:
        """Count a frame of the peer that carries no request."""
        return None if self.buckets[kind].take(now) else f"too many {kind} frames"

    def on_stream_opened(self) -> str | None:
        """Count a stream that the peer has opened."""
        self.open += 1
        return "more streams than were allowed" if self.open > self.limits.max_streams else None

    def on_stream_ended(self, now: int) -> None:
        """Count a stream that has finished, whichever side ended it."""
        self.finished += 1
        self._on_stream_closed(now)

    def on_stream_reset(self, now: int) -> str | None:
        """Count a stream that the peer has reset.

        Proxies reset streams of clients that disconnect; a peer with far more resets than finished streams is
        treated as a reset flood.
        """
        self.resets += 1
        self._on_stream_closed(now)
        allowed = FREE_RESETS + RESETS_PER_FINISHED_STREAM * self.finished
        return "streams are opened only to be reset" if self.resets > allowed else None

    def _on_stream_closed(self, now: int) -> None:
        self.open -= 1
        if not self.open:
            self.idle_since = now

    def on_written(self, unsent: int, now: int) -> str | None:
        """Record that `unsent` bytes remain after a write."""
        if unsent < self.unsent or not unsent:
            self.last_progress = now
        self.unsent = unsent
        return "the peer leaves too much unread" if unsent > self.limits.max_unsent_bytes else None

    def check_timeouts(self, now: int) -> str | None:
        """Check how long the peer has read nothing or had no open stream."""
        if self.unsent and now - self.last_progress > self.limits.unsent_timeout:
            return "the peer reads nothing"
        if not self.open and now - self.idle_since > self.limits.idle_timeout:
            return "idle"
        return None
