"""The decision module's record on seeded days: the same in every process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from tests.days import Day, digest


def test_nothing_hangs_on_the_order_of_sets_and_hashes():
    here = digest(6, 1200)
    for hashes in ("1", "77"):
        said = subprocess.run(
            [sys.executable, "-m", "tests.days", "6"], cwd=Path(__file__).parents[1], check=True, text=True,
            capture_output=True, env={**os.environ, "PYTHONHASHSEED": hashes},
        )  # fmt: skip
        assert said.stdout.split() == [here[0], str(here[1])]


def test_the_days_bring_about_every_kind_of_decision():
    lines = (line for seed in range(8) for line in Day(seed).play(1200))
    kinds = {line.split("'")[1] for line in lines if "('" in line}
    assert kinds == {"pick", "cancel", "push_back", "abort", "vote", "tell", "watch", "log"}
