"""The log of a running process: one JSON line for each event on standard error, and counters.

The lean form, which the gateway's process `run` uses; `structured` adds levels for the others. Nothing here
raises into its callers.
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
        """Writes one line; a field that JSON can't represent is written as text."""
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
        """Counts and writes an exception that one call raised; the process goes on."""
        self.counts["failed",] += 1
        trace = "".join(traceback.format_exception(error))
        self.event("failed", where=where, error=f"{type(error).__name__}: {error}", trace=trace)

    def event_sampled(self, name: str, source: str, /, **fields: object) -> None:
        """Counts an event that a peer can cause at will, and writes a line whenever their number has doubled.

        A flood of them so costs little disk and time.
        """
        self.count(name, source)
        number = self.counts[name, source]
        if not number & (number - 1):
            self.event(name, source=source, number=number, **fields)

    def count(self, *names: str) -> None:
        """Adds one to the counter of these names, which a line joins with dots."""
        self.counts[names] += 1

    def counters(self, **now: int) -> None:
        """Writes all counters in one line, with the present values of `now`."""
        self.event(
            "counters", counts={".".join(names): count for names, count in sorted(self.counts.items())}, **now
        )
