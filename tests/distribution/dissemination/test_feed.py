"""One feed with followers played by hand: bounds, refusals, shared encodings, heartbeats, ranges."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import msgspec
import pytest

from linenbridge.distribution.changes import RANGES, Kind, Position, Version, sealed
from linenbridge.distribution.decisions import Apply, Event, ReplaceRange, Send, SubtreeProgress
from linenbridge.distribution.dissemination.feed import Feed, FeedSettings
from linenbridge.distribution.messages import (
    Batch,
    Digests,
    Follow,
    Message,
    Progress,
    FollowRejected,
    RangeSnapshot,
)
from linenbridge.distribution.dissemination.flow_control import PAGE_MOST, TokenBucket, Window

SECOND = 1_000_000
REGIONS = ["r1", "r2"]
SETTINGS = FeedSettings()
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class Relay:
    """A feed, and what it sent by follower."""

    def __init__(self, settings: FeedSettings = SETTINGS) -> None:
        self.feed, self.now, self.sequence = Feed("relay", "r1", REGIONS, settings, Random(1), 0), 0, 0
        self.sent: dict[str, list] = {}
        self.events: list[Event] = []
        self.sums: list[SubtreeProgress] = []

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.feed.wake_at() <= end:
            self.now = max(self.now, self.feed.wake_at())
            self.pull()
        self.now = end

    def pull(self) -> None:
        while (decision := self.feed.next_decision(self.now)) is not None:
            if isinstance(decision, Send):
                self.sent.setdefault(decision.to, []).append(_decode(_encode(decision.message)))
            else:
                (self.events if isinstance(decision, Event) else self.sums).append(decision)

    def commit(self, number: int, size: int = 10, name: str = "t{n}") -> None:
        changes = []
        for _ in range(number):
            self.sequence += 1
            value = b"x" * size
            key = name.format(n=self.sequence)
            changes.append(sealed("r1", Version(1, self.sequence), Kind.TENANT, key, value))
        self.feed.on_committed(self.now, "r1", changes)

    def follow(self, name: str, sequence: int = 0, session: int = 1, rate: int = 0) -> None:
        position = Position("r1", 1 if sequence else 0, sequence)
        self.feed.on_follow(self.now, Follow(name, session, [position], rate, ["r1"]))
        self.pull()

    def acknowledge(self, name: str, session: int = 1) -> None:
        messages = [each for each in self.sent.get(name, []) if isinstance(each, Batch | RangeSnapshot)]
        batches = [each.upto.sequence for each in messages if isinstance(each, Batch)]
        position = Position("r1", 1, max(batches, default=0))
        self.feed.on_progress(self.now, Progress(name, session, [position], [], len(messages)))
        self.pull()

    def batches(self, name: str) -> list[Batch]:
        return [each for each in self.sent.get(name, []) if isinstance(each, Batch) and each.changes]


def test_changes_are_gathered_and_follow_on():
    relay = Relay()
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


def test_followers_at_the_same_position_share_one_encoding():
    relay = Relay()
    for n in range(100):
        relay.follow(f"g{n}")
    relay.run(0.5)
    relay.commit(5)
    relay.run(0.5)
    assert all(len(relay.batches(f"g{n}")) == 1 for n in range(100))
    assert relay.feed.counters.encoded == 1


def test_a_silent_follower_costs_a_bounded_window_and_then_nothing():
    relay = Relay(replace(SETTINGS, window=4_000))
    relay.follow("silent")
    relay.follow("awake", rate=0)
    for _ in range(40):
        relay.commit(20, size=100)
        relay.run(0.1)
        relay.acknowledge("awake")
    outstanding = relay.feed.sessions["silent"].window.outstanding
    assert outstanding <= 2 * PAGE_MOST + 4_000
    assert relay.batches("awake")[-1].upto.sequence == relay.sequence
    relay.run(2)
    assert "silent" not in relay.feed.sessions
    assert isinstance(relay.sent["silent"][-1], FollowRejected)
    assert relay.sent["silent"][-1].code == "silent"
    assert relay.feed.counters.silent == 1
    relay.run(10)
    assert relay.feed.summaries(relay.now)[0].unreached == ["silent", "awake"]


def test_a_slow_follower_gets_the_newest_of_each_key_only():
    relay = Relay(replace(SETTINGS, window=2_000))
    relay.follow("slow", rate=4_000)
    for _ in range(100):
        relay.commit(50, size=10, name="same")
        relay.run(0.05)
    relay.acknowledge("slow")
    relay.run(1)
    assert sum(len(batch.changes) for batch in relay.batches("slow")) < 100
    assert relay.batches("slow")[-1].upto.sequence == 5_000


def test_beyond_the_bound_followers_are_refused_and_known_ones_are_not():
    relay = Relay(replace(SETTINGS, followers_most=2))
    for name in ("g1", "g2", "g3"):
        relay.follow(name)
    refused = relay.sent["g3"][0]
    assert (refused.code, refused.session) == ("full", 1)
    assert SETTINGS.refuse_for <= refused.after <= SETTINGS.refuse_for * 3 // 2
    relay.follow("g2", session=2)
    assert relay.sent["g2"][-1].session == 2
    assert [event.fields["follower"] for event in relay.events] == ["g3"]


def test_a_relay_that_has_just_started_sends_followers_that_are_ahead_elsewhere():
    relay = Relay()
    relay.follow("ahead", sequence=7)
    assert relay.sent["ahead"][0].code == "relay_behind"
    relay.now += SETTINGS.starting + 1
    relay.follow("ahead", sequence=7)
    assert "ahead" in relay.feed.sessions, "after a while it is the best there is"


def test_a_forgotten_follower_is_told_so():
    relay = Relay()
    relay.feed.on_progress(0, Progress("g1", 5, [], [], 0))
    relay.pull()
    assert relay.sent["g1"] == [FollowRejected(5, "silent", 0)]


def test_a_single_large_change_goes_alone_and_a_page_fits_into_a_message():
    relay = Relay()
    relay.commit(3, size=47_000)
    relay.commit(900, size=100)
    relay.follow("g1")
    relay.run(5)
    assert [len(batch.changes) for batch in relay.batches("g1")][:2] == [1, 1]
    assert all(len(_encode(message)) < 60_000 for message in relay.sent["g1"])
    assert relay.batches("g1")[-1].upto.sequence == 903


def test_behind_the_horizon_nothing_is_sent_until_ranges_are_asked_for():
    relay = Relay(replace(SETTINGS, tombstones_most=1))
    relay.commit(30)
    gone = [sealed("r1", Version(1, 31 + n), Kind.TENANT, f"t{n + 1}", b"") for n in range(4)]
    relay.feed.on_committed(0, "r1", gone)
    relay.follow("g1", sequence=10)
    relay.run(0.5)
    assert relay.batches("g1") == []
    assert relay.sent["g1"][0].horizon == 33
    relay.feed.on_digests(relay.now, "g1", Digests(1, "r1", Version(1, 10), 0, b"", True))
    relay.run(1)
    wholes = [each for each in relay.sent["g1"] if isinstance(each, RangeSnapshot)]
    assert [whole.range_index for whole in wholes] == list(range(RANGES))
    assert [whole.final for whole in wholes] == [False] * (RANGES - 1) + [True]
    assert sum(len(whole.changes) for whole in wholes) == 27
    relay.acknowledge("g1")
    assert relay.feed.sessions["g1"].window.outstanding == 0


def test_deletions_that_the_replica_has_let_go_are_behind_the_horizon():
    """After a relay's start its log lacks them: a follower from before them would keep the deleted keys."""
    relay = Relay()
    change = sealed("r1", Version(1, 40), Kind.TENANT, "t", b"1")
    relay.feed.on_committed(0, "r1", [change], settled=30)
    relay.now = SETTINGS.starting + 1
    relay.follow("before", sequence=29)
    relay.follow("after", sequence=30)
    relay.run(1)
    assert relay.batches("before") == []
    assert relay.sent["before"][0].horizon == 30
    assert [batch.upto.sequence for batch in relay.batches("after")] == [40]


def test_only_ranges_that_differ_are_transferred_and_one_at_the_least():
    relay = Relay()
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
def test_malformed_digests_are_counted_and_cost_nothing(first, digests, last):
    relay = Relay()
    relay.commit(5)
    relay.follow("g1", sequence=5)
    relay.feed.on_digests(0, "g1", Digests(1, "r1", Version(1, 5), first, digests, last))
    relay.run(1)
    assert relay.feed.counters.malformed == 1
    assert not any(isinstance(each, RangeSnapshot) for each in relay.sent["g1"])


def test_heartbeats_tell_the_digest_at_the_head():
    relay = Relay()
    relay.commit(5)
    relay.follow("g1", sequence=5)
    relay.run(3.2)
    beats = relay.sent["g1"]
    assert 3 <= len(beats) <= 5
    assert all(beat.digest == relay.feed.digest("r1") and not beat.changes for beat in beats)


def test_a_table_in_the_middle_of_a_catch_up_tells_no_digest_and_transfers_nothing():
    relay = Relay()
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


def test_a_region_that_began_anew_asks_for_ranges():
    """All disks of the region were lost: its log starts again, under a newer epoch."""
    relay = Relay()
    change = sealed("r1", Version(9, 1), Kind.TENANT, "t", b"new")
    relay.feed.on_committed(0, "r1", [change])
    relay.now = SETTINGS.starting + 1
    relay.follow("g1", sequence=100)
    assert relay.sent["g1"][0].horizon > 100
    relay.feed.on_digests(relay.now, "g1", Digests(1, "r1", Version(1, 100), 0, b"", True))
    relay.run(1)
    final = [each for each in relay.sent["g1"] if isinstance(each, RangeSnapshot)][-1]
    assert final.final
    assert final.upto == change.version > Version(1, 100)


def test_the_publisher_is_told_the_sums_on_change_and_each_second():
    relay = Relay()
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
    assert [summary.region for summary in relay.sums[-1].summaries] == ["r2"]
    relay.feed.on_publisher(relay.now, "")
    count = len(relay.sent["publisher"])
    relay.run(2)
    assert len(relay.sent["publisher"]) == count


def test_a_follower_of_no_known_region_costs_nothing():
    relay = Relay()
    relay.feed.on_follow(0, Follow("g1", 1, [Position("r9", 4, 4)], 0, ["r9"]))
    relay.commit(5)
    relay.run(2)
    assert "g1" not in relay.sent


def test_the_token_bucket_keeps_the_rate_and_goes_into_debt_for_one_message():
    bucket, sent, now = TokenBucket(1_000, 0), 0, 0
    while now < 60 * SECOND:
        if bucket.ready(now):
            bucket.take(700)
            sent += 700
        now += 50_000
    assert 57_000 <= sent <= 61_000
    assert TokenBucket(0, 0).ready(0)
    assert TokenBucket(0, 0).page_most == PAGE_MOST


def test_the_window_counts_what_is_acknowledged_once():
    window = Window(1_000)
    for _ in range(3):
        window.sent(600)
    assert not window.open
    window.acknowledge(2)
    window.acknowledge(2)
    assert (window.open, window.outstanding) == (True, 600)
    window.acknowledge(99)
    assert window.outstanding == 0
