"""Structured logging with levels, by structlog and orjson, for the processes other than the gateway's `run`.

Lines have the form that `event_log` writes: `at`, `event`, then the fields. At level `debug` there is a line
for each dispatched attempt and each report, with the request's id and the attempt. Failures to write a line
are counted, not raised.
"""

from __future__ import annotations

import time
from collections.abc import MutableMapping
from typing import Any, BinaryIO

import orjson
import structlog

from linenbridge.logging.event_log import Log

LEVELS = {"debug": 10, "info": 20, "warning": 30}
WARNING_SUFFIXES = frozenset(
    (
        "disconnected",
        "end",
        "failed",
        "lost",
        "malformed",
        "refused",
        "rejected",
        "set_aside",
        "settings_rejected",
    )
)  # an event is a warning if the last part of its name is one of these
NON_WARNINGS = frozenset(("distribution.malformed",))  # a follower then leaves the relay and logs a warning


def is_warning(event: str) -> bool:
    """Return whether an event is logged at level `warning` rather than `info`."""
    return event.rpartition(".")[2] in WARNING_SUFFIXES and event not in NON_WARNINGS


def _encode_line(_logger: Any, _method: str, fields: MutableMapping[str, Any]) -> bytes:
    event = fields.pop("event")
    return orjson.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str)


class _LineWriter:
    """The stream that lines are written to; a line that cannot be written is counted and dropped."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def msg(self, line: bytes) -> None:
        """Write one line."""
        try:
            self.log.stream.write(line + b"\n")
            self.log.stream.flush()
        except (OSError, ValueError):
            self.log.counts["log", "lost"] += 1

    debug = info = warning = error = critical = msg


def structured_log(stream: BinaryIO, level: str = "info", **bound: object) -> Log:
    """Return a log whose lines structlog writes, without those below `level` and with the `bound` fields."""
    log = Log(stream)
    logger = structlog.wrap_logger(
        _LineWriter(log),
        processors=[structlog.contextvars.merge_contextvars, _encode_line],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    ).bind(**bound)

    def write(name: str, fields: dict[str, object]) -> None:
        log_line = logger.warning if is_warning(name) else logger.info
        log_line(name, **fields)

    log.write = write
    log.detail = logger.debug if level == "debug" else None
    return log
