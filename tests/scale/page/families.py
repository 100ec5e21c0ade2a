"""The outcomes of the scale tests' families, from docs/capacity/families.json, and what rows take of them.

Only outcomes at the stated number of gateways and relays, or more, stand for that size.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct, field

from tests.scale.page.figures import Figure, Known
from tests.scale.page.size import Size

FAMILIES = Path(__file__).parents[3] / "docs" / "capacity" / "families.json"
STEADY = "steady"


class Outcome(Struct, frozen=True):
    """One play of a family: times in milliseconds, bytes a second and shares of a core a gateway, memory in
    MB; `notes` are seconds that a family measured by itself."""

    family: str
    gateways: int
    relays: int
    regions: int
    seed: int
    changes: int
    pairs: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    bytes_in: float
    bytes_out: float
    gateway_share: float
    relay_share: float
    publisher_share: float
    gateway_mb: float
    relay_mb: float
    equal: bool
    breaches: int
    notes: dict[str, float] = field(default_factory=dict)


class Outcomes:
    """All outcomes, and those at the stated size."""

    def __init__(self, found: list[Outcome], size: Size) -> None:
        self.found = found
        self.at_size = [
            outcome
            for outcome in found
            if outcome.gateways >= size.fleet.gateways and outcome.relays >= size.budget.relays
        ]

    def steady(self, name: str, factor: float = 1.0) -> Figure | None:
        """The largest figure of that name in the steady family at the size; None where it was not run."""
        return self._largest([each for each in self.at_size if each.family == STEADY], name, factor)

    def faulty(self, name: str, factor: float = 1.0) -> Figure | None:
        """The same in all other families."""
        return self._largest([each for each in self.at_size if each.family != STEADY], name, factor)

    @staticmethod
    def _largest(outcomes: list[Outcome], name: str, factor: float) -> Figure | None:
        values = [getattr(outcome, name) * factor for outcome in outcomes]
        return Figure(max(values), Known.MEASURED) if values else None


def load_outcomes(size: Size, path: Path = FAMILIES) -> Outcomes:
    """The outcomes of the file, none where it is not there."""
    found = msgspec.json.decode(path.read_bytes(), type=list[Outcome]) if path.exists() else []
    return Outcomes(found, size)
