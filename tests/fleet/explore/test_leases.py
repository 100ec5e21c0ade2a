"""Exploration of the lease cores: no schedule breaches a guarantee, and each mutant does in its schedule."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.fleet.explore.leases import FAST_RATE, SLOW_RATE, LeaseWorld, Scenario
from tests.fleet.explore.mutants import MUTANTS
from tests.fleet.explore.schedules import MUTANT_SCHEDULES, GROWING_QUORUMS
from tests.exploration.search import replay, search, random_walks

SLOW_ACCEPTORS = (("x", FAST_RATE), ("y", FAST_RATE), ("a", SLOW_RATE), ("b", SLOW_RATE), ("c", SLOW_RATE))
TRUSTED_RESTARTS = Scenario(
    2, ticks=24, rates=(("y", FAST_RATE),), faults=("restart",), trusted_stores=True
)  # y sends at another interval than the holder, so that either may come first after a restart
COMPLETE_SEARCHES = {
    "any one fault, fast acceptors": Scenario(1, ticks=24),
    "any one fault, fast proposers": Scenario(1, ticks=24, rates=SLOW_ACCEPTORS),
    "any one fault, two slots": Scenario(1, ticks=24, slots=2),
    "any two faults at the start": Scenario(2, ticks=2),
    # Guards against slots that count as free once acceptors with trusted stores have restarted.
    "any two restarts with trusted stores": TRUSTED_RESTARTS,
}


@pytest.mark.parametrize("name", COMPLETE_SEARCHES)
def test_no_schedule_of_a_complete_search_breaches_a_guarantee(name):
    found = search(lambda: LeaseWorld(COMPLETE_SEARCHES[name]))
    print(found.line(name))
    assert found.breach is None
    assert not found.truncated
    assert found.schedules > 500


@pytest.mark.parametrize("slots", [1, 2])
def test_no_random_walk_with_many_faults_breaches_a_guarantee(slots):
    scenario = Scenario(14, ticks=60, slots=slots, faults=(*Scenario.faults, "partition_pair", "heal"))
    found = random_walks(lambda: LeaseWorld(scenario), 400, seed=slots, deviation_probability=0.06)
    print(found.line(f"walks with 14 faults, {slots} slots"))
    assert found.breach is None


def test_no_random_walk_with_quorum_changes_breaches_a_guarantee():
    """Each process receives the three changes at a different time, while acceptors are partitioned from
    proposers, lose their records and are paused."""
    faults = ("quorum", "quorum", "partition_pair", "lost", "late", "restart_empty", "pause")
    scenario = Scenario(22, ticks=50, faults=faults, quorums=GROWING_QUORUMS)
    found = random_walks(lambda: LeaseWorld(scenario), 250, seed=3, deviation_probability=0.12)
    print(found.line("walks through three changes of the quorum"))
    assert found.breach is None


def test_no_random_walk_with_restarts_of_trusted_stores_breaches_a_guarantee():
    """Guards against slots that count as free after restarts, also while proposers are replaced."""
    faults = ("restart", "new_proposer", "release")
    scenario = replace(TRUSTED_RESTARTS, deviations=14, ticks=60, faults=faults)
    found = random_walks(lambda: LeaseWorld(scenario), 400, seed=5, deviation_probability=0.12)
    print(found.line("walks with restarts of trusted stores"))
    assert found.breach is None


def test_the_holder_acts_on_while_all_acceptors_with_trusted_stores_restart():
    world = LeaseWorld(replace(TRUSTED_RESTARTS, deviations=3, ticks=60))
    pending = ["restart a at 26", "restart b at 26", "restart c at 26"]
    holder = ""
    while not world.over():
        options = world.choices()
        due = [choice for choice in pending if choice in options]
        if due:
            pending.remove(due[0])
            holder = holder or world.newest_act[1].partition("#")[0]
        world.take(due[0] if due else options[0])
        if holder:
            assert world.cores[holder].may_act(world.clocks[holder], "task") is not None, world.tick
    assert not pending
    assert world.newest_act[0] == 1


def test_without_faults_a_member_holds_the_task_and_the_next_one_acquires_it_after_a_release():
    world = LeaseWorld(Scenario(ticks=40))
    release = "release x at 20"
    while not world.over():
        options = world.choices()
        if release in options:
            world.take(release)
            release = ""
        else:
            world.take(options[0])
        assert world.tick < 1 or world.tick in range(20, 24) or world.newest_act[0] > 0
    assert world.newest_act[0] == 2
    assert world.cores["y"].may_act(world.clocks["y"], "task") == 2


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_breaches_a_guarantee(name):
    scenario, script = MUTANT_SCHEDULES[name]
    assert replay(lambda: LeaseWorld(scenario), script).breach is None
    with MUTANTS[name]():
        found = replay(lambda: LeaseWorld(scenario), script)
    assert found.breach is not None, "the schedule does not need the safeguard"
