"""Structured logging for the parts beside the platform's gateway: `structlog` with orjson's lines.

Owns the form of lines on one stream, which is the platform's: `at`, `event`, then fields. At level `debug`
there is a line for each hand-out and report, with the request's id and the ticket. It must never raise into
its callers.
"""

from __future__ import annotations

import time
from typing import Any, BinaryIO

import orjson
import structlog

from linenbridge.logging.event_log import Log

LEVELS = {"debug": 10, "info": 20, "warning": 30}
LOUD = frozenset(("lost", "set_aside", "refused", "failed", "malformed", "end"))


def _line(_: Any, __: str, fields: dict[str, Any]) -> bytes:
    event = fields.pop("event")
    return orjson.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str)


class _Stream:
    """Where lines go; one that cannot be written is counted and forgotten."""

    def __init__(self, log: Log) -> None:
        self.log = log

    def msg(self, line: bytes) -> None:
        try:
            self.log.stream.write(line + b"\n")
            self.log.stream.flush()
        except (OSError, ValueError):
            self.log.counts["log", "lost"] += 1

    debug = info = warning = error = critical = msg


def structured(stream: BinaryIO, level: str = "info", **bound: object) -> Log:
    """The gateway's log written by structlog: lines under `level` are left out, `bound` stands in each."""
    log = Log(stream)
    logger = structlog.wrap_logger(
        _Stream(log),
        processors=[structlog.contextvars.merge_contextvars, _line],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    ).bind(**bound)

    def write(name: str, fields: dict[str, object]) -> None:
        """What tells of harm is a warning."""
        loud = name.rpartition(".")[2] in LOUD
        (logger.warning if loud else logger.info)(name, **fields)

    log.write = write
    log.detail = logger.debug if level == "debug" else None
    return log
