"""Changes and faults of a simulated installation, and its records in the form that the checker reads."""

from __future__ import annotations

from random import Random

from linenbridge.distribution.dissemination.settings import FeedSettings
from tests.distribution.dissemination.simulation import checker
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World

MAX_RECOVERY = 4 * SECOND  # from the kill of a relay until a change is in force everywhere
FEW_TOMBSTONES = FeedSettings(max_tombstones=3)


def published(world: World) -> list[checker.Published]:
    """Return all published changes, for the checker."""
    return [
        checker.Published(change.region, change.sequence, change.kind, change.name, change.value)
        for log in world.logs.values()
        for change in log
    ]


def gateways(world: World) -> list[str]:
    """Return the names of the running gateways."""
    return sorted(name for name in world.tables if name not in world.down)


def breaches(world: World, *, at_end: bool = True) -> list[checker.Breach]:
    """Return the breaches that the checker finds. With `at_end`, all gateways and relays have to be equal."""
    found = checker.breaches_of_versions(world.record, published(world))
    if at_end:
        found += checker.breaches_at_end(world.record, published(world), gateways(world))
        found += different_digests(world)
    for name in world.tables:
        found += checker.breaches_of_budget(world.bytes_to[name], world.shape.follower.rate, name)
    return found


def different_digests(world: World) -> list[checker.Breach]:
    """Return a breach for each region whose digests differ between running gateways and relays."""
    found = []
    for region in world.regions:
        digests = {name: world.tables[name].region_digests[region] for name in gateways(world)}
        digests |= {name: feed.digest(region) for name, feed in world.feeds.items() if name not in world.down}
        if len(set(digests.values())) != 1:
            found.append(checker.Breach("digests differ", f"{region}: {digests}"))
    return found


def publish_over(world: World, seconds: int, number: int) -> None:
    """Schedule `number` changes in each region at random times within `seconds`."""
    for region in world.regions:
        for _ in range(number):
            at = world.now + world.random.randrange(seconds * SECOND)
            world.at(at, world.publish_some, region, 1)


def random_fault(world: World, random: Random) -> None:
    """Cause one random fault of a link, a relay, a gateway or all links between two regions."""
    relay = random.choice(world.locations).name
    gateway = random.choice(sorted(world.tables))
    kind = random.choice(("break link", "kill", "stop", "restart", "restart emptied", "partition"))
    if kind == "break link":
        world.break_random_link()
    elif kind == "kill" and relay not in world.down | world.stopped:
        world.kill(relay)
        world.at(world.now + random.randrange(SECOND, 8 * SECOND), world.start_relay, relay)
    elif kind == "stop" and relay not in world.down | world.stopped:
        world.stop(relay, random.randrange(1, 10))
    elif kind == "restart" and gateway not in world.down:
        world.kill(gateway)
        world.at(world.now + SECOND, world.restart_gateway, gateway)
    elif kind == "restart emptied" and gateway not in world.down:
        world.kill(gateway)
        world.at(world.now + SECOND, world.start_gateway, gateway, world.home[gateway])
    elif kind == "partition":
        world.partition(*random.sample(world.regions, 2))
        world.at(world.now + random.randrange(SECOND, 6 * SECOND), world.heal)


def reports(world: World) -> list[checker.Report]:
    """Return the relays' reports to their publishers, for the checker."""
    return [
        checker.Report(at, relay, summary.region, summary.min_sequence, summary.unreached)
        for at, relay, progress in world.reports
        for summary in progress.below
    ]


def breaches_of_summaries(world: World) -> list[checker.Breach]:
    """Return the breaches by reports of a change as in force where it was not."""
    followed = [
        (at, core, str(event.fields["relay"]))
        for at, core, event in world.events
        if event.name == "distribution.following"
    ]
    return checker.breaches_of_summaries(reports(world), world.reached, followed, 3 * SECOND)


def following(world: World) -> list[str]:
    """Return the names of the gateways that follow a relay."""
    return [name for name in gateways(world) if world.followers[name].following]


def calm_world() -> World:
    """Return an installation without faults, after forty changes in each region."""
    world = World(Shape(), 3)
    world.run(2)
    publish_over(world, 4, 40)
    world.run(10)
    assert breaches(world) == []
    return world


def rules(found: list[checker.Breach]) -> set[str]:
    """Return the broken rules."""
    return {breach.rule for breach in found}
