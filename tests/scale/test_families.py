"""The families of scale tests: seeded faults between processes, checked from the records alone.

python -m pytest -q -s tests/scale --gateways 3200 --relays 24 --seed 1

If LB_SCALE_RESULTS names a file, each outcome is added to that file (docs/capacity/families.json).
"""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from tests.scale.families import FAMILIES, Outcome


def store_outcome(outcome: Outcome) -> None:
    """Add an outcome to the results file, in place of an earlier one with the same family, size and seed."""
    if not (named := os.environ.get("LB_SCALE_RESULTS")):
        return
    path = Path(named)
    rows = json.loads(path.read_text()) if path.exists() else []
    row = outcome.row()
    same = ("family", "gateways", "relays", "seed")
    rows = [one for one in rows if any(one[key] != row[key] for key in same)] + [row]
    path.write_text(json.dumps(rows, indent=1) + "\n")


@pytest.mark.parametrize("family", FAMILIES)
def test_after_a_family_all_gateways_have_equal_tables_without_a_breach(family, outcomes):
    outcome = outcomes[family]
    print(f"\n{outcome.line()}")
    store_outcome(outcome)
    assert outcome.equal, outcome.breaches
    assert not outcome.breaches, outcome.breaches
    assert outcome.changes > 0
    assert outcome.lag.pairs > 0
