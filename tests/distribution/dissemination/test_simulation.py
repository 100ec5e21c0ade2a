"""Feeds and followers in simulated time, with faults by a seed, judged from the record.

Every test names its seeds; the same seed gives the same run.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import msgspec
import pytest

from linenbridge.distribution.dissemination import acceptance, flow_control
from linenbridge.distribution.changes import Kind, range_of
from linenbridge.distribution.dissemination.feed import FeedSettings
from linenbridge.distribution.messages import Batch, RangeSnapshot
from tests.distribution.dissemination import checker
from tests.distribution.dissemination.world import SECOND, InForce, Shape, World

MADE_GOOD = 4 * SECOND  # a relay's death, and the aim for a change to be in force everywhere
FEW_TOMBSTONES = FeedSettings(tombstones_most=3)


def published(world: World) -> list[checker.Published]:
    return [
        checker.Published(change.region, change.sequence, change.kind, change.name, change.value)
        for log in world.logs.values()
        for change in log
    ]


def gateways(world: World) -> list[str]:
    return sorted(name for name in world.tables if name not in world.down)


def breaches(world: World, at_end: bool = True) -> list[checker.Breach]:
    found = checker.breaches_of_versions(world.record, published(world))
    if at_end:
        found += checker.breaches_at_end(world.record, published(world), gateways(world))
        found += different_digests(world)
    for name in world.tables:
        found += checker.breaches_of_budget(world.bytes_to[name], world.shape.follower.rate, name)
    return found


def different_digests(world: World) -> list[checker.Breach]:
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
            at = world.now + world.dice.randrange(seconds * SECOND)
            world.at(at, world.publish_some, region, 1)


def random_fault(world: World, dice: Random) -> None:
    relay = dice.choice(world.places).name
    gateway = dice.choice(sorted(world.tables))
    kind = dice.choice(("cut", "kill", "stop", "kept", "emptied", "part"))
    if kind == "cut":
        world.cut_some()
    elif kind == "kill" and relay not in world.down | world.stopped:
        world.kill(relay)
        world.at(world.now + dice.randrange(SECOND, 8 * SECOND), world.start_relay, relay)
    elif kind == "stop" and relay not in world.down | world.stopped:
        world.stop(relay, dice.randrange(1, 10))
    elif kind in ("kept", "emptied") and gateway not in world.down:
        world.kill(gateway)
        region = world.home[gateway]
        world.at(world.now + SECOND, world.start_gateway, gateway, region, kind == "kept")
    elif kind == "part":
        world.part(*dice.sample(world.regions, 2))
        world.at(world.now + dice.randrange(SECOND, 6 * SECOND), world.meet)


@pytest.mark.parametrize("seed", range(8))
def test_all_are_equal_after_any_faults(seed):
    """Relays killed and stopped, gateways restarted with stores kept and emptied, connections broken, regions
    apart; half of the seeds with so few tombstones that ranges are needed."""
    world = World(Shape(feed=FEW_TOMBSTONES if seed % 2 else FeedSettings()), seed)
    world.run(2)
    publish_over(world, 24, 60)
    for _ in range(14):
        world.at(world.now + world.dice.randrange(24 * SECOND), random_fault, world, world.dice)
    world.run(70)
    assert breaches(world) == []
    assert not world.down


@pytest.mark.parametrize("stopped", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_the_death_of_a_relay_is_made_good_within_four_seconds(seed, stopped):
    """A change published at the moment of the fault is in force everywhere in time."""
    world = World(Shape(gateways=12), seed)
    world.run(2)
    publish_over(world, 2, 20)
    world.run(8)
    victim = world.places[seed % len(world.places)].name
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
        last = checker.latest_in_force(world.record, key, 0, gateways(world))
        assert last is not None
        assert last - began <= MADE_GOOD
    assert checker.breaches_of_versions(world.record, published(world)) == []


def reports(world: World) -> list[checker.Report]:
    return [
        checker.Report(at, relay, summary.region, summary.min_sequence, summary.unreached)
        for at, relay, progress in world.reports
        for summary in progress.below
    ]


def breaches_of_sums(world: World) -> list[checker.Breach]:
    followed = [
        (at, core, str(event.fields["relay"]))
        for at, core, event in world.events
        if event.name == "distribution.following"
    ]
    return checker.breaches_of_sums(reports(world), world.reached, followed, 3 * SECOND)


@pytest.mark.parametrize("seed", range(4))
def test_the_sums_never_say_in_force_where_it_is_not(seed):
    world = World(Shape(), seed)
    world.run(2)
    publish_over(world, 10, 25)
    for _ in range(5):
        world.at(world.now + world.dice.randrange(10 * SECOND), random_fault, world, world.dice)
    world.run(30)
    assert breaches_of_sums(world) == []
    for region in world.regions:
        newest = {
            relay: progress.below[0] for _, relay, progress in world.reports if relay.startswith(region)
        }
        relays = world.shape.relays * (len(world.regions) - 1)
        assert sum(each.followers for each in newest.values()) == len(world.tables) + relays
        assert {each.min_sequence for each in newest.values()} == {len(world.logs[region])}
        assert sum(each.unreached_count for each in newest.values()) == 0
        assert sum(each.lag_histogram[0] for each in newest.values()) == len(world.tables) + relays


def test_a_gateway_that_is_lost_is_named_until_it_is_back_at_any_relay():
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
        assert {report.least for report in newest.values()} == {3}
    world.start_gateway(lost, "r0", kept=True)
    world.run(6)
    assert {name for report in reports(world)[-6:] for name in report.unreached} == set()
    assert breaches_of_sums(world) == []


def following(world: World) -> list[str]:
    return [name for name in gateways(world) if world.followers[name].following]


@pytest.mark.parametrize("seed", range(2))
def test_the_followers_of_a_lost_relay_are_spread_within_the_bound_and_come_back(seed):
    """A bound of one and a half times the fair share of 24 gateways over 4 relays."""
    bound = 9
    world = World(Shape(relays=4, gateways=24, feed=FeedSettings(followers_most=bound)), seed)
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
    assert len(world.feeds["r0-relay2"].sessions) >= 4, "those whose first relay it is have gone back"


def test_where_the_own_regions_relays_are_full_those_of_another_are_taken():
    world = World(Shape(relays=2, gateways=10, feed=FeedSettings(followers_most=7)), 1)
    world.run(8)
    world.kill("r0-relay0")
    world.run(20)
    assert following(world) == gateways(world)
    relays = {world.followers[f"r0-gateway{n}"].relay for n in range(10)}
    assert relays >= {"r0-relay1", "r1-relay0"} or relays >= {"r0-relay1", "r1-relay1"}
    publish_over(world, 2, 10)
    world.run(10)
    assert breaches(world) == []


class Spoiler:
    """What one relay does to its messages, by chance: nothing of it may come into force."""

    def __init__(self, relay: str, kind: str, dice: Random) -> None:
        self.relay, self.kind, self.dice = relay, kind, dice
        self.earlier: list[Batch | RangeSnapshot] = []
        self.held: list[Batch | RangeSnapshot] = []
        self.done = 0

    def __call__(self, sender: str, to: str, message):
        if sender != self.relay or not isinstance(message, Batch | RangeSnapshot):
            return [message]
        self.earlier.append(message)
        if self.dice.random() > 0.3:
            held, self.held = self.held, []
            return [message, *held]
        self.done += 1
        return getattr(self, self.kind)(message)

    def spoilt(self, message):
        if not message.changes:
            return [message]
        place = self.dice.randrange(len(message.changes))
        changes = list(message.changes)
        changes[place] = msgspec.structs.replace(changes[place], value=b"spoilt")
        return [msgspec.structs.replace(message, changes=changes)]

    def cut(self, message):
        return [msgspec.structs.replace(message, changes=message.changes[:-1])]

    def lost(self, message):
        return []

    def reordered(self, message):
        """It comes behind the next one, which may be another follower's: then it is lost to this one."""
        self.held.append(message)
        return []

    def repeated(self, message):
        return [message, message]

    def older(self, message):
        return [self.dice.choice(self.earlier), message]

    def renumbered(self, message):
        """An older message that claims to be the next."""
        older = self.dice.choice(self.earlier)
        return [msgspec.structs.replace(older, session=message.session, number=message.number), message]

    def digest(self, message):
        if isinstance(message, RangeSnapshot) or message.digest is None:
            return [message]
        return [msgspec.structs.replace(message, digest=message.digest ^ 1)]


KINDS = ("spoilt", "cut", "lost", "reordered", "repeated", "older", "renumbered", "digest")


def spoilt_world(kind: str, seed: int, shape: Shape) -> World:
    world = World(shape, seed)
    relay = world.places[seed % len(world.places)].name
    spoiler = world.spoil = Spoiler(relay, kind, Random(f"spoiler {seed}"))
    world.run(2)
    publish_over(world, 15, 60)
    world.at(world.now + 8 * SECOND, world.cut_some)
    world.run(25)
    assert spoiler.done
    world.spoil = None
    world.run(45)
    return world


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("seed", range(2))
def test_a_relay_that_sends_what_is_wrong_causes_no_wrong_state(seed, kind):
    settings = FEW_TOMBSTONES if seed % 2 else FeedSettings()
    world = spoilt_world(kind, seed, Shape(feed=settings))
    assert breaches(world) == []


def test_spoilt_messages_are_counted_and_their_relay_is_left_and_named():
    world = spoilt_world("spoilt", 0, Shape())
    relay = world.places[0].name
    named = [event for _, _, event in world.events if event.name == "distribution.spoilt"]
    assert named
    assert {event.fields["relay"] for event in named} == {relay}
    assert sum(follower.counters.spoilt for follower in world.followers.values()) == len(named)


@pytest.mark.parametrize("relay", ["r1-relay1", "r0-relay1"])
def test_a_relay_whose_table_lacks_a_key_spreads_nothing(relay):
    """Of its own region: its followers go elsewhere and name it. Of another one: it is a follower itself, and
    mended."""
    world = World(Shape(), 2)
    world.run(2)
    publish_over(world, 4, 40)
    world.run(10)
    wrong = world.feeds[relay].tables["r1"]
    change = next(change for change in reversed(world.logs["r1"]) if wrong.newest(*change.key).value)
    wrong._forget(range_of(*change.key), f"{change.kind}/{change.name}", wrong.newest(*change.key))
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


def test_a_gateway_whose_state_is_wrong_is_mended():
    world = World(Shape(), 2)
    world.run(2)
    publish_over(world, 4, 40)
    world.run(10)
    tables = world.tables["r0-gateway2"]
    key = sorted(tables.rows["r1"])[3]
    tables.drop("r1", key)
    world.publish_some("r1", 1)
    world.run(20)
    assert tables.sums["r1"] == world.feeds["r0-relay0"].digest("r1")
    follower = world.followers["r0-gateway2"]
    assert 1 <= follower.counters.ranges <= 2, "what differs, not everything"


# ---- the budget --------------------------------------------------------------------------------------------


def test_a_burst_stays_within_each_gateways_budget_and_arrives():
    world = World(Shape(keys=400), 1)
    world.run(2)
    for region in world.regions:
        world.publish_some(region, 2_000)
    world.run(20)
    assert breaches(world) == []
    sent = sum(size for _, size in world.bytes_to["r0-gateway0"])
    assert sent < 2 * 400 * 200, "the newest of each key, not every change"


def test_changes_come_into_force_everywhere_within_the_aim():
    """Six regions, ten times the day's rate of changes. `-s` prints the times from publishing to in force at
    each gateway, and the bytes."""
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
    p50, p99, most = times[len(times) // 2], times[len(times) * 99 // 100], times[-1]
    sent = [sum(size for _, size in world.bytes_to[name]) for name in world.tables]
    print(f"in force: {len(times)} times, p50 {p50} us, p99 {p99} us, max {most} us")
    print(
        f"sent to a gateway: at most {max(sent) / 33:.0f} bytes a second, {6 * 110 / 20:.0f} changes a second"
    )
    assert p99 <= 1_500_000
    assert most <= 4 * SECOND


def test_a_change_in_another_region_is_not_held_up_by_a_long_catch_up():
    world = World(Shape(keys=4_000, relays=2, gateways=2), 1)
    world.publish_some("r0", 4_000)
    world.run(4)
    world.publish("r1", Kind.TENANT, "urgent", b"1")
    began = world.now
    world.run(30)
    last = checker.latest_in_force(world.record, ("r1", Kind.TENANT, "urgent"), 0, gateways(world))
    assert last is not None
    assert last - began < MADE_GOOD
    assert breaches(world) == []


# ---- the checker catches what it is there for --------------------------------------------------------------


def calm_world() -> World:
    world = World(Shape(), 3)
    world.run(2)
    publish_over(world, 4, 40)
    world.run(10)
    assert breaches(world) == []
    return world


def rules(found: list[checker.Breach]) -> set[str]:
    return {breach.rule for breach in found}


def test_a_planted_breach_of_the_sums_is_caught():
    world = calm_world()
    assert breaches_of_sums(world) == []
    at, relay, progress = world.reports[-1]
    too_much = msgspec.structs.replace(progress.below[0], min_sequence=progress.below[0].min_sequence + 1)
    for other in {name for _, name, each in world.reports if each.below[0].region == too_much.region}:
        world.reports.append((at, other, msgspec.structs.replace(progress, below=[too_much])))
    assert rules(breaches_of_sums(world)) == {"said to be in force and is not"}


def test_planted_in_the_record_each_breach_is_caught():
    world = calm_world()
    line = next(line for line in world.record if line.version is not None and line.value)
    world.record.append(replace(line, at=world.now))
    assert rules(breaches(world, at_end=False)) == {"older over newer"}
    world.record[-1] = InForce(world.now, line.gateway, "r0", Kind.TENANT, "unheard", line.version, b"x")
    assert rules(breaches(world)) == {"not as published", "not the newest of all keys"}
    world.record.pop()
    written = {(change.region, change.kind, change.name) for change in published(world) if not change.value}
    kept = next(
        row for row in world.record if row.region and (row.region, row.kind, row.name) not in written
    )  # fmt: skip
    world.record.append(replace(kept, version=None, value=b""))
    assert rules(breaches(world)) == {"gone without a deletion", "not the newest of all keys"}
    world.record.pop()
    world.bytes_to["r0-gateway0"] += [(world.now, 6_000)] * 40
    assert rules(breaches(world)) == {"more bytes than the budget"}


@pytest.mark.parametrize(
    ("guard", "kind", "rule"),
    [
        ("batch_spoilt", "spoilt", "not as published"),
        ("batch_spoilt", "cut", "not the newest of all keys"),
    ],
)
def test_without_its_guard_a_spoilt_message_is_a_breach_that_is_caught(monkeypatch, guard, kind, rule):
    """The guard of acceptance is taken out, and the digests with it."""
    monkeypatch.setattr(acceptance, guard, lambda message: "")
    monkeypatch.setattr(acceptance.Acceptance, "compare", lambda self, batch: None)
    monkeypatch.setattr(acceptance.Acceptance, "_expect", lambda self, upto, digest: None)
    assert rule in rules(breaches(spoilt_world(kind, 1, Shape())))


def test_without_the_token_bucket_the_budget_is_broken(monkeypatch):
    monkeypatch.setattr(flow_control.TokenBucket, "take", lambda self, size: None)
    world = World(Shape(keys=4_000), 1)
    world.run(2)
    world.publish_some("r0", 8_000)
    world.run(10)
    assert "more bytes than the budget" in rules(breaches(world, at_end=False))


@pytest.mark.parametrize("guarded", [True, False])
def test_without_the_check_of_the_place_in_order_the_state_is_wrong(monkeypatch, guarded):
    """A batch that does not follow on: a follower that takes it in spite of the gap lacks a key."""
    original = acceptance.Acceptance.judge

    def judge(self, batch):
        verdict = original(self, batch)
        return acceptance.Verdict.TAKEN if verdict is acceptance.Verdict.GAP else verdict

    if not guarded:
        monkeypatch.setattr(acceptance.Acceptance, "judge", judge)
        monkeypatch.setattr(acceptance.Acceptance, "compare", lambda self, batch: None)
        monkeypatch.setattr(acceptance.Acceptance, "_expect", lambda self, upto, digest: None)
    world = calm_world()
    feed = world.feeds[world.followers["r0-gateway0"].relay]
    skipped = world.publish("r0", Kind.TENANT, "k1", b"lost")
    feed.sessions["r0-gateway0"].cursors["r0"].version = skipped.version
    world.publish("r0", Kind.TENANT, "k2", b"after")
    world.run(10)
    assert rules(breaches(world)) == (set() if guarded else {"not the newest of all keys", "digests differ"})
    assert world.followers["r0-gateway0"].counters.gaps == guarded
