"""The decision module's decisions in seeded worlds are the same in every process and at every commit."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from tests.days import InterruptedWorld, SeededWorld, digest

# Digests and line counts of the records of six worlds at commit 4d24a08; later commits must not change them.
DIGESTS = {
    "plain": ("a085fd2faf5859887bb35186b93d38fda447a18adf3a3ac5c57ca34b327d9674", 26882),
    "tenants": ("c0676e83666d5e569a04af8d36e2ecce5d3c92bf46a249e1a3a12c591d795615", 27229),
    "interruptions": ("8a8793abaeec7dc97f45dd61cddada484023932fa999c88440c8e0c6d0808c0c", 20567),
}


@pytest.mark.parametrize("kind", DIGESTS)
def test_six_seeded_worlds_give_the_decisions_of_the_base_commit(kind):
    assert digest(6, kind=kind) == DIGESTS[kind]


def test_interrupted_worlds_contain_freezes_streams_hedges_and_cancellations():
    event_counts = Counter[str]()
    for seed in range(6):
        world = InterruptedWorld(seed)
        world.run(1200)
        assert min(world.event_counts[name] for name in ("freeze", "thaw", "stream", "not_sent")) > 0, seed
        event_counts += world.event_counts
    assert min(event_counts[name] for name in ("hedge", "cancel", "cancelled")) > 0, event_counts


def test_decisions_are_the_same_with_every_hash_seed():
    expected = digest(6, 1200)
    for hash_seed in ("1", "77"):
        printed = subprocess.run(
            [sys.executable, "-m", "tests.days", "6"],
            cwd=Path(__file__).parents[1],
            check=True,
            text=True,
            capture_output=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        )
        assert printed.stdout.split() == [expected[0], str(expected[1])]


def test_seeded_worlds_contain_every_kind_of_decision():
    lines = (line for seed in range(8) for line in SeededWorld(seed).run(1200))
    kinds = {line.split("'")[1] for line in lines if "('" in line}
    assert kinds == {"pick", "cancel", "push_back", "abort", "vote", "tell", "watch", "log"}
