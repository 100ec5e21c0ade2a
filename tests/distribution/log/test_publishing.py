"""Publishing in one region without network faults: responses to change clients, bounds, propagation."""

from __future__ import annotations

from linenbridge.distribution.changes import MAX_VALUE_BYTES, Kind, Position, Version
from linenbridge.distribution.log.change_requests import MAX_QUEUED_CHANGES
from linenbridge.distribution.log.publisher import MAX_UNCOMMITTED_ENTRIES
from linenbridge.distribution.log.region_log import MAX_PAGE_BYTES
from linenbridge.distribution.log.replica import StoredLog
from linenbridge.distribution.log.replication import MAX_MESSAGES_IN_FLIGHT, MAX_WINDOW_BYTES
from linenbridge.distribution.messages import Progress, Publish, SubtreeSummary
from tests.distribution.log.world import REGION, TIMING, Region


def test_a_change_is_accepted_and_delivered_by_every_relay():
    region = Region()
    assert region.publisher("p", 1).leading
    region.publish("p", "one", b"1", 1)
    region.publish("p", "one", b"2", 2)
    assert region.states() == [(1, "accepted"), (2, "accepted")]
    assert all(region.values(name) == {"one": b"2"} for name in region.names)
    assert region.logs_are_equal()


def test_only_the_newest_entry_of_a_key_is_stored_and_entries_about_the_log_are_not_delivered(region):
    for number in range(50):
        region.publish("p", "one", b"%d" % number, number)
    stored = region.disks["a"].changes
    assert [row.value for row in stored if row.kind == Kind.TENANT] == [b"49"]
    assert len(stored) == 1 + 1 + 3  # the key, the epoch's first entry, the relays' incarnations
    assert all(row.kind != Kind.LOG for row in region.committed["a"])


def test_a_deletion_is_accepted_and_delivered_as_an_empty_value(region):
    region.publish("p", "one", b"1", 1)
    region.publish("p", "one", b"", 2)
    assert region.states()[-1] == (2, "accepted")
    assert region.values("b") == {"one": b""}


def test_an_invalid_change_is_rejected_with_its_code(region):
    publisher = region.publishers["p"]
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
    region.deliver_all()
    assert region.codes() == [("refused", "foreign_key")] + [("refused", "invalid")] * 5
    rejected = [event for _, event in region.events if event.name == "distribution.change_rejected"]
    assert rejected[0].fields["what"] == "the value is bad"
    assert "publish it again" in rejected[0].fields["do"]


def test_without_the_lease_changes_are_rejected_and_nothing_is_sent(region):
    region.publisher("p", None)
    sent = region.sent
    region.publish("p", "one", b"1")
    region.run(5_000)
    assert region.codes() == [("refused", "not_publisher")]
    assert region.sent == sent


def test_a_change_in_flight_when_the_lease_is_lost_is_unconfirmed(region):
    region.down = {"b", "c"}
    region.publish("p", "one", b"1")
    assert region.states() == []
    region.publisher("p", None)
    assert region.codes() == [("unconfirmed", "unconfirmed")]
    region.down = set()
    region.publisher("q", 2)
    assert region.values("c") in ({}, {"one": b"1"})
    assert region.logs_are_equal()


def test_without_a_majority_a_change_is_unconfirmed_and_accepted_later(region):
    region.down = {"b", "c"}
    region.publish("p", "one", b"1")
    region.run(TIMING.answer_within + TIMING.max_retry)
    assert region.codes() == [("unconfirmed", "unconfirmed")]
    region.down = set()
    region.run(2 * TIMING.max_retry)
    assert region.states() == [(1, "unconfirmed"), (1, "accepted")]


def test_a_change_queued_during_an_endless_recovery_is_rejected_at_its_deadline():
    region = Region()
    region.down = {"b", "c"}
    region.publisher("p", 1)
    region.publish("p", "one", b"1")
    region.run(2 * TIMING.answer_within)
    assert region.codes() == [("refused", "busy")]


def summary(followers: int, min_sequence: int, unreached: list[str]) -> SubtreeSummary:
    return SubtreeSummary(REGION, followers, min_sequence, [], unreached, len(unreached), [])


def report_progress(region: Region, relay: str, sequence: int, below: SubtreeSummary) -> None:
    message = Progress(relay, 1, [Position(REGION, 1, sequence)], [below])
    region.publishers["p"].on_progress(region.now, relay, message)
    region.deliver_all()


def test_in_force_is_reported_once_all_reached_relays_have_the_change_and_names_the_unreached(region):
    region.run(TIMING.silence // 2)
    region.publish("p", "one", b"1")
    end = region.replicas["a"].log.last.sequence
    report_progress(region, "a", end, summary(5, end, []))
    report_progress(region, "b", end, summary(4, end - 1, ["g7"]))
    assert region.states() == [(1, "accepted")]
    report_progress(region, "b", end, summary(4, end, ["g7"]))
    assert region.states() == [(1, "accepted")], "c may still report"
    region.run(TIMING.silence * 9 // 10)
    report_progress(region, "a", end, summary(5, end, []))
    response = region.responses[-1][1]
    assert response.state == "in_force"
    assert response.unreached == ["c", "g7"]
    assert response.unreached_count == 2
    assert response.version == Version(1, end)


def test_the_largest_changes_and_all_pages_fit_into_a_message(region):
    """`Region` asserts that each message is within the limit of a link."""
    publisher = region.publishers["p"]
    for number in range(3):
        name = f"{number}" + "é" * 200
        message = Publish(number, REGION, Kind.ROUTES, name, bytes([255]) * MAX_VALUE_BYTES)
        publisher.on_publish(region.now, "client", message)
    region.fill(100, size=400)
    region.restart("a", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert region.states()[:3] == [(0, "accepted"), (1, "accepted"), (2, "accepted")]
    assert region.logs_are_equal()
    assert region.replicas["a"].member


def test_the_queue_is_bounded_and_further_changes_are_rejected(region):
    publisher = region.publishers["p"]
    region.down = {"b", "c"}
    for number in range(MAX_UNCOMMITTED_ENTRIES + MAX_QUEUED_CHANGES + 10):
        publisher.on_publish(region.now, "client", Publish(number, REGION, Kind.TENANT, "k", b"1"))
        if number < 2 * MAX_UNCOMMITTED_ENTRIES:
            region.deliver_all()
    region.deliver_all()
    assert {code for _, code in region.codes()} == {"busy"}
    assert publisher.log.last.sequence - publisher.log.committed <= MAX_UNCOMMITTED_ENTRIES
    busy = len(region.codes())
    large = Publish(1, REGION, Kind.ROUTES, "k", b"x" * MAX_VALUE_BYTES)
    for _ in range(10):
        publisher.on_publish(region.now, "client", large)
    region.deliver_all()
    assert len(region.codes()) == busy + 10


def test_a_relay_that_does_not_respond_costs_one_window_and_then_a_few_bytes(region):
    publisher = region.publishers["p"]
    region.down = {"c"}
    region.fill(500)
    peer = publisher.peers["c"]
    assert sum(message.size for message in peer.in_flight) <= MAX_WINDOW_BYTES + MAX_PAGE_BYTES
    assert len(peer.in_flight) <= MAX_MESSAGES_IN_FLIGHT
    region.run(TIMING.max_retry)
    assert peer.probing
    assert len(peer.in_flight) == 1
    assert peer.in_flight[0].size == 0
