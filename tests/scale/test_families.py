"""Families of scale tests between processes: faults by a seed, the verdict by the checker from records
alone.

python -m pytest -q -s tests/scale --gateways 3200 --relays 24 --seed 1

Where LB_SCALE_RESULTS names a file, each outcome is added to it (docs/capacity/families.json).
"""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from tests.scale.families import FAMILIES, Outcome


def store_outcome(outcome: Outcome) -> None:
    """Add an outcome to the file that the page is made of, in place of an earlier one of the same play."""
    if not (named := os.environ.get("LB_SCALE_RESULTS")):
        return
    path = Path(named)
    rows = json.loads(path.read_text()) if path.exists() else []
    row = outcome.row()
    same = ("family", "gateways", "relays", "seed")
    rows = [one for one in rows if any(one[key] != row[key] for key in same)] + [row]
    path.write_text(json.dumps(rows, indent=1) + "\n")


@pytest.mark.parametrize("family", FAMILIES)
def test_every_gateway_comes_to_the_same_tables_and_none_goes_back(family, outcomes):
    outcome = outcomes[family]
    print(f"\n{outcome.line()}")
    store_outcome(outcome)
    assert outcome.equal, outcome.breaches
    assert not outcome.breaches, outcome.breaches
    assert outcome.changes > 0
    assert outcome.lag.pairs > 0
