"""Structured logging for the parts beside the platform's gateway: `structlog` with orjson's lines.

Lines have the form that `event_log` writes: `at`, `event`, then fields. At level `debug` there is a line
for each dispatched attempt and each report, with the request's id and the attempt. Nothing here raises into
its callers.
"""

from __future__ import annotations

import time
from collections.abc import MutableMapping
from typing import Any, BinaryIO

import orjson
import structlog

from linenbridge.logging.event_log import Log

LEVELS = {"debug": 10, "info": 20, "warning": 30}
WARNINGS = frozenset(
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
)  # last parts of the names of events that are warnings
NO_WARNINGS = frozenset(("distribution.malformed",))  # followers leave the relay and log that


def is_warning(event: str) -> bool:
    """Whether an event reports harm, and so is written at the level `warning` too."""
    return event.rpartition(".")[2] in WARNINGS and event not in NO_WARNINGS


def _line(_logger: Any, _method: str, fields: MutableMapping[str, Any]) -> bytes:
    event = fields.pop("event")
    return orjson.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str)


class _Stream:
    """The stream that lines are written to; a line that can't be written is counted and dropped."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def msg(self, line: bytes) -> None:
        """Writes one line."""
        try:
            self.log.stream.write(line + b"\n")
            self.log.stream.flush()
        except (OSError, ValueError):
            self.log.counts["log", "lost"] += 1

    debug = info = warning = error = critical = msg


def structured_log(stream: BinaryIO, level: str = "info", **bound: object) -> Log:
    """A log whose lines structlog writes: those under `level` are left out, `bound` fields are in each."""
    log = Log(stream)
    logger = structlog.wrap_logger(
        _Stream(log),
        processors=[structlog.contextvars.merge_contextvars, _line],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    ).bind(**bound)

    def write(name: str, fields: dict[str, object]) -> None:
        log_line = logger.warning if is_warning(name) else logger.info
        log_line(name, **fields)

    log.write = write
    log.detail = logger.debug if level == "debug" else None
    return log
