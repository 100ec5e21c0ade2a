"""One feed with simulated followers: limits, rejections, shared encodings, heartbeats, reports."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from linenbridge.distribution.changes import Position
from linenbridge.distribution.dissemination.flow_control import MAX_PAGE_BYTES
from linenbridge.distribution.messages import Follow, Progress, FollowRejected
from tests.distribution.dissemination.harness import FEED_SETTINGS as SETTINGS
from tests.distribution.dissemination.harness import FeedHarness

SECOND = 1_000_000
_encode = msgspec.msgpack.Encoder().encode


def test_changes_are_batched_and_batches_are_contiguous(relay):
    relay.follow("g1")
    relay.run(1.3)
    for _ in range(10):
        relay.commit(2)
        relay.run(0.02)
    relay.run(1)
    first, second = relay.batches("g1")

    assert (first.after, first.upto.sequence) == (0, 2)
    assert (second.after, second.upto.sequence) == (2, 20)
    assert second.digest == relay.feed.digest("r1")

    numbers = [each.number for each in relay.sent["g1"]]

    assert numbers == list(range(1, len(numbers) + 1))


def test_followers_at_the_same_position_share_one_encoding(relay):
    for n in range(100):
        relay.follow(f"g{n}")
    relay.run(0.5)
    relay.commit(5)
    relay.run(0.5)

    assert all(len(relay.batches(f"g{n}")) == 1 for n in range(100))
    assert relay.feed.counters.encoded == 1


def test_a_silent_follower_is_sent_at_most_a_window_and_its_session_ends_after_the_timeout():
    relay = FeedHarness(replace(SETTINGS, window=4_000))
    relay.follow("silent")
    relay.follow("awake", rate=0)
    for _ in range(40):
        relay.commit(20, size=100)
        relay.run(0.1)
        relay.acknowledge("awake")
    outstanding = relay.feed.sessions["silent"].window.outstanding

    assert outstanding <= 2 * MAX_PAGE_BYTES + 4_000
    assert relay.batches("awake")[-1].upto.sequence == relay.sequence

    relay.run(2)

    assert "silent" not in relay.feed.sessions
    assert isinstance(relay.sent["silent"][-1], FollowRejected)
    assert relay.sent["silent"][-1].code == "silent"
    assert relay.feed.counters.silent == 1

    relay.run(10)

    assert relay.feed.summaries(relay.now)[0].unreached == ["silent", "awake"]


def test_a_slow_follower_is_sent_only_the_newest_change_of_a_key():
    relay = FeedHarness(replace(SETTINGS, window=2_000))
    relay.follow("slow", rate=4_000)
    for _ in range(100):
        relay.commit(50, size=10, name="same")
        relay.run(0.05)
    relay.acknowledge("slow")
    relay.run(1)

    assert sum(len(batch.changes) for batch in relay.batches("slow")) < 100
    assert relay.batches("slow")[-1].upto.sequence == 5_000


def test_new_followers_beyond_the_maximum_are_rejected_and_existing_ones_are_not():
    relay = FeedHarness(replace(SETTINGS, max_followers=2))
    for name in ("g1", "g2", "g3"):
        relay.follow(name)
    rejection = relay.sent["g3"][0]

    assert (rejection.code, rejection.session) == ("full", 1)
    assert SETTINGS.rejection_wait <= rejection.after <= SETTINGS.rejection_wait * 3 // 2

    relay.follow("g2", session=2)

    assert relay.sent["g2"][-1].session == 2
    assert [event.fields["follower"] for event in relay.events] == ["g3"]


def test_a_relay_that_has_just_started_rejects_followers_that_are_ahead(relay):
    relay.follow("ahead", sequence=7)

    assert relay.sent["ahead"][0].code == "relay_behind"

    relay.now += SETTINGS.catch_up_time + 1
    relay.follow("ahead", sequence=7)

    assert "ahead" in relay.feed.sessions, "the relay accepts it after the catch-up time"


def test_progress_of_a_follower_without_a_session_is_rejected(relay):
    relay.feed.on_progress(0, Progress("g1", 5, [], [], 0))
    relay.execute_decisions()

    assert relay.sent["g1"] == [FollowRejected(5, "silent", 0)]


def test_a_large_change_is_sent_alone_and_every_page_fits_into_a_message(relay):
    relay.commit(3, size=47_000)
    relay.commit(900, size=100)
    relay.follow("g1")
    relay.run(5)

    assert [len(batch.changes) for batch in relay.batches("g1")][:2] == [1, 1]
    assert all(len(_encode(message)) < 60_000 for message in relay.sent["g1"])
    assert relay.batches("g1")[-1].upto.sequence == 903


def test_heartbeats_to_a_follower_at_the_head_have_the_digest(relay):
    relay.commit(5)
    relay.follow("g1", sequence=5)
    relay.run(3.2)
    heartbeats = relay.sent["g1"]

    assert 3 <= len(heartbeats) <= 5
    assert all(
        heartbeat.digest == relay.feed.digest("r1") and not heartbeat.changes for heartbeat in heartbeats
    )


def test_the_publisher_is_sent_summaries_on_change_and_each_second(relay):
    relay.feed.on_publisher(0, "publisher")
    relay.follow("g1")
    relay.commit(3)
    relay.run(1)
    relay.acknowledge("g1")
    relay.run(3)
    report = relay.sent["publisher"][-1]

    assert (report.follower, report.positions[0]) == ("relay", Position("r1", 1, 3))
    assert [(each.region, each.followers, each.min_sequence) for each in report.below] == [("r1", 1, 3)]
    assert 4 <= len(relay.sent["publisher"]) <= 8
    assert [summary.region for summary in relay.subtree_reports[-1].summaries] == ["r2"]

    relay.feed.on_publisher(relay.now, "")
    count = len(relay.sent["publisher"])
    relay.run(2)

    assert len(relay.sent["publisher"]) == count


def test_a_follower_of_an_unknown_region_is_sent_nothing(relay):
    relay.feed.on_follow(0, Follow("g1", 1, [Position("r9", 4, 4)], 0, ["r9"]))
    relay.commit(5)
    relay.run(2)

    assert "g1" not in relay.sent
