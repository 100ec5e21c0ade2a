"""Regions that lose each other for an hour while both publish, and meet again: time and bytes until in step.

Simulated time, real cores. A thousand changes in an hour are what one of six regions publishes of 68,000
changes and of the lists of 72,000 restarts a day. `-s` prints what was measured.
"""

from __future__ import annotations

import msgspec
import pytest

from linenbridge.distribution.dissemination.settings import FeedSettings
from tests.distribution.dissemination.simulation.faults import breaches, different_digests, publish_over
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World

HOUR = 3_600
MAX_TIME_TO_EQUAL = (
    10 * SECOND
)  # after the regions have met: back-off of the links and of the followers, and the bytes


def partitioned_for_an_hour(keys: int, changes: int, tombstones: int) -> World:
    world = World(Shape(relays=1, gateways=1, keys=keys, feed=FeedSettings(max_tombstones=tombstones)), 1)
    for region in world.regions:
        world.publish_some(region, 2 * keys)
    world.run(120)
    assert breaches(world) == []
    world.partition(*world.regions)
    publish_over(world, HOUR - 30, changes)
    world.run(HOUR)
    for name in world.bytes_to:
        world.bytes_to[name].clear()
    world.heal()
    return world


def changed_bytes(world: World, region: str) -> int:
    """The newest change of each key that was published during the cut, encoded."""
    newest = {(change.kind, change.name): change for change in world.logs[region][2 * world.shape.keys :]}
    return sum(len(msgspec.msgpack.encode(change)) for change in newest.values())


def time_until_equal(world: World) -> int:
    """Microseconds until all are equal."""
    began = world.now
    while different_digests(world) and world.now < began + 120 * SECOND:
        world.run(0.5)
    return world.now - began


@pytest.mark.parametrize(("keys", "changes", "tombstones"), [(3_000, 1_000, 65_536), (1_000, 300, 20)])
def test_an_hours_partition_heals_within_a_bound_and_costs_what_differs(keys, changes, tombstones):
    """With few tombstones the regions are behind each other's horizon: then ranges that differ are sent, and
    a gateway takes as long as they need at its rate."""
    world = partitioned_for_an_hour(keys, changes, tombstones)
    before = {name: follower.counters.ranges for name, follower in world.followers.items()}
    elapsed = time_until_equal(world)

    assert breaches(world) == []

    allowed = MAX_TIME_TO_EQUAL
    for relay, other in (("r0-relay0", "r1"), ("r1-relay0", "r0")):
        differs = changed_bytes(world, other)
        sent = sum(size for _, size in world.bytes_to[relay])
        ranges = world.followers[f"{relay}:{other}"].counters.ranges - before[f"{relay}:{other}"]
        sizes = f"{sent} bytes for {differs} that differ, {ranges} ranges"
        print(f"partition: {relay} {elapsed / SECOND:.1f} s, {sizes}")
        if tombstones == 65_536:
            assert ranges == 0
            assert sent <= 2 * differs
        else:
            assert 0 < ranges <= 1024
            allowed = max(allowed, MAX_TIME_TO_EQUAL + sent * SECOND // world.shape.follower.rate)

    assert elapsed <= allowed
