"""The lease cores explored: no schedule breaks a property, and without any one guard some schedule does."""

from __future__ import annotations

import pytest

from tests.fleet.explore.leases import FAST, SLOW, LeaseWorld, Scenario
from tests.fleet.explore.mutants import MUTANTS
from tests.fleet.explore.schedules import DEEP, GROWS
from tests.fleet.explore.search import follow, search, wander

SLOW_ACCEPTORS = (("x", FAST), ("y", FAST), ("a", SLOW), ("b", SLOW), ("c", SLOW))
WHOLE = {
    "any one fault, fast acceptors": Scenario(1, ticks=24),
    "any one fault, fast proposers": Scenario(1, ticks=24, rates=SLOW_ACCEPTORS),
    "any one fault, two places": Scenario(1, ticks=24, places=2),
    "any two faults at the start": Scenario(2, ticks=2),
}


@pytest.mark.parametrize("name", WHOLE)
def test_no_schedule_breaks_a_lease(name):
    found = search(lambda: LeaseWorld(WHOLE[name]))
    print(found.line(name))
    assert found.breach is None and not found.cut and found.schedules > 500


@pytest.mark.parametrize("places", [1, 2])
def test_no_long_walk_breaks_a_lease(places):
    scenario = Scenario(14, ticks=60, places=places, faults=(*Scenario.faults, "part", "mend"))
    found = wander(lambda: LeaseWorld(scenario), 400, seed=places, odds=0.06)
    print(found.line(f"walks with 14 faults, {places} places"))
    assert found.breach is None


def test_no_walk_through_changes_of_the_quorum_breaks_a_lease():
    """Three changes, handed to each process at another moment, with acceptors parted, blank and stopped."""
    faults = ("quorum", "quorum", "part", "lost", "late", "blank", "stopped")
    scenario = Scenario(22, ticks=50, faults=faults, quorums=GROWS)
    found = wander(lambda: LeaseWorld(scenario), 250, seed=3, odds=0.12)
    print(found.line("walks through three changes of the quorum"))
    assert found.breach is None


def test_somebody_holds_the_task_where_nothing_goes_wrong_and_the_next_takes_it_up():
    world = LeaseWorld(Scenario(ticks=40))
    leaves = "leave x at 20"
    while not world.over():
        options = world.choices()
        choice, leaves = (leaves, "") if leaves in options else (options[0], leaves)
        world.take(choice)
        assert world.tick < 1 or world.tick in range(20, 24) or world.newest_act[0] > 0
    assert world.newest_act[0] == 2 and world.cores["y"].may_act(world.now_of["y"], "task") == 2


@pytest.mark.parametrize("name", MUTANTS)
def test_each_guard_taken_away_is_seen(name):
    scenario, script = DEEP[name]
    assert follow(lambda: LeaseWorld(scenario), script).breach is None
    with MUTANTS[name]():
        found = follow(lambda: LeaseWorld(scenario), script)
    assert found.breach is not None, "a guard that nothing needs"
