"""Sums over the logs of a fleet: lines by kind and interval of time, and counters of all gateways.

This module parses log lines and does no I/O. Lines that are not log lines of a gateway are counted as unread.
Lines of earlier versions are counted under the present names (`event_names`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import orjson

from linenbridge.cli.event_names import SOURCES, counter_name, decision_row, decision_text_row, event_name

MAX_KINDS: Final = 10_000  # further kinds share the row `OTHER`
OTHER: Final = "other"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a gateway's log; `at` is in seconds of Unix time."""

    at: float
    event: str
    fields: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class KindRow:
    """The number of lines of one kind, of the gateways that wrote them, and of lines in each interval.

    Interval 0 has the earliest line of all kinds.
    """

    kind: str
    lines: int
    gateways: int
    by_interval: dict[int, int]


class Sums:
    """The sums of all gateways' lines, over intervals of `interval` seconds."""

    def __init__(self, interval: float) -> None:
        """Start with empty sums; raise ValueError if `interval` is not positive."""
        if interval <= 0:
            raise ValueError(f"the interval is {interval:g} s; it must be greater than 0")
        self.interval = interval
        self.kinds: Counter[tuple[str, int]] = Counter()
        self.gateways: dict[str, set[str]] = {}
        self.counters: Counter[str] = Counter()
        self.unread = 0

    def read(self, gateway: str, lines: Iterable[str]) -> None:
        """Add the lines of one gateway, in their order.

        A process writes its counters on request and at its end, so only the last counters of each process are
        used. Those of successive processes of a gateway are added.
        """
        counters: dict[str, int] = {}
        for text in lines:
            line = _parse(text)
            if line is None:
                self.unread += bool(text.strip())
                continue
            if line.event == "started":
                self._add_counters(counters)
                counters = {}
            if line.event == "counters":
                counters = _counters(line)
                continue
            self._add(gateway, kind(line.event, line.fields), int(line.at / self.interval))
        self._add_counters(counters)

    def _add_counters(self, counters: Mapping[str, int]) -> None:
        for name, count in counters.items():
            self.counters[counter_name(name)] += count

    def _add(self, gateway: str, name: str, interval_index: int) -> None:
        if name not in self.gateways and len(self.gateways) >= MAX_KINDS:
            name = OTHER
        self.kinds[name, interval_index] += 1
        self.gateways.setdefault(name, set()).add(gateway)

    def rows(self) -> list[KindRow]:
        """Return a row for each kind, the most frequent first."""
        by_kind: dict[str, dict[int, int]] = {}
        first = min((interval_index for _, interval_index in self.kinds), default=0)
        for (name, interval_index), number in self.kinds.items():
            by_kind.setdefault(name, {})[interval_index - first] = number
        rows = [
            KindRow(name, sum(counts.values()), len(self.gateways[name]), dict(sorted(counts.items())))
            for name, counts in by_kind.items()
        ]
        return sorted(rows, key=lambda row: (-row.lines, row.kind))


def kind(event: str, fields: Mapping[str, Any]) -> str:
    """Return the row that a line is counted under: that of its decision, or its event and source."""
    if event == "decision":
        return decision_row(fields)
    if event == "mode":
        return decision_text_row(str(fields.get("text", "")))
    source = fields.get("source", fields.get("of"))
    name = event_name(event)
    return f"{name} {SOURCES.get(source, source)}" if isinstance(source, str) else name


def _counters(line: LogLine) -> dict[str, int]:
    counts = line.fields.get("counts")
    if not isinstance(counts, dict):
        return {}
    return {name: count for name, count in counts.items() if isinstance(count, int)}


def _parse(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not one of a gateway.

    A supervisor may have written a timestamp before the JSON object.
    """
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = orjson.loads(text[begin:])
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), str):
        return None
    at = fields.get("at")
    return LogLine(float(at), fields["event"], fields) if isinstance(at, int | float) else None
