"""Costs of a relay's feed by followers, of its compacted logs by keys, and of a publisher by keys.

The real cores run on a simulated clock. Messages are encoded as a link encodes them, but not sent, so the
times include neither links nor disks.
"""

from __future__ import annotations

import time
from random import Random

import msgspec

from linenbridge.distribution.dissemination import feed as feed_module
from linenbridge.distribution.changes import START, Change, Kind, Position, TenantValue, Version, sealed
from linenbridge.distribution.decisions import Send
from linenbridge.distribution.dissemination.feed import Feed
from linenbridge.distribution.dissemination.settings import FeedSettings
from linenbridge.distribution.messages import (
    Append,
    Appended,
    EncodedBatch,
    Follow,
    Prepare,
    Prepared,
    Progress,
    Publish,
)
from linenbridge.distribution.log.replication import PublisherTiming
from linenbridge.distribution.log.publisher import Publisher
from linenbridge.distribution.dissemination.compacted_log import CompactedLog

from tests.scale.measure.costs import allocated_bytes, execution_mode, processor_time
from tests.scale.measure.view import (
    ALL_SIZES,
    BATCH,
    ChangeSource,
    all_changes,
    instance_changes,
    instance_key,
    instance_value,
)
from tests.scale.slopes import Slope, record, slope

MEASURED_BY = "tests.scale.measure.relay"
RELAY = "relay"
PUBLISHER = "publisher"
FOLLOWERS = (14, 140, 1_400)
KEYS = (5_600, 56_000, 560_000)  # rule sets, tenants and instances of all regions
LOG_KEYS = (1_000, 10_000, 100_000)  # of one region
REGIONS = [f"region-{number}" for number in range(6)]
RELAYS = tuple(f"relay-{number}" for number in range(4))
FOLLOWER_RATE = 14_000  # bytes a second to one follower
CHANGES_A_SECOND = 3.3  # changes of the configuration, and of instances by restarts
SECONDS = 10
STEP = 50_000  # microseconds between two polls of the feed
MICROSECONDS = 1_000_000
VALUE = msgspec.msgpack.encode(TenantValue(0.5))


class Followers:
    """Followers that acknowledge every batch of a feed at once and count its bytes."""

    def __init__(self, count: int) -> None:
        settings = FeedSettings(max_followers=count)
        self.feed = Feed("relay-0", REGIONS[0], REGIONS, settings, Random(1), 0)
        self.positions = {f"g{n}": dict.fromkeys(REGIONS, START) for n in range(count)}
        self.received = dict.fromkeys(self.positions, 0)
        self.bytes = self.nanoseconds = 0
        for name in self.positions:
            self.feed.on_follow(0, Follow(name, 1, [], FOLLOWER_RATE, []))

    def pull(self, now: int) -> None:
        """Encode each batch that the feed sends, and report the progress of its recipient."""
        started = time.process_time_ns()
        while (decision := self.feed.next_decision(now)) is not None:
            if isinstance(decision, Send) and isinstance(decision.message, EncodedBatch):
                self.bytes += len(msgspec.msgpack.encode(decision.message))
                self._report(now, decision.to, decision.message)
        self.nanoseconds += time.process_time_ns() - started

    def _report(self, now: int, name: str, message: EncodedBatch) -> None:
        self.positions[name][message.region] = message.upto
        self.received[name] += 1
        positions = [
            Position(region, version.epoch, version.sequence)
            for region, version in self.positions[name].items()
        ]
        self.feed.on_progress(now, Progress(name, 1, positions, [], self.received[name]))

    def commit(self, now: int, change: Change) -> None:
        """Pass a committed change to the feed."""
        started = time.process_time_ns()
        self.feed.on_committed(now, change.region, [change])
        self.nanoseconds += time.process_time_ns() - started


def feed_costs(count: int) -> tuple[float, float]:
    """Return the microseconds of processor time of a feed and the bytes to one follower, both per second."""
    followers = Followers(count)
    sequences = dict.fromkeys(REGIONS, 0)
    followers.pull(0)
    followers.bytes = followers.nanoseconds = 0
    due = 0.0
    for step in range(SECONDS * MICROSECONDS // STEP):
        now = (step + 1) * STEP
        due += CHANGES_A_SECOND * STEP / MICROSECONDS
        while due >= 1.0:
            due -= 1.0
            region = REGIONS[sum(sequences.values()) % len(REGIONS)]
            sequences[region] += 1
            number = sequences[region]
            version = Version(1, number)
            value = instance_value(number)
            followers.commit(now, sealed(region, version, Kind.INSTANCE, instance_key(number), value))
        followers.pull(now)
    return followers.nanoseconds / 1000 / SECONDS, followers.bytes / SECONDS / count


def all_bytes(instances: int) -> int:
    """Return the bytes of all changes sent to an empty follower, with routes and tenants in proportion."""
    return sum(len(msgspec.msgpack.encode(change)) for change in all_changes(ChangeSource(), instances))


def filled_log(count: int) -> CompactedLog:
    """Return a compacted log with `count` instances, applied in batches."""
    table = CompactedLog("one")
    batch = list[Change]()
    for change in instance_changes(ChangeSource(), count):
        batch.append(change)
        if len(batch) == BATCH:
            table.apply(batch[-1].version, batch)
            batch = []
    if batch:
        table.apply(batch[-1].version, batch)
    return table


def change_time(count: int) -> float:
    """Return the microseconds to apply one change of an existing key to a compacted log."""
    table = filled_log(count)
    calls = 100
    repeats = 5
    changes = iter(
        [
            sealed("one", Version(1, count + n + 1), Kind.INSTANCE, instance_key(n), instance_value(n))
            for n in range(calls * repeats)
        ]
    )

    def apply_next() -> None:
        change = next(changes)
        table.apply(change.version, [change])

    return processor_time(apply_next, calls, repeats)


class PublishedRegion:
    """A publisher whose relays acknowledge every append at once."""

    def __init__(self) -> None:
        self.now = 0
        self.core = Publisher("one", "publisher", RELAYS, PublisherTiming(), Random(1), lambda *_: "")
        self.core.on_term(self.now, 1)
        self.deliver_all()

    def deliver_all(self) -> None:
        """Execute all decisions of the publisher."""
        while True:
            self.core.on_term(self.now, 1)
            decision = self.core.next_decision(self.now)
            if decision is None:
                return
            if isinstance(decision, Send):
                self._answer(decision)

    def _answer(self, send: Send) -> None:
        message = send.message
        if isinstance(message, Prepare):
            self.core.on_prepared(self.now, Prepared("one", 1, send.to, START, 0, "", 1, False))
        elif isinstance(message, Append):
            upto = message.changes[-1].version if message.changes else message.previous
            self.core.on_appended(self.now, Appended("one", 1, send.to, upto.sequence, "", 1))

    def publish(self, number: int) -> None:
        """Publish one change and deliver all messages that it causes."""
        self.now += 1
        message = Publish(number, "one", Kind.TENANT, f"tenant-{number:07d}", VALUE)
        self.core.on_publish(self.now, "client", message)
        self.deliver_all()


def publish_time(count: int) -> float:
    """Return the microseconds of a publisher's core for one change, from the request to its acceptance.

    Raises RuntimeError if the log could not be filled with `count` changes.
    """
    region = PublishedRegion()
    for number in range(count):
        region.publish(number)
    if region.core.log.committed < count:
        raise RuntimeError(f"{region.core.log.committed} of {count} changes were committed")
    numbers = iter(range(10_000))
    return processor_time(lambda: region.publish(next(numbers) % count), 200)


def rows() -> list[Slope]:
    """Measure relays and publishers at all sizes."""
    feeds = [(count, feed_costs(count)) for count in FOLLOWERS]
    common = dict(measured_by=MEASURED_BY, text=execution_mode(feed_module), state="after")
    pace = f"{CHANGES_A_SECOND} changes a second over 6 regions, heartbeats and progress included"
    return [
        slope(
            "linear",
            [(count, cost[0]) for count, cost in feeds],
            role=RELAY,
            what="processor time of the feed",
            size="followers",
            unit="us a second",
            note=pace,
            **common,
        ),
        slope(
            "constant",
            [(count, cost[1]) for count, cost in feeds],
            role=RELAY,
            what="bytes to a follower",
            size="followers",
            unit="bytes a second",
            note=pace,
            **common,
        ),
        slope(
            "linear",
            [(n, allocated_bytes(lambda n=n: filled_log(n))) for n in KEYS],
            role=RELAY,
            what="memory of the tables",
            size="keys",
            unit="bytes",
            **common,
        ),
        slope(
            "constant",
            [(n, change_time(n)) for n in KEYS],
            role=RELAY,
            what="one change taken in",
            size="keys",
            unit="us",
            **common,
        ),
        slope(
            "proportional",
            [(n, all_bytes(n)) for n in ALL_SIZES],
            role=RELAY,
            what="bytes of all tables",
            size="instances",
            unit="bytes",
            note="with routes and tenants in proportion",
            **common,
        ),
        slope(
            "constant",
            [(n, publish_time(n)) for n in LOG_KEYS],
            role=PUBLISHER,
            what="one change accepted",
            size="keys of the region",
            unit="us",
            **common,
        ),
    ]


if __name__ == "__main__":
    record(rows())
