"""The log of a running process: one JSON line for each event on standard error, and counters.

The gateway's process `run` uses this log as it is; `structured` adds levels for the other processes. Failures
to write a line are counted, not raised.
"""

from __future__ import annotations

import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import BinaryIO

import orjson


class Log:
    """A log of events, and counters of the requests accepted, sent and answered and of other events.

    `write` replaces the writing of lines if it is set. `detail`, which is set only at level `debug`, logs
    single requests.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self.stream = stream
        self.counts: Counter[tuple[str, ...]] = Counter()
        self.write: Callable[[str, dict[str, object]], None] | None = None
        self.detail: Callable[..., None] | None = None

    def event(self, name: str, /, **fields: object) -> None:
        """Write one line; a field that JSON cannot represent is written as text."""
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
        """Count and log an exception that one call raised; the process continues."""
        self.counts["failed",] += 1
        trace = "".join(traceback.format_exception(error))
        self.event("failed", where=where, error=f"{type(error).__name__}: {error}", trace=trace)

    def event_sampled(self, name: str, source: str, /, **fields: object) -> None:
        """Count an event that a peer can cause at will, and write a line each time its count has doubled.

        A flood of such events therefore costs little disk space and time.
        """
        self.count(name, source)
        number = self.counts[name, source]
        if not number & (number - 1):
            self.event(name, source=source, number=number, **fields)

    def count(self, *names: str) -> None:
        """Add one to the counter of these names; `counters` joins the names with dots."""
        self.counts[names] += 1

    def counters(self, **now: int) -> None:
        """Write all counters in one line, together with the current values in `now`."""
        self.event(
            "counters", counts={".".join(names): count for names, count in sorted(self.counts.items())}, **now
        )
