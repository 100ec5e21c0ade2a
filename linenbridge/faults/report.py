"""The report of a fault run: figures of each day and ratios between days, as text and as plain data."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass
class Day:
    """The figures of one day. `g` is the utility ratio; `cpu_us` is microseconds per request."""

    name: str
    requests: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    g: float = 0.0
    broken: list[str] = field(default_factory=list)
    waits_ms: dict[str, float] = field(default_factory=dict)
    cpu_us: float = 0.0  # of the process under test, for each request
    streams_per_core: float = 0.0
    memory_mb: float = 0.0
    notes: list[str] = field(default_factory=list)


@dataclass
class Report:
    """The figures of all days of a fault run."""

    seed: int
    days: list[Day] = field(default_factory=list)

    def broken(self) -> bool:
        """Return whether a rule broke on any day."""
        return any(day.broken for day in self.days)

    def as_dict(self) -> dict[str, Any]:
        """Return the report as plain data."""
        return {"seed": self.seed, "days": [vars(day) for day in self.days], "ratios": self.ratios()}

    def ratios(self) -> dict[str, float]:
        """Return the ratios of the processor's figures to those of the empty processor and of RESP2."""
        days = {day.name: day for day in self.days}
        found: dict[str, float] = {}
        if "processor" in days and "empty" in days:
            ours, empty = days["processor"], days["empty"]
            for name, value in ours.waits_ms.items():
                found[f"{name} over empty"] = round(value / max(empty.waits_ms[name], 1e-3), 2)
            found["streams a core second over empty"] = round(
                ours.streams_per_core / empty.streams_per_core, 2
            )
        if "processor" in days and "resp2" in days:
            found["G less G by RESP2"] = round(days["processor"].g - days["resp2"].g, 4)
        return found

    def as_text(self) -> str:
        """Return the report as text, with the first 20 broken rules of each day."""
        lines = [f"simulated servers and a fake proxy on loopback, seed {self.seed}", ""]
        head = f"{'day':14}{'requests':>9}{'G':>8}{'broken':>8}" + "".join(
            f"{f'p{p:g} ms':>10}" for p in PERCENTILES
        )
        lines.append(head + f"{'us/req':>9}{'streams/core s':>16}{'MB':>7}")
        for day in self.days:
            waits = "".join(f"{day.waits_ms.get(f'p{p:g}', 0.0):10.2f}" for p in PERCENTILES)
            lines.append(
                f"{day.name:14}{day.requests:9}{day.g:8.3f}{len(day.broken):8}{waits}"
                f"{day.cpu_us:9.0f}{day.streams_per_core:16.0f}{day.memory_mb:7.1f}"
            )
        for day in self.days:
            lines.append(
                f"{day.name}: " + ", ".join(f"{what} {count}" for what, count in day.outcomes.items())
            )
            lines += [f"  broken: {what}" for what in day.broken[:20]] + [f"  {note}" for note in day.notes]
        lines += [f"{name}: {value}" for name, value in self.ratios().items()]
        return "\n".join(lines)
