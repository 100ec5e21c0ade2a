"""A fleet's logs added up: what all gateways did, by kind and by stretch of time.

Owns the meaning of the lines that gateways wrote and their sums. Keeps state without I/O: it is handed text
and holds counts alone. It must never trust a line: one that is no gateway's is counted and passed over.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from typing import Any

import orjson

# What differs from one line of a kind to the next: the instance shunned, and figures. Build and stage stay.
FIGURES = re.compile(r"(?<=^shun) .*| (outcomes|W|level|ground|told|cap) -?[\d.]+")
KINDS_MOST = 10_000


class Sums:
    """What the lines of all gateways come to. `every` is the length in seconds of a stretch of time."""

    def __init__(self, every: float) -> None:
        if every <= 0:
            raise ValueError("a stretch of time must be longer than nothing")
        self.every = every
        self.kinds: Counter[tuple[str, int]] = Counter()
        self.gateways: dict[str, set[str]] = {}
        self.counters: Counter[str] = Counter()
        self.unread = 0

    def read(self, gateway: str, lines: Iterable[str]) -> None:
        """One gateway's lines in their order. A process writes its counters as it ends and when asked: what
        it says last counts, and what the one before it under this name had counted stays."""
        last: dict[str, int] = {}
        for line in lines:
            if (said := _fields(line)) is None:
                self.unread += bool(line.strip())
                continue
            at, event, fields = said
            if event == "started":
                self.counters.update(last)
                last = {}
            if event == "counters":
                counts = fields.get("counts")
                counts = counts if isinstance(counts, dict) else {}
                last = {name: count for name, count in counts.items() if isinstance(count, int)}
                continue
            self._add(gateway, kind(event, fields), int(at / self.every))
        self.counters.update(last)

    def _add(self, gateway: str, name: str, stretch: int) -> None:
        """Kinds come from what was read: past a bound, further ones share a row."""
        if name not in self.gateways and len(self.gateways) >= KINDS_MOST:
            name = "other"
        self.kinds[name, stretch] += 1
        self.gateways.setdefault(name, set()).add(gateway)

    def rows(self) -> list[tuple[str, int, int, dict[int, int]]]:
        """Kind, lines in all, gateways that wrote it, and lines by stretch counted from the first line of any
        gateway; the most frequent first."""
        by_kind: dict[str, dict[int, int]] = {}
        first = min((stretch for _, stretch in self.kinds), default=0)
        for (name, stretch), number in self.kinds.items():
            by_kind.setdefault(name, {})[stretch - first] = number
        rows = [
            (name, sum(by.values()), len(self.gateways[name]), dict(sorted(by.items())))
            for name, by in by_kind.items()
        ]
        return sorted(rows, key=lambda row: (-row[1], row[0]))


def kind(event: str, fields: dict[str, Any]) -> str:
    """The name under which a line is counted: changes of mode by what changed, the rest by event."""
    if event == "decision":
        values = (str(fields[key]) for key in ("method", "statistic", "vote", "phase") if key in fields)
        named = (f"{key} {fields[key]}" for key in ("build", "stage") if key in fields)
        return " ".join([str(fields.get("kind")), *values, *named])
    if event != "mode":
        return f"{event} {fields['of']}" if isinstance(fields.get("of"), str) else event
    return FIGURES.sub("", str(fields.get("text", "")))


def _fields(line: str) -> tuple[float, str, dict[str, Any]] | None:
    """Time in seconds, event and fields; a supervisor may have put its own stamp before the object."""
    begin = line.find("{")
    try:
        fields = orjson.loads(line[begin:]) if begin >= 0 else None
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), str):
        return None
    at = fields.get("at")
    return (float(at), fields["event"], fields) if isinstance(at, int | float) else None
