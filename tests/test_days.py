"""The decision module's record on seeded days: the same in every process."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from tests.days import Day, InterruptedDay, digest

# Of six days, at the base (4d24a08) as at any later commit: what the module decides stays as it is.
DIGESTS = {
    "plain": ("a085fd2faf5859887bb35186b93d38fda447a18adf3a3ac5c57ca34b327d9674", 26882),
    "tenants": ("c0676e83666d5e569a04af8d36e2ecce5d3c92bf46a249e1a3a12c591d795615", 27229),
    "interruptions": ("8a8793abaeec7dc97f45dd61cddada484023932fa999c88440c8e0c6d0808c0c", 20567),
}


@pytest.mark.parametrize("kind", DIGESTS)
def test_six_days_give_the_decisions_of_the_base(kind):
    assert digest(6, kind=kind) == DIGESTS[kind]


def test_interrupted_days_bring_about_freezes_streams_hedges_and_cancels():
    happened = Counter[str]()
    for seed in range(6):
        day = InterruptedDay(seed)
        day.play(1200)
        assert min(day.happened[name] for name in ("freeze", "thaw", "stream", "not_sent")) > 0, seed
        happened += day.happened
    assert min(happened[name] for name in ("hedge", "cancel", "cancelled")) > 0, happened


def test_nothing_hangs_on_the_order_of_sets_and_hashes():
    here = digest(6, 1200)
    for hashes in ("1", "77"):
        printed = subprocess.run(
            [sys.executable, "-m", "tests.days", "6"],
            cwd=Path(__file__).parents[1],
            check=True,
            text=True,
            capture_output=True,
            env={**os.environ, "PYTHONHASHSEED": hashes},
        )
        assert printed.stdout.split() == [here[0], str(here[1])]


def test_the_days_bring_about_every_kind_of_decision():
    lines = (line for seed in range(8) for line in Day(seed).play(1200))
    kinds = {line.split("'")[1] for line in lines if "('" in line}
    assert kinds == {"pick", "cancel", "push_back", "abort", "vote", "tell", "watch", "log"}
