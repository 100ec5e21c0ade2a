"""Simulated fleets: many fault schedules, reproducible records, and the message rate by size of the fleet."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from hashlib import sha256
from os import cpu_count

import pytest

from tests.fleet.procs.checker import breaches, longest_gap
from tests.fleet.sim.world import SimulatedFleet, FleetShape

MAX_GAP = 6.0  # seconds after the last fault: a lease, heartbeats, and the acceptors' recovery


def play(seed: int) -> tuple[int, list[str]]:
    """Play one schedule; return the number of acts, and the breaches by the checker of the process tests."""
    fleet = SimulatedFleet(FleetShape(), seed)
    fleet.run()
    found = breaches(fleet.actions, [])
    for task in range(fleet.shape.tasks):
        gap = longest_gap(
            fleet.actions, f"task-{task}", 0.75 * fleet.shape.seconds + 4.5, fleet.shape.seconds
        )
        if gap > MAX_GAP:
            found.append(f"task-{task} had no holder for {gap:.1f} s")
    return len(fleet.actions), [f"seed {seed}: {text}" for text in found]


def record_digest(shape: FleetShape, seed: int) -> str:
    """Play one schedule; return the digest of its record."""
    return sha256("\n".join(SimulatedFleet(shape, seed).run()).encode()).hexdigest()


def test_no_simulated_schedule_breaches_a_guarantee(schedules):
    """Ten simulated schedules are played for each schedule of the process tests."""
    seeds = range(10 * schedules.start, 10 * schedules.stop)
    with ProcessPoolExecutor(min(8, cpu_count() or 1)) as pool:
        rows = list(pool.map(play, seeds, chunksize=5))

    acts = sum(count for count, _ in rows)
    all_breaches = [text for _, found in rows for text in found]
    print(f"\nleases simulated: {len(seeds)} schedules, {acts} acts, {len(all_breaches)} breaches")
    assert not all_breaches
    assert acts > 100 * len(seeds)


def test_the_same_seed_gives_the_same_record():
    shape = FleetShape(gateways=200, acceptors=5, tasks=10, seconds=8, faults=20)
    first = record_digest(shape, 7)
    assert record_digest(shape, 7) == first
    assert record_digest(shape, 8) != first


@pytest.mark.parametrize("tasks", [1, 10])
def test_a_members_steady_message_rate_does_not_grow_with_the_fleet(tasks):
    calls_per_second = {}
    for gateways in (3, 40):
        fleet = SimulatedFleet(FleetShape(gateways=gateways, tasks=tasks, seconds=24, faults=0), 1)
        fleet.run()
        calls_per_second[gateways] = fleet.calls["sent", fleet.names[-1]] / 24

    assert calls_per_second[40] < 1.3 * calls_per_second[3] + 1.0
