"""Feeds, followers and the gateways' real views with random faults: all digests are equal at the end."""

from __future__ import annotations

import pytest

from linenbridge.distribution.changes import Version
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.dissemination.settings import FeedSettings
from linenbridge.distribution.view.view import View
from tests.distribution.dissemination.simulation.faults import FEW_TOMBSTONES, publish_over, random_fault
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World
from tests.helpers import startup


class SimulatedView(View):
    """A view that has the interface of the simulated installation's `Tables`."""

    def __init__(self) -> None:
        super().__init__(startup().methods, 10 * SECOND)

    @property
    def at(self) -> dict[str, Version]:
        return {position.region: position.version for position in self.positions()}


class WorldOfViews(World):
    """A simulated installation whose gateways have real views.

    The record stays empty. The values are random bytes, which a view rejects, but counts as seen.
    """

    def _clear_store(self, name: str) -> None:
        self.tables[name] = SimulatedView()

    def _apply_at_gateway(self, gateway: str, core: Follower, decision: Apply | ReplaceRange) -> None:
        view = self.tables[gateway]
        applied = view.apply(decision) if isinstance(decision, Apply) else view.replace(decision)
        core.on_applied(self.now, applied.region, applied.upto, applied.digest)


@pytest.mark.parametrize("seed", range(4))
def test_views_and_compacted_logs_are_equal_after_random_faults(seed):
    world = WorldOfViews(Shape(feed=FEW_TOMBSTONES if seed % 2 else FeedSettings()), seed)
    world.run(2)
    publish_over(world, 24, 60)
    for _ in range(14):
        world.at(world.now + world.random.randrange(24 * SECOND), random_fault, world, world.random)
    world.run(60)
    for region in world.regions:
        tables = {feed.digest(region) for feed in world.feeds.values()}
        assert len(tables) == 1
        assert {view.digest(region) for view in world.tables.values()} == tables
    ranges = sum(follower.counters.ranges for follower in world.followers.values())

    assert bool(ranges) == (world.shape.feed == FEW_TOMBSTONES)
