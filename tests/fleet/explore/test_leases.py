"""The lease cores explored: no schedule breaks a property, without any one safeguard some schedule does."""

from __future__ import annotations

import pytest

from tests.fleet.explore.leases import FAST, SLOW, LeaseWorld, Scenario
from tests.fleet.explore.mutants import MUTANTS
from tests.fleet.explore.schedules import DEEP, GROWS
from tests.exploration.search import replay, search, random_walks

SLOW_ACCEPTORS = (("x", FAST), ("y", FAST), ("a", SLOW), ("b", SLOW), ("c", SLOW))
COMPLETE_SEARCHES = {
    "any one fault, fast acceptors": Scenario(1, ticks=24),
    "any one fault, fast proposers": Scenario(1, ticks=24, rates=SLOW_ACCEPTORS),
    "any one fault, two slots": Scenario(1, ticks=24, slots=2),
    "any two faults at the start": Scenario(2, ticks=2),
}


@pytest.mark.parametrize("name", COMPLETE_SEARCHES)
def test_no_schedule_breaks_a_lease(name):
    found = search(lambda: LeaseWorld(COMPLETE_SEARCHES[name]))
    print(found.line(name))
    assert found.breach is None
    assert not found.truncated
    assert found.schedules > 500


@pytest.mark.parametrize("slots", [1, 2])
def test_no_long_walk_breaks_a_lease(slots):
    scenario = Scenario(14, ticks=60, slots=slots, faults=(*Scenario.faults, "part", "mend"))
    found = random_walks(lambda: LeaseWorld(scenario), 400, seed=slots, deviation_probability=0.06)
    print(found.line(f"walks with 14 faults, {slots} slots"))
    assert found.breach is None


def test_no_walk_through_changes_of_the_quorum_breaks_a_lease():
    """Each process receives the three changes at another moment; acceptors are parted, emptied and paused."""
    faults = ("quorum", "quorum", "part", "lost", "late", "blank", "stopped")
    scenario = Scenario(22, ticks=50, faults=faults, quorums=GROWS)
    found = random_walks(lambda: LeaseWorld(scenario), 250, seed=3, deviation_probability=0.12)
    print(found.line("walks through three changes of the quorum"))
    assert found.breach is None


def test_without_faults_a_member_holds_the_task_and_the_next_one_acquires_it_after_a_release():
    world = LeaseWorld(Scenario(ticks=40))
    release = "leave x at 20"
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
def test_each_disabled_safeguard_breaks_a_lease(name):
    scenario, script = DEEP[name]
    assert replay(lambda: LeaseWorld(scenario), script).breach is None
    with MUTANTS[name]():
        found = replay(lambda: LeaseWorld(scenario), script)
    assert found.breach is not None, "a safeguard that nothing needs"
