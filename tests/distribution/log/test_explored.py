"""Exploration of a region's log: no schedule breaches a guarantee, and each mutant does in its schedule."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from linenbridge.distribution.changes import Kind
from linenbridge.distribution.decisions import Persist
from tests.distribution.log.checker import LogChecker
from tests.distribution.log.explored import LogScenario, LogWorld
from tests.distribution.log.mutants import MUTANTS
from tests.distribution.log.schedules import MUTANT_SCHEDULES
from tests.distribution.log.world import REGION
from tests.exploration.search import replay, search, random_walks

ALL_FAULTS = (*LogScenario.faults, "restart_oldest", "same_term", "partition_pair")
PARTITION_FAULTS = (
    "partition_pair",
    "partition_pair",
    "partition_pair",
    "next_term",
    "restart",
    "restart_empty",
    "restart_older",
)
SEARCHES = {
    "any one fault": LogScenario(ticks=8),
    "any one fault around a new publisher": LogScenario(ticks=9, replace_at=(3,)),
    "any one fault, slow disks": LogScenario(ticks=8, slow_disks=True, replace_at=(3,)),
    "any one fault, two new publishers": LogScenario(ticks=9, publish_at=(1, 4), replace_at=(2, 5)),
}
WALKS_EACH = 25
EVERY_TICK = tuple(range(1, 60))
WALKS = {
    "partitions": (LogScenario(60, ticks=60, publish_at=EVERY_TICK, faults=PARTITION_FAULTS), 0.4),
    "partitions, slow disks": (
        LogScenario(60, ticks=60, publish_at=EVERY_TICK, faults=PARTITION_FAULTS, slow_disks=True),
        0.4,
    ),
    "few faults": (LogScenario(14, ticks=60, publish_at=tuple(range(1, 60, 2)), faults=ALL_FAULTS), 0.05),
    "many faults": (LogScenario(60, ticks=60, publish_at=tuple(range(1, 60, 2)), faults=ALL_FAULTS), 0.25),
    "slow disks": (LogScenario(20, ticks=40, publish_at=tuple(range(1, 40, 2)), slow_disks=True), 0.1),
    "pages": (LogScenario(20, ticks=40, publish_at=tuple(range(1, 40, 3)), value_bytes=30_000), 0.1),
}


@pytest.mark.parametrize("name", SEARCHES)
def test_no_schedule_of_a_complete_search_breaches_the_log(name):
    found = search(lambda: LogWorld(SEARCHES[name]))
    print(found.line(name))
    assert found.breach is None
    assert not found.truncated
    assert found.schedules > 200


@pytest.mark.parametrize("name", WALKS)
def test_no_random_walk_breaches_the_log(name):
    scenario, odds = WALKS[name]
    found = random_walks(lambda: LogWorld(scenario), WALKS_EACH, seed=1, deviation_probability=odds)
    print(found.line(f"walks, {name}"))
    assert found.breach is None


MANY_DELETIONS = LogScenario(
    16,
    ticks=60,
    publish_at=tuple(range(1, 60, 2)),
    faults=(*ALL_FAULTS, "copy_disk"),
    keys=tuple("klmn"),
    deletes=True,
    max_tombstones=2,
)


def test_no_random_walk_with_purged_tombstones_restores_a_deleted_key():
    found = random_walks(lambda: LogWorld(MANY_DELETIONS), WALKS_EACH, seed=2, deviation_probability=0.07)
    print(found.line("walks, purged tombstones"))
    assert found.breach is None


@pytest.mark.parametrize("slow_disks", [False, True])
def test_without_faults_changes_are_accepted_and_the_next_publisher_continues_the_log(slow_disks):
    scenario = LogScenario(ticks=24, publish_at=(1, 4, 16, 19), replace_at=(10,), slow_disks=slow_disks)
    world = LogWorld(scenario)
    while not world.over():
        world.take(world.choices()[0])
    assert world.breach() is None
    accepted = world.checker.accepted.values()
    last = {disk.committed for disk in world.checker.disks.values()}
    assert len(accepted) >= 4
    assert last == {max(sequence for _, sequence in accepted)}


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_breaches_the_log(name):
    scenario, script = MUTANT_SCHEDULES[name]
    assert replay(lambda: LogWorld(scenario), script).breach is None
    with MUTANTS[name]():
        found = replay(lambda: LogWorld(scenario), script)
    print(f"{name}: {(found.breach or '')[:80]}")
    assert found.breach is not None, "the mutant does not breach in its schedule"


def world_without_faults() -> LogWorld:
    world = LogWorld(LogScenario(ticks=6, publish_at=(1, 2)))
    while not world.over():
        world.take(world.choices()[0])
    assert world.breach() is None
    return world


def breach_after_write(world: LogWorld, **fields: object) -> str | None:
    """Return the checker's breach after a write to relay a's disk that has the given fields."""
    stored = world.disks["a"][-1]
    write = Persist(99, None, [], stored.epoch, stored.committed, stored.publisher, stored.incarnation)
    world.checker.on_persisted("a", msgspec.structs.replace(write, **fields))
    return world.checker.breach


PLANTED_BREACHES = {
    "a committed entry truncated": ({"truncate_after": 2}, "truncated committed entries"),
    "an epoch that goes back": ({"epoch": 0}, "went back from epoch"),
    "a committed sequence that goes back": ({"committed": 1}, "went back from committed"),
}


@pytest.mark.parametrize("name", PLANTED_BREACHES)
def test_the_checker_detects_a_planted_breach(name):
    fields, message = PLANTED_BREACHES[name]
    assert message in (breach_after_write(world_without_faults(), **fields) or "")


def test_the_checker_detects_two_entries_at_one_sequence_and_a_lost_accepted_change():
    world = world_without_faults()
    change = next(row for row in world.disks["a"][-1].changes if row.kind == Kind.TENANT)
    world.checker.on_delivered("b", [change])
    assert "b delivered" in (world.checker.breach or "")
    checker = LogChecker(("a",))
    checker.accepted[1] = ("k", 3)
    checker.on_persisted("a", Persist(1, None, [change], 1, change.sequence, "p", 1))
    assert "without key k of 3" in (checker.breach or "")
    checker = LogChecker(("a", "b"))
    checker.on_delivered("a", [change])
    other = type(change)(REGION, 2, change.sequence, change.kind, change.name, b"other")
    checker.on_delivered("b", [other])
    assert f"at {change.sequence}, where" in (checker.breach or "")


def test_random_walks_with_the_same_seed_visit_the_same_states():
    scenario, odds = WALKS["many faults"]
    short = replace(scenario, ticks=20)
    lines = {
        random_walks(lambda: LogWorld(short), 5, seed=7, deviation_probability=odds).states for _ in range(2)
    }
    assert len(lines) == 1
