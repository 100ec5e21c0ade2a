"""Bytes sent and times until changes are in force: a burst, changes of six regions, a long catch-up.

All times are simulated.
"""

from __future__ import annotations

from linenbridge.distribution.changes import Kind
from tests.distribution.dissemination.simulation import checker
from tests.distribution.dissemination.simulation.faults import (
    MAX_RECOVERY,
    breaches,
    gateways,
    publish_over,
)
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World


def test_a_burst_of_changes_is_sent_within_each_gateways_budget():
    world = World(Shape(keys=400), 1)
    world.run(2)
    for region in world.regions:
        world.publish_some(region, 2_000)
    world.run(20)

    assert breaches(world) == []

    sent = sum(size for _, size in world.bytes_to["r0-gateway0"])

    assert sent < 2 * 400 * 200, "only the newest change of each key is sent"


def test_changes_of_six_regions_are_in_force_everywhere_within_the_target_time():
    """The rate of changes is ten times the average of a day. With `-s` the test prints the times from the
    publishing of a change until it is in force at each gateway, and the bytes sent."""
    world = World(Shape(regions=6, relays=2, gateways=2, keys=500), 7)
    world.run(3)
    publish_over(world, 20, 110)
    world.run(30)

    assert breaches(world) == []

    times = sorted(
        line.at - world.published_at[line.region, line.version.sequence]
        for line in world.record
        if line.version is not None
    )
    p50, p99, longest = times[len(times) // 2], times[len(times) * 99 // 100], times[-1]
    sent = [sum(size for _, size in world.bytes_to[name]) for name in world.tables]
    print(f"in force: {len(times)} times, p50 {p50} us, p99 {p99} us, max {longest} us")
    print(
        f"sent to a gateway: at most {max(sent) / 33:.0f} bytes a second, {6 * 110 / 20:.0f} changes a second"
    )

    assert p99 <= 1_500_000
    assert longest <= 4 * SECOND


def test_a_long_catch_up_of_one_region_does_not_delay_a_change_of_another():
    world = World(Shape(keys=4_000, relays=2, gateways=2), 1)
    world.publish_some("r0", 4_000)
    world.run(4)
    world.publish("r1", Kind.TENANT, "urgent", b"1")
    began = world.now
    world.run(30)
    last = checker.last_in_force_at(world.record, ("r1", Kind.TENANT, "urgent"), 0, gateways(world))

    assert last is not None
    assert last - began < MAX_RECOVERY
    assert breaches(world) == []
