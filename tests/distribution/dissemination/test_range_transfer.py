"""One feed and followers that need ranges: which ranges are transferred, and when."""

from __future__ import annotations

from dataclasses import replace

import pytest

from linenbridge.distribution.changes import RANGES, Kind, Position, Version, sealed
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.messages import Digests, Follow, RangeSnapshot
from tests.distribution.dissemination.harness import FEED_SETTINGS as SETTINGS
from tests.distribution.dissemination.harness import FeedHarness


def test_a_follower_behind_the_horizon_is_sent_no_changes_until_it_requests_ranges():
    relay = FeedHarness(replace(SETTINGS, max_tombstones=1))
    relay.commit(30)
    deletions = [sealed("r1", Version(1, 31 + n), Kind.TENANT, f"t{n + 1}", b"") for n in range(4)]
    relay.feed.on_committed(0, "r1", deletions)
    relay.follow("g1", sequence=10)
    relay.run(0.5)

    assert relay.batches("g1") == []
    assert relay.sent["g1"][0].horizon == 33

    relay.feed.on_digests(relay.now, "g1", Digests(1, "r1", Version(1, 10), 0, b"", True))
    relay.run(1)
    snapshots = [each for each in relay.sent["g1"] if isinstance(each, RangeSnapshot)]

    assert [snapshot.range_index for snapshot in snapshots] == list(range(RANGES))
    assert [snapshot.final for snapshot in snapshots] == [False] * (RANGES - 1) + [True]
    assert sum(len(snapshot.changes) for snapshot in snapshots) == 27

    relay.acknowledge("g1")

    assert relay.feed.sessions["g1"].window.outstanding == 0


def test_a_follower_before_deletions_that_the_replica_has_dropped_is_behind_the_horizon(relay):
    """After a relay's start its log lacks these deletions, so that an older follower would keep the deleted
    keys."""
    change = sealed("r1", Version(1, 40), Kind.TENANT, "t", b"1")
    relay.feed.on_committed(0, "r1", [change], compacted_to=30)
    relay.now = SETTINGS.catch_up_time + 1
    relay.follow("before", sequence=29)
    relay.follow("after", sequence=30)
    relay.run(1)

    assert relay.batches("before") == []
    assert relay.sent["before"][0].horizon == 30
    assert [batch.upto.sequence for batch in relay.batches("after")] == [40]


def test_only_ranges_that_differ_are_transferred_or_one_if_none_differs(relay):
    relay.commit(50)
    relay.follow("g1", sequence=50)
    own = bytearray(relay.feed.range_digests("r1"))
    relay.feed.on_digests(0, "g1", Digests(1, "r1", Version(1, 50), 0, bytes(own), True))
    relay.run(1)

    assert [each.range_index for each in relay.sent["g1"] if isinstance(each, RangeSnapshot)] == [0]

    own[8 * 77] ^= 1
    own[8 * 300] ^= 1
    relay.feed.on_digests(relay.now, "g1", Digests(1, "r1", Version(1, 50), 0, bytes(own), True))
    relay.run(1)

    assert [each.range_index for each in relay.sent["g1"] if isinstance(each, RangeSnapshot)][1:] == [77, 300]


@pytest.mark.parametrize(
    ("first", "digests", "last"), [(1, b"", True), (0, b"12345678", True), (0, b"", False)]
)
def test_malformed_digests_are_counted_and_nothing_is_transferred(relay, first, digests, last):
    relay.commit(5)
    relay.follow("g1", sequence=5)
    relay.feed.on_digests(0, "g1", Digests(1, "r1", Version(1, 5), first, digests, last))
    relay.run(1)

    assert relay.feed.counters.malformed == 1
    assert not any(isinstance(each, RangeSnapshot) for each in relay.sent["g1"])


def test_during_a_catch_up_no_digest_is_sent_and_no_range_is_transferred(relay):
    change = sealed("r2", Version(1, 3), Kind.TENANT, "t", b"1")
    relay.feed.on_apply(0, Apply("r2", change.version, [change], None))
    relay.feed.on_follow(0, Follow("g1", 1, [Position("r2", 1, 3)], 0, ["r2"]))
    relay.feed.on_digests(0, "g1", Digests(1, "r2", Version(1, 3), 0, b"", True))
    relay.run(2)

    assert {each.digest for each in relay.sent["g1"]} == {None}

    digest = relay.feed.digest("r2")
    relay.feed.on_apply(relay.now, Apply("r2", change.version, [], digest))
    relay.run(2)

    assert relay.sent["g1"][-1].digest == digest

    relay.feed.on_range(relay.now, ReplaceRange("r2", Version(1, 4), 0, [], True))
    relay.feed.on_digests(relay.now, "g1", Digests(1, "r2", Version(1, 3), 0, b"", True))
    relay.run(2)

    assert not any(isinstance(each, RangeSnapshot) for each in relay.sent["g1"])


def test_a_follower_of_a_region_that_lost_all_its_disks_is_behind_the_horizon(relay):
    """After the loss of all disks of a region its log starts again with a higher epoch."""
    change = sealed("r1", Version(9, 1), Kind.TENANT, "t", b"new")
    relay.feed.on_committed(0, "r1", [change])
    relay.now = SETTINGS.catch_up_time + 1
    relay.follow("g1", sequence=100)

    assert relay.sent["g1"][0].horizon > 100

    relay.feed.on_digests(relay.now, "g1", Digests(1, "r1", Version(1, 100), 0, b"", True))
    relay.run(1)
    final = [each for each in relay.sent["g1"] if isinstance(each, RangeSnapshot)][-1]

    assert final.final
    assert final.upto == change.version > Version(1, 100)
