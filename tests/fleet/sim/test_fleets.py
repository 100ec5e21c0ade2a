"""Simulated fleets: many fault schedules, the same record from the same seed, and what leases cost at
size."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from hashlib import sha256
from os import cpu_count

import pytest

from tests.fleet.procs.checker import breaches, longest_gap
from tests.fleet.sim.world import Fleet, Shape


def played(seed: int) -> tuple[int, list[str]]:
    """Acts and what is wrong, of one schedule; the checker is the one that judges processes."""
    fleet = Fleet(Shape(), seed)
    fleet.play()
    found = breaches(fleet.acts, [])
    for task in range(fleet.shape.tasks):
        gap = longest_gap(fleet.acts, f"task-{task}", 0.75 * fleet.shape.seconds + 4.5, fleet.shape.seconds)
        if gap > 6.0:  # after the last fault: a lease, beats, and acceptors that come back
            found.append(f"task-{task} was nobody's for {gap:.1f} s")
    return len(fleet.acts), [f"seed {seed}: {words}" for words in found]


def test_no_simulated_schedule_breaks_a_lease(schedules):
    """Ten simulated schedules for each one that processes are asked for."""
    seeds = range(10 * schedules.start, 10 * schedules.stop)
    with ProcessPoolExecutor(min(8, cpu_count() or 1)) as pool:
        rows = list(pool.map(played, seeds, chunksize=5))
    acts, wrong = sum(count for count, _ in rows), [words for _, found in rows for words in found]
    print(f"\nleases simulated: {len(seeds)} schedules, {acts} acts, {len(wrong)} breaches")
    assert not wrong and acts > 100 * len(seeds)


def test_the_same_seed_gives_the_same_record():
    shape = Shape(gateways=200, acceptors=5, tasks=10, seconds=8, faults=20)
    records = [sha256("\n".join(Fleet(shape, 7).play()).encode()).hexdigest() for _ in range(2)]
    assert records[0] == records[1] != sha256("\n".join(Fleet(shape, 8).play()).encode()).hexdigest()


@pytest.mark.parametrize("tasks", [1, 10])
def test_a_members_steady_cost_does_not_grow_with_the_fleet(tasks):
    found = {}
    for gateways in (3, 40):
        fleet = Fleet(Shape(gateways=gateways, tasks=tasks, seconds=24, faults=0), 1)
        fleet.play()
        found[gateways] = fleet.calls["sent", fleet.names[-1]] / 24
    assert found[40] < 1.3 * found[3] + 1.0
