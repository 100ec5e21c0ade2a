"""A partition of two regions for an hour while both publish: time and bytes until they are equal again.

The time is simulated, the feeds and followers are real. A thousand changes an hour are the share of one of
six regions at 68,000 changes and the endpoint lists of 72,000 restarts a day. With `-s` the tests print the
times and bytes.
"""

from __future__ import annotations

import msgspec
import pytest

from linenbridge.distribution.dissemination.settings import FeedSettings
from tests.distribution.dissemination.simulation.faults import breaches, different_digests, publish_over
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World

HOUR = 3_600
MAX_TIME_TO_EQUAL = 10 * SECOND  # after the heal: backoff of links and followers, and sending the changes


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
    """Return the encoded size of the newest change of each key that was published during the partition."""
    newest = {(change.kind, change.name): change for change in world.logs[region][2 * world.shape.keys :]}
    return sum(len(msgspec.msgpack.encode(change)) for change in newest.values())


def time_until_equal(world: World) -> int:
    """Return the microseconds until the digests at all gateways and relays are equal."""
    began = world.now
    while different_digests(world) and world.now < began + 120 * SECOND:
        world.run(0.5)
    return world.now - began


@pytest.mark.parametrize(("keys", "changes", "tombstones"), [(3_000, 1_000, 65_536), (1_000, 300, 20)])
def test_after_an_hours_partition_regions_are_equal_in_time_and_only_differences_are_sent(
    keys, changes, tombstones
):
    """With few tombstones the regions are behind each other's horizon, so that the ranges that differ are
    sent and a gateway needs the time that they take at its rate."""
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
