"""What one connection of a proxy may cost. Decides without I/O, from counts of what it has sent.

Each kind of frame that asks for work without bringing a request has a token bucket that fills with time;
resets have a budget that grows with each stream that ran to its end. A connection over its budget is ended,
and no other one. The module does not look at what a stream carries.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

SECOND = 1_000_000  # microseconds
FREE_RESETS = 200  # resets before they are held against the streams that have finished
RESETS_PER_FINISHED_STREAM = 4


class ControlFrame(StrEnum):
    """Kinds of frames that a peer may send beside its requests."""

    PING = "ping"
    SETTINGS = "settings"
    WINDOW = "window"
    PRIORITY = "priority"
    EMPTY = "empty"
    UNKNOWN = "unknown"


class FrameRate(NamedTuple):
    """How many frames a second are allowed, and how many at once."""

    per_second: float
    burst: float


# What a well-behaved peer may send beside its requests.
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
    """Limits of one connection, from the settings. Times in microseconds, sizes in bytes."""

    max_streams: int  # open at once
    max_message_bytes: int
    max_header_bytes: int  # of one request to this server, all names and values
    max_unsent_bytes: int  # what may wait to be written, over all streams
    first_message_timeout: int  # from a stream's opening to its first message
    unsent_timeout: int  # how long unsent bytes may make no progress
    idle_timeout: int  # how long a connection may have no stream at all


class TokenBucket:
    """Tokens that come back with time, up to the burst."""

    __slots__ = ("rate", "tokens", "updated_at")

    def __init__(self, rate: FrameRate, now: int) -> None:
        self.rate = rate
        self.tokens = float(rate.burst)
        self.updated_at = now

    def take(self, now: int) -> bool:
        """Take one token; False where there is none. `now` in microseconds."""
        gained = max(0, now - self.updated_at) * self.rate.per_second / SECOND
        self.tokens = min(self.rate.burst, self.tokens + gained)
        self.updated_at = max(now, self.updated_at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ConnectionBudget:
    """The counts of one connection. A method that returns a text says why the connection must end; None: it
    need not. Times are whole microseconds."""

    __slots__ = ("buckets", "finished", "idle_since", "last_progress", "limits", "open", "resets", "unsent")

    def __init__(self, limits: ConnectionLimits, now: int) -> None:
        self.limits = limits
        self.buckets = {kind: TokenBucket(rate, now) for kind, rate in CONTROL_FRAME_RATES.items()}
        self.open = 0  # streams
        self.resets = 0
        self.finished = 0  # streams that ran to their end
        self.unsent = 0  # bytes
        self.idle_since = now
        self.last_progress = now  # of writing

    def on_control_frame(self, kind: ControlFrame, now: int) -> str | None:
        """The peer has sent a frame that brings no request."""
        return None if self.buckets[kind].take(now) else f"too many {kind} frames"

    def on_stream_opened(self) -> str | None:
        """The peer has opened a stream."""
        self.open += 1
        return "more streams than were allowed" if self.open > self.limits.max_streams else None

    def on_stream_ended(self, now: int) -> None:
        """A stream has run to its end, whichever side ended it."""
        self.finished += 1
        self._on_stream_closed(now)

    def on_stream_reset(self, now: int) -> str | None:
        """The peer has reset a stream. Proxies do so when clients leave; one that does little else floods."""
        self.resets += 1
        self._on_stream_closed(now)
        allowed = FREE_RESETS + RESETS_PER_FINISHED_STREAM * self.finished
        return "streams are opened only to be reset" if self.resets > allowed else None

    def _on_stream_closed(self, now: int) -> None:
        self.open -= 1
        if not self.open:
            self.idle_since = now

    def on_written(self, unsent: int, now: int) -> str | None:
        """`unsent` bytes wait after an attempt to write."""
        if unsent < self.unsent or not unsent:
            self.last_progress = now
        self.unsent = unsent
        return "the peer leaves too much unread" if unsent > self.limits.max_unsent_bytes else None

    def check_timeouts(self, now: int) -> str | None:
        """Whether the peer has read nothing, or had no stream, for too long."""
        if self.unsent and now - self.last_progress > self.limits.unsent_timeout:
            return "the peer reads nothing"
        if not self.open and now - self.idle_since > self.limits.idle_timeout:
            return "idle"
        return None
