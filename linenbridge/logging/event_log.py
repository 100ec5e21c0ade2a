"""What a running gateway says of itself: one JSON line an event, and counters.

Owns standard error and the figures counted. It must never decide what happens next, nor raise into its
callers.
"""

from __future__ import annotations

import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import BinaryIO

import orjson


class Log:
    """Events as they happen, and counts of what is taken in, sent and answered."""

    def __init__(self, stream: BinaryIO) -> None:
        self.stream = stream
        self.counts: Counter[tuple[str, ...]] = Counter()
        self.write: Callable[[str, dict[str, object]], None] | None = None  # another writer of lines
        self.detail: Callable[..., None] | None = None  # of single RPCs, where somebody asked for it

    def event(self, name: str, /, **fields: object) -> None:
        """One line; a field that JSON has no form for is written as text."""
        if self.write is not None:
            self.write(name, fields)
            return
        line = orjson.dumps({"at": round(time.time(), 3), "event": name, **fields}, default=str)
        try:
            self.stream.write(line + b"\n")
            self.stream.flush()
        except (OSError, ValueError):
            self.counts["log", "lost"] += 1

    def failed(self, where: str, error: BaseException) -> None:
        """An exception that one call raised; the process goes on."""
        self.counts["failed",] += 1
        trace = "".join(traceback.format_exception(error))
        self.event("failed", where=where, error=f"{type(error).__name__}: {error}", trace=trace)

    def rarely(self, name: str, of: str, **fields: object) -> None:
        """What a peer can bring about as often as it likes: each is counted, a line written for the first and
        whenever their number has doubled, so that a flood of them costs no disk and little time."""
        self.count(name, of)
        number = self.counts[name, of]
        if not number & (number - 1):
            self.event(name, of=of, number=number, **fields)

    def count(self, *names: str) -> None:
        self.counts[names] += 1

    def counters(self, **now: int) -> None:
        """All counters in one line, with what stands open at present."""
        self.event(
            "counters", counts={".".join(names): count for names, count in sorted(self.counts.items())}, **now
        )
