"""The outcomes of the scale tests' families, from docs/capacity/families.json, and the figures for rows.

Only outcomes with at least the stated numbers of gateways and relays are used for the figures.
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
    """The outcome of one run of a family.

    `bytes_in` and `bytes_out` are bytes per second and gateway, shares are fractions of a core, and `_mb` is
    memory in megabytes. `notes` holds additional times of the family, in seconds.
    """

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
    """All outcomes, and the largest values of those at the stated size."""

    def __init__(self, found: list[Outcome], size: Size) -> None:
        self.found = found
        self.at_size = [
            outcome
            for outcome in found
            if outcome.gateways >= size.fleet.gateways and outcome.relays >= size.budget.relays
        ]

    def steady(self, name: str, factor: float = 1.0) -> Figure | None:
        """Return the largest value of a field in the steady family, or None if it was not run at the size."""
        return self._largest([each for each in self.at_size if each.family == STEADY], name, factor)

    def faulty(self, name: str, factor: float = 1.0) -> Figure | None:
        """Return the largest value of a field in all other families, or None if none was run at the size."""
        return self._largest([each for each in self.at_size if each.family != STEADY], name, factor)

    @staticmethod
    def _largest(outcomes: list[Outcome], name: str, factor: float) -> Figure | None:
        values = [getattr(outcome, name) * factor for outcome in outcomes]
        return Figure(max(values), Known.MEASURED) if values else None


def load_outcomes(size: Size, path: Path = FAMILIES) -> Outcomes:
    """Load the outcomes from the file, or none if the file does not exist."""
    found = msgspec.json.decode(path.read_bytes(), type=list[Outcome]) if path.exists() else []
    return Outcomes(found, size)
