"""Faults of relays and gateways, in simulated time: all gateways recover to the published state.

The checker checks the record of each run. The same seed gives the same run.
"""

from __future__ import annotations

import pytest

from linenbridge.distribution.changes import Kind, range_of
from linenbridge.distribution.dissemination.settings import FeedSettings
from tests.distribution.dissemination.simulation import checker
from tests.distribution.dissemination.simulation.faults import (
    FEW_TOMBSTONES,
    MAX_RECOVERY,
    breaches,
    different_digests,
    following,
    gateways,
    publish_over,
    published,
    random_fault,
)
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World


@pytest.mark.parametrize("seed", range(8))
def test_all_tables_are_equal_after_random_faults(seed):
    """The faults are killed and stopped relays, gateways restarted with and without their stores, broken
    connections and partitioned regions. Half of the seeds have so few tombstones that ranges are needed."""
    world = World(Shape(feed=FEW_TOMBSTONES if seed % 2 else FeedSettings()), seed)
    world.run(2)
    publish_over(world, 24, 60)
    for _ in range(14):
        world.at(world.now + world.random.randrange(24 * SECOND), random_fault, world, world.random)
    world.run(70)

    assert breaches(world) == []
    assert not world.down


@pytest.mark.parametrize("stopped", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_followers_of_a_killed_or_stopped_relay_recover_within_four_seconds(seed, stopped):
    """A change that is published at the time of the fault is in force everywhere within four seconds."""
    world = World(Shape(gateways=12), seed)
    world.run(2)
    publish_over(world, 2, 20)
    world.run(8)
    victim = world.locations[seed % len(world.locations)].name
    if stopped:
        world.stop(victim, 10)
    else:
        world.kill(victim)
    region = next(each for each in world.regions if each != world.home[victim])
    for number, each in enumerate((world.home[victim], region)):
        world.publish(each, Kind.TENANT, f"marked{number}", b"1")
    began = world.now
    world.run(20)
    for number, each in enumerate((world.home[victim], region)):
        key = (each, Kind.TENANT, f"marked{number}")
        last = checker.last_in_force_at(world.record, key, 0, gateways(world))
        assert last is not None
        assert last - began <= MAX_RECOVERY

    assert checker.breaches_of_versions(world.record, published(world)) == []


@pytest.mark.parametrize("seed", range(2))
def test_followers_of_a_lost_relay_spread_within_max_followers_and_return(seed):
    """The maximum is one and a half times the fair share of 24 gateways at 4 relays."""
    bound = 9
    world = World(Shape(relays=4, gateways=24, feed=FeedSettings(max_followers=bound)), seed)
    world.run(8)

    assert following(world) == gateways(world)

    world.kill("r0-relay2")
    world.run(4)

    assert following(world) == gateways(world)

    for feed in world.feeds.values():
        assert sum("gateway" in name for name in feed.sessions) <= bound
    world.start_relay("r0-relay2")
    world.run(90)

    assert following(world) == gateways(world)
    assert len(world.feeds["r0-relay2"].sessions) >= 4, "followers that prefer this relay have returned"


def test_relays_of_another_region_are_followed_if_those_of_the_home_region_are_full():
    world = World(Shape(relays=2, gateways=10, feed=FeedSettings(max_followers=7)), 1)
    world.run(8)
    world.kill("r0-relay0")
    world.run(20)

    assert following(world) == gateways(world)

    relays = {world.followers[f"r0-gateway{n}"].relay for n in range(10)}

    assert relays >= {"r0-relay1", "r1-relay0"} or relays >= {"r0-relay1", "r1-relay1"}

    publish_over(world, 2, 10)
    world.run(10)

    assert breaches(world) == []


@pytest.mark.parametrize("relay", ["r1-relay1", "r0-relay1"])
def test_a_relay_whose_log_lacks_a_key_spreads_no_wrong_state(relay):
    """If the key is of the relay's own region, its followers follow other relays and log the digest mismatch.
    If it is of another region, the relay is a follower itself and is repaired."""
    world = World(Shape(), 2)
    world.run(2)
    publish_over(world, 4, 40)
    world.run(10)
    wrong = world.feeds[relay].logs["r1"]
    change = next(change for change in reversed(world.logs["r1"]) if wrong.newest(*change.key).value)
    wrong._remove(range_of(*change.key), f"{change.kind}/{change.name}", wrong.newest(*change.key))  # noqa: SLF001  # no input causes this fault
    publish_over(world, 20, 30)
    world.run(40)
    found = checker.breaches_of_versions(world.record, published(world))
    found += checker.breaches_at_end(world.record, published(world), gateways(world))

    assert found == []

    named = {
        event.fields["relay"]
        for _, core, event in world.events
        if event.name == "distribution.digest_differs" and core != f"{relay}:r1"
    }
    own = relay.startswith("r1")

    assert named == ({relay} if own else set())

    if not own:
        assert different_digests(world) == []


def test_a_gateway_that_lacks_a_key_is_repaired_by_the_ranges_that_differ():
    world = World(Shape(), 2)
    world.run(2)
    publish_over(world, 4, 40)
    world.run(10)
    tables = world.tables["r0-gateway2"]
    key = sorted(tables.rows["r1"])[3]
    tables.drop("r1", key)
    world.publish_some("r1", 1)
    world.run(20)

    assert tables.region_digests["r1"] == world.feeds["r0-relay0"].digest("r1")

    follower = world.followers["r0-gateway2"]

    assert 1 <= follower.counters.ranges <= 2, "only the ranges that differ are sent"
