"""Summaries along the tree, in simulated time: a change that is reported in force is in force."""

from __future__ import annotations

import pytest

from tests.distribution.dissemination.simulation.faults import (
    breaches_of_summaries,
    publish_over,
    random_fault,
    reports,
)
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World


@pytest.mark.parametrize("seed", range(4))
def test_summaries_never_report_a_change_in_force_where_it_is_not(seed):
    world = World(Shape(), seed)
    world.run(2)
    publish_over(world, 10, 25)
    for _ in range(5):
        world.at(world.now + world.random.randrange(10 * SECOND), random_fault, world, world.random)
    world.run(30)

    assert breaches_of_summaries(world) == []

    for region in world.regions:
        newest = {
            relay: progress.below[0] for _, relay, progress in world.reports if relay.startswith(region)
        }
        relays = world.shape.relays * (len(world.regions) - 1)
        assert sum(each.followers for each in newest.values()) == len(world.tables) + relays
        assert {each.min_sequence for each in newest.values()} == {len(world.logs[region])}
        assert sum(each.unreached_count for each in newest.values()) == 0
        assert sum(each.lag_histogram[0] for each in newest.values()) == len(world.tables) + relays


def test_a_lost_gateway_is_reported_unreached_until_it_follows_a_relay_again():
    world = World(Shape(), 5)
    world.run(2)
    lost = "r0-gateway3"
    world.kill(lost)
    for region in world.regions:
        world.publish_some(region, 3)
    world.run(6)
    for region in world.regions:
        newest = {report.relay: report for report in reports(world) if report.region == region}
        assert [name for report in newest.values() for name in report.unreached] == [lost]
        assert {report.min_sequence for report in newest.values()} == {3}
    world.restart_gateway(lost)
    world.run(6)

    assert {name for report in reports(world)[-6:] for name in report.unreached} == set()
    assert breaches_of_summaries(world) == []
