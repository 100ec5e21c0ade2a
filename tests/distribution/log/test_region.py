"""One region's log without faults of the network: what authors hear, what relays hold, who may write."""

from __future__ import annotations

from unittest.mock import patch

import pytest

from linenbridge.distribution.log.change_requests import MAX_QUEUED_CHANGES
from linenbridge.distribution.changes import MAX_VALUE_BYTES, Kind, Position, Version
from linenbridge.distribution.log.region_log import MAX_PAGE_BYTES, Log
from linenbridge.distribution.messages import Appended, Progress, Publish, SubtreeSummary
from linenbridge.distribution.log.replication import MAX_MESSAGES_IN_FLIGHT, MAX_WINDOW_BYTES
from linenbridge.distribution.log.publisher import MAX_UNCOMMITTED_ENTRIES
from linenbridge.distribution.log.replica import StoredLog
from tests.distribution.log.world import TIMING, REGION, Region


def states(region: Region) -> list[tuple[int, str]]:
    return [(response.request, response.state) for _, response in region.responses]


def codes(region: Region) -> list[tuple[str, str]]:
    return [(response.state, response.code) for _, response in region.responses]


def equal_logs(region: Region) -> bool:
    logs = [disk.changes for disk in region.disks.values()]
    return all(log == logs[0] for log in logs)


def test_a_change_is_accepted_and_handed_on_by_every_relay():
    region = Region()
    assert region.publisher("p", 1).leading
    region.publish("p", "one", b"1", 1)
    region.publish("p", "one", b"2", 2)
    assert states(region) == [(1, "accepted"), (2, "accepted")]
    assert all(region.values(name) == {"one": b"2"} for name in region.names)
    assert equal_logs(region)


def test_only_the_newest_of_a_key_is_kept_and_no_feed_sees_the_logs_own_entries():
    region = Region()
    region.publisher("p", 1)
    for number in range(50):
        region.publish("p", "one", b"%d" % number, number)
    stored = region.disks["a"].changes
    assert [row.value for row in stored if row.kind == Kind.TENANT] == [b"49"]
    assert len(stored) == 1 + 1 + 3  # the key, the epoch's first entry, the relays' lives
    assert all(row.kind != Kind.LOG for row in region.committed["a"])


def test_a_deletion_is_a_change_like_any_other():
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "one", b"1", 1)
    region.publish("p", "one", b"", 2)
    assert states(region)[-1] == (2, "accepted") and region.values("b") == {"one": b""}


def test_what_cannot_be_published_is_refused_to_its_author():
    region = Region()
    publisher = region.publisher("p", 1)
    wrong = [
        Publish(1, "south", Kind.TENANT, "one", b"1"),
        Publish(2, REGION, Kind.TENANT, "one", b"bad"),
        Publish(3, REGION, Kind.LOG, "a/1", b""),
        Publish(4, REGION, 77, "one", b"1"),
        Publish(5, REGION, Kind.TENANT, "", b"1"),
        Publish(6, REGION, Kind.TENANT, "one", b"x" * (MAX_VALUE_BYTES + 1)),
    ]
    for message in wrong:
        publisher.on_publish(region.now, "client", message)
    region.settle()
    assert codes(region) == [("refused", "foreign_key")] + [("refused", "invalid")] * 5
    refused = [event for _, event in region.events if event.name == "distribution.change_rejected"]
    assert refused[0].fields["what"] == "not taken" and "publish it again" in refused[0].fields["do"]


def test_without_the_lease_nothing_is_taken_and_nothing_is_sent():
    region = Region()
    region.publisher("p", 1)
    region.publisher("p", None)
    sent = region.sent
    region.publish("p", "one", b"1")
    region.run(5_000)
    assert codes(region) == [("refused", "not_publisher")] and region.sent == sent


def test_a_change_under_way_when_the_lease_goes_is_unconfirmed_never_refused():
    region = Region()
    region.publisher("p", 1)
    region.down = {"b", "c"}
    region.publish("p", "one", b"1")
    assert states(region) == []
    region.publisher("p", None)
    assert codes(region) == [("unconfirmed", "unconfirmed")]
    region.down = set()
    region.publisher("q", 2)
    assert region.values("c") in ({}, {"one": b"1"}) and equal_logs(region)


def test_without_a_majority_the_author_hears_so_and_later_that_it_was_accepted():
    region = Region()
    region.publisher("p", 1)
    region.down = {"b", "c"}
    region.publish("p", "one", b"1")
    region.run(TIMING.answer_within + TIMING.max_retry)
    assert codes(region) == [("unconfirmed", "unconfirmed")]
    region.down = set()
    region.run(2 * TIMING.max_retry)
    assert states(region) == [(1, "unconfirmed"), (1, "accepted")]


def test_what_waits_for_a_publisher_that_never_reads_a_majority_is_refused_in_time():
    region = Region()
    region.down = {"b", "c"}
    region.publisher("p", 1)
    region.publish("p", "one", b"1")
    region.run(2 * TIMING.answer_within)
    assert codes(region) == [("refused", "busy")]


def test_a_woken_publisher_of_an_old_epoch_writes_nothing_and_says_so():
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "one", b"1", 1)
    region.publisher("q", 2)
    region.publish("p", "one", b"old", 2)
    region.publish("q", "one", b"new", 3)
    assert codes(region)[1:] == [("unconfirmed", "unconfirmed"), ("accepted", "")]
    assert all(region.values(name) == {"one": b"new"} for name in region.names)
    assert "distribution.replaced" in [event.name for name, event in region.events if name == "p"]
    region.publish("p", "one", b"older", 4)
    assert codes(region)[-1] == ("refused", "not_publisher")


def test_an_epoch_that_was_promised_to_one_publisher_is_refused_to_another():
    """Leases never grant a term twice; should their memory be lost, the log's relays still hold to it."""
    region = Region()
    region.publisher("p", 1)
    region.publisher("q", 1)
    region.publish("q", "one", b"1")
    region.run(TIMING.answer_within)
    assert region.publishers["q"].deposed and region.values("a") == {}


def test_a_new_publisher_takes_over_what_only_a_majority_has():
    region = Region()
    region.publisher("p", 1)
    region.down = {"c"}
    region.publish("p", "one", b"1", 1)
    region.down = {"a", "p"}
    region.publisher("q", 2)
    region.publish("q", "two", b"2", 2)
    assert region.values("c") == {"one": b"1", "two": b"2"}
    region.down = {"p"}
    region.run(4 * TIMING.max_retry)
    assert equal_logs(region)


def test_a_lease_that_comes_back_under_the_same_term_goes_on_in_its_log():
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "one", b"1", 1)
    region.publisher("p", None)
    region.publisher("p", 1)
    region.publish("p", "two", b"2", 2)
    region.run(TIMING.max_retry)
    assert states(region) == [(1, "accepted"), (2, "accepted")] and equal_logs(region)


def fill(region: Region, keys: int, size: int = 2_000) -> None:
    for number in range(keys):
        message = Publish(number, REGION, Kind.ROUTES, f"service-{number}", b"%05d" % number + b"x" * size)
        region.publishers["p"].on_publish(region.now, "client", message)
    region.settle()


def test_a_relay_far_behind_is_sent_pages_and_hands_on_one_whole_state():
    region = Region()
    region.publisher("p", 1)
    region.down = {"c"}
    fill(region, 300)
    fill(region, 150)
    region.down = set()
    handed = len(region.committed["c"])
    region.run(4 * TIMING.max_retry)
    assert equal_logs(region) and region.values("c") == region.values("a")
    assert handed == 0 and len(region.committed["c"]) == 300


@pytest.mark.parametrize("trusted", [True, False])
def test_a_relay_with_its_disk_takes_up_where_it_was(trusted):
    region = Region(trusted=trusted)
    region.publisher("p", 1)
    fill(region, 100)
    member, sent = region.replicas["a"].incarnation, region.sent
    region.restart("a")
    assert region.values("a") == region.values("b")
    region.run(4 * TIMING.max_retry)
    assert (region.replicas["a"].incarnation == member) == trusted
    assert region.replicas["a"].member and region.sent - sent < 120


def test_a_relay_that_lost_its_disk_counts_again_once_it_has_everything():
    region = Region()
    region.publisher("p", 1)
    fill(region, 100)
    region.restart("a", StoredLog())
    assert not region.replicas["a"].member
    region.run(4 * TIMING.max_retry)
    assert region.replicas["a"].member and region.values("a") == region.values("b")
    region.down = {"b"}
    region.publish("p", "after", b"1", 1_000)
    assert states(region)[-1] == (1_000, "accepted")


def test_a_relay_without_memory_does_not_make_a_majority():
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "one", b"1", 1)
    region.down = {"b", "p"}
    region.restart("a", StoredLog())
    region.publisher("q", 2)
    region.run(10 * TIMING.max_retry)
    assert not region.publishers["q"].leading
    region.down = {"p"}
    region.run(4 * TIMING.max_retry)
    assert region.publishers["q"].leading and region.values("a") == {"one": b"1"}


def test_after_all_relays_restarted_at_once_they_count_again_when_all_are_there():
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "one", b"1", 1)
    for name in region.names:
        region.restart(name)
    region.run(4 * TIMING.max_retry)
    region.publish("p", "two", b"2", 2)
    assert states(region) == [(1, "accepted"), (2, "accepted")]
    assert all(replica.member for replica in region.replicas.values())


def summary(followers: int, least: int, unreached: list[str]) -> SubtreeSummary:
    return SubtreeSummary(REGION, followers, least, [], unreached, len(unreached), [])


def progress(region: Region, relay: str, sequence: int, below: SubtreeSummary) -> None:
    message = Progress(relay, 1, [Position(REGION, 1, sequence)], [below])
    region.publishers["p"].on_progress(region.now, relay, message)
    region.settle()


def test_in_force_is_told_when_all_that_are_reached_have_it_and_names_who_is_not():
    region = Region()
    region.publisher("p", 1)
    region.run(TIMING.silence // 2)
    region.publish("p", "one", b"1")
    end = region.replicas["a"].log.last.sequence
    progress(region, "a", end, summary(5, end, []))
    progress(region, "b", end, summary(4, end - 1, ["g7"]))
    assert states(region) == [(1, "accepted")]
    progress(region, "b", end, summary(4, end, ["g7"]))
    assert states(region) == [(1, "accepted")], "c has its time to be heard"
    region.run(TIMING.silence * 9 // 10)
    progress(region, "a", end, summary(5, end, []))
    response = region.responses[-1][1]
    assert (
        response.state == "in_force" and response.unreached == ["c", "g7"] and response.unreached_count == 2
    )
    assert response.version == Version(1, end)


@pytest.fixture
def few_deletions():
    with patch.object(Log, "max_tombstones", 4):
        yield


def come_and_go(region: Region, keys: int, first: int = 0, name: str = "p") -> None:
    for number in range(first, first + keys):
        region.publish(name, f"key-{number}", b"1", 2 * number)
        region.publish(name, f"key-{number}", b"", 2 * number + 1)
    region.run(TIMING.max_retry)


def kept_keys(region: Region, relay: str) -> set[str]:
    return {row.name for row in region.disks[relay].changes if row.kind != Kind.LOG}


def test_deletions_are_let_go_once_every_relay_has_them(few_deletions):
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "stays", b"1")
    come_and_go(region, 40)
    assert all("stays" in kept_keys(region, name) for name in region.names)
    assert all(len(kept_keys(region, name)) <= 7 for name in region.names)
    assert region.disks["a"].purged_up_to > 0


def test_deletions_are_kept_while_a_relay_is_away_that_lacks_them(few_deletions):
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "key-0", b"1")
    region.down = {"c"}
    come_and_go(region, 20)
    assert len(kept_keys(region, "a")) == 20
    region.down = set()
    region.run(10 * TIMING.max_retry)
    assert region.values("c").get("key-0") == b"" and equal_logs(region)
    come_and_go(region, 4, first=30)
    assert all(len(kept_keys(region, name)) <= 7 for name in region.names)


def test_a_relay_filled_from_nothing_after_deletions_were_let_go_has_what_the_others_have(few_deletions):
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "stays", b"1")
    come_and_go(region, 20)
    region.restart("c", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert kept_keys(region, "c") == kept_keys(region, "a") and region.replicas["c"].member


def test_a_disk_put_back_from_before_deletions_that_were_let_go_takes_its_relay_out(few_deletions):
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "key-0", b"1")
    older = region.disks["c"]
    come_and_go(region, 20)
    region.restart("c", older)
    region.run(4 * TIMING.max_retry)
    said = [event.fields for name, event in region.events if event.name == "distribution.store_failed"]
    assert len(said) == 1 and "was put back" in said[0]["what"] and "empty the store" in said[0]["do"]
    assert region.disks["c"].committed == older.committed
    region.restart("c", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert kept_keys(region, "c") == kept_keys(region, "a")


def test_a_publisher_that_comes_back_brings_nothing_back_that_was_deleted_meanwhile(few_deletions):
    region = Region()
    region.publisher("p", 1)
    region.publish("p", "key-0", b"1")
    region.publisher("p", None)
    region.publisher("q", 2)
    come_and_go(region, 20, name="q")
    region.publisher("q", None)
    region.publisher("p", 3)
    assert region.publishers["p"].leading
    region.restart("c", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert kept_keys(region, "c") == kept_keys(region, "a") and "key-0" not in kept_keys(region, "c")


def test_the_largest_change_fits_into_a_message_and_pages_stay_below_it():
    """`Region` holds each message against the bound of a link."""
    region = Region()
    publisher = region.publisher("p", 1)
    for number in range(3):
        name = f"{number}" + "é" * 200
        message = Publish(number, REGION, Kind.ROUTES, name, bytes([255]) * MAX_VALUE_BYTES)
        publisher.on_publish(region.now, "client", message)
    fill(region, 100, size=400)
    region.restart("a", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert states(region)[:3] == [(0, "accepted"), (1, "accepted"), (2, "accepted")]
    assert equal_logs(region) and region.replicas["a"].member


def test_what_waits_is_bounded_and_further_changes_are_refused():
    region = Region()
    publisher = region.publisher("p", 1)
    region.down = {"b", "c"}
    for number in range(MAX_UNCOMMITTED_ENTRIES + MAX_QUEUED_CHANGES + 10):
        publisher.on_publish(region.now, "client", Publish(number, REGION, Kind.TENANT, "k", b"1"))
        if number < 2 * MAX_UNCOMMITTED_ENTRIES:
            region.settle()
    region.settle()
    assert {code for _, code in codes(region)} == {"busy"}
    assert publisher.log.last.sequence - publisher.log.committed <= MAX_UNCOMMITTED_ENTRIES
    busy = len(codes(region))
    large = Publish(1, REGION, Kind.ROUTES, "k", b"x" * MAX_VALUE_BYTES)
    for _ in range(10):
        publisher.on_publish(region.now, "client", large)
    region.settle()
    assert len(codes(region)) == busy + 10


def test_a_relay_that_takes_nothing_costs_one_window_and_then_a_few_bytes():
    region = Region()
    publisher = region.publisher("p", 1)
    region.down = {"c"}
    fill(region, 500)
    peer = publisher.peers["c"]
    assert sum(message.size for message in peer.in_flight) <= MAX_WINDOW_BYTES + MAX_PAGE_BYTES
    assert len(peer.in_flight) <= MAX_MESSAGES_IN_FLIGHT
    region.run(TIMING.max_retry)
    assert peer.probing and len(peer.in_flight) == 1 and peer.in_flight[0].size == 0


def test_a_life_that_is_over_is_never_heard_again():
    """A late answer of a relay's earlier life says nothing of what it has now."""
    region = Region()
    publisher = region.publisher("p", 1)
    incarnation = region.replicas["a"].incarnation
    region.restart("a", StoredLog())
    region.down = {"a"}
    region.run(TIMING.heartbeat)
    region.down = set()
    region.run(4 * TIMING.max_retry)
    acknowledged = publisher.peers["a"].acknowledged
    publisher.on_appended(region.now, Appended(REGION, 1, "a", acknowledged + 100, "", incarnation))
    assert (
        publisher.peers["a"].acknowledged == acknowledged and publisher.peers["a"].incarnation != incarnation
    )


@pytest.mark.parametrize("trusted", [True, False])
def test_a_relay_that_restarts_while_another_is_away(trusted):
    """Without the operator's word that disks never go back, too few lives count until all relays are there:
    also one with an empty disk under the missing relay's name."""
    region = Region(trusted=trusted)
    region.publisher("p", 1)
    region.publish("p", "one", b"1", 1)
    region.down = {"a"}
    region.restart("b")
    region.publish("p", "two", b"2", 2)
    region.run(4 * TIMING.max_retry)
    assert ((2, "accepted") in states(region)) == trusted
    region.down = set()
    region.restart("a", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert (2, "accepted") in states(region)
    assert all(replica.member for replica in region.replicas.values()) and equal_logs(region)
