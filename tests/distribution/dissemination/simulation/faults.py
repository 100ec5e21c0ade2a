"""Changes and faults of a simulated installation, and its records in the checker's form."""

from __future__ import annotations

from random import Random

from linenbridge.distribution.dissemination.settings import FeedSettings
from tests.distribution.dissemination.simulation import checker
from tests.distribution.dissemination.simulation.shape import SECOND, Shape
from tests.distribution.dissemination.simulation.world import World

MAX_RECOVERY = 4 * SECOND  # after a relay's death, and until a change is in force everywhere
FEW_TOMBSTONES = FeedSettings(max_tombstones=3)


def published(world: World) -> list[checker.Published]:
    """All changes, for the checker."""
    return [
        checker.Published(change.region, change.sequence, change.kind, change.name, change.value)
        for log in world.logs.values()
        for change in log
    ]


def gateways(world: World) -> list[str]:
    """Those that run."""
    return sorted(name for name in world.tables if name not in world.down)


def breaches(world: World, *, at_end: bool = True) -> list[checker.Breach]:
    """What the checker finds; `at_end`: everybody must be equal by now."""
    found = checker.breaches_of_versions(world.record, published(world))
    if at_end:
        found += checker.breaches_at_end(world.record, published(world), gateways(world))
        found += different_digests(world)
    for name in world.tables:
        found += checker.breaches_of_budget(world.bytes_to[name], world.shape.follower.rate, name)
    return found


def different_digests(world: World) -> list[checker.Breach]:
    """Regions whose digests are not the same at all gateways and relays that run."""
    found = []
    for region in world.regions:
        digests = {name: world.tables[name].sums[region] for name in gateways(world)}
        digests |= {name: feed.digest(region) for name, feed in world.feeds.items() if name not in world.down}
        if len(set(digests.values())) != 1:
            found.append(checker.Breach("digests differ", f"{region}: {digests}"))
    return found


def publish_over(world: World, seconds: int, number: int) -> None:
    """So many changes in each region, spread over a time."""
    for region in world.regions:
        for _ in range(number):
            at = world.now + world.random.randrange(seconds * SECOND)
            world.at(at, world.publish_some, region, 1)


def random_fault(world: World, random: Random) -> None:
    """One fault, by chance: a link, a relay, a gateway or two regions' links."""
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
    """The relays' reports to their publishers, for the checker."""
    return [
        checker.Report(at, relay, summary.region, summary.min_sequence, summary.unreached)
        for at, relay, progress in world.reports
        for summary in progress.below
    ]


def breaches_of_summaries(world: World) -> list[checker.Breach]:
    """Reports that name a change in force where it was not."""
    followed = [
        (at, core, str(event.fields["relay"]))
        for at, core, event in world.events
        if event.name == "distribution.following"
    ]
    return checker.breaches_of_summaries(reports(world), world.reached, followed, 3 * SECOND)


def following(world: World) -> list[str]:
    """Gateways that follow a relay."""
    return [name for name in gateways(world) if world.followers[name].following]


def calm_world() -> World:
    """An installation without faults, after forty changes in each region."""
    world = World(Shape(), 3)
    world.run(2)
    publish_over(world, 4, 40)
    world.run(10)
    assert breaches(world) == []
    return world


def rules(found: list[checker.Breach]) -> set[str]:
    """The rules that were broken."""
    return {breach.rule for breach in found}
