"""What one connection may cost. Decides without I/O, from counts of what it has sent.

Each kind of frame that asks for work and brings no request has a bucket that fills with time; resets have one
that fills with each stream that ran to its end. An empty bucket ends the connection, and that connection
alone. It must never look at what a stream says, nor know another connection.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of one connection, from the settings; times in microseconds, sizes in bytes."""

    streams: int  # open at once
    message: int  # the largest message taken
    headers: int  # of one request to us, all names and values
    backlog: int  # what may wait to be written, over all streams
    first_word: int  # from a stream's opening to its first message
    unread: int  # how long the backlog may stand still
    idle: int  # how long a connection may have no stream at all


# Frames a second that a sound peer may send beside its requests, and how many at once.
CONTROL = {"ping": (10, 50), "settings": (5, 20), "window": (2_000, 20_000), "priority": (200, 2_000),
           "empty": (50, 500), "unknown": (50, 500)}  # fmt: skip
RESETS_FREE = 200  # resets before a connection must have finished streams to show for more
RESETS_PER_END = 4  # and how many each finished stream allows


class Bucket:
    """Tokens that come back with time."""

    __slots__ = ("at", "most", "per_second", "tokens")

    def __init__(self, per_second: float, most: float, now: int) -> None:
        self.per_second, self.most, self.tokens, self.at = per_second, most, float(most), now

    def take(self, now: int) -> bool:
        gained = max(0, now - self.at) * self.per_second / SECOND
        self.tokens, self.at = min(self.most, self.tokens + gained), max(now, self.at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Account:
    """One connection's counts. Each call returns why the connection must end, or None."""

    __slots__ = ("bounds", "buckets", "ends", "moved", "open", "quiet_since", "resets", "waiting")

    def __init__(self, bounds: Bounds, now: int) -> None:
        self.bounds = bounds
        self.buckets = {kind: Bucket(*figures, now) for kind, figures in CONTROL.items()}
        self.open = self.resets = self.ends = self.waiting = 0
        self.quiet_since, self.moved = now, now

    def control(self, kind: str, now: int) -> str | None:
        return None if self.buckets[kind].take(now) else f"too many {kind} frames"

    def opened(self) -> str | None:
        self.open += 1
        return "more streams than were allowed" if self.open > self.bounds.streams else None

    def ended(self, now: int) -> None:
        """A stream ran to its end, whoever ended it well."""
        self.ends += 1
        self._closed(now)

    def reset(self, now: int) -> str | None:
        """The peer reset a stream. Proxies do so when clients leave; one that does little else floods."""
        self.resets += 1
        self._closed(now)
        allowed = RESETS_FREE + RESETS_PER_END * self.ends
        return "streams are opened only to be reset" if self.resets > allowed else None

    def _closed(self, now: int) -> None:
        self.open -= 1
        if not self.open:
            self.quiet_since = now

    def wrote(self, waiting: int, now: int) -> str | None:
        """What waits to be written after an attempt to write it."""
        if waiting < self.waiting or not waiting:
            self.moved = now
        self.waiting = waiting
        return "the peer leaves too much unread" if waiting > self.bounds.backlog else None

    def overdue(self, now: int) -> str | None:
        if self.waiting and now - self.moved > self.bounds.unread:
            return "the peer reads nothing"
        if not self.open and now - self.quiet_since > self.bounds.idle:
            return "idle"
        return None
