"""The checks of the upgrade find planted faults, and report none in records without faults."""

from __future__ import annotations

import json

import pytest

from linenbridge.distribution.changes import Change, Kind, Version, sealed
from tests.upgrade.checks import (
    Acknowledged,
    differing_digests,
    lost_changes,
    newest_of_each_key,
    read_log,
    table_digest,
    term_faults,
)


def line(event: str, **fields: object) -> bytes:
    return json.dumps({"at": 1.0, "event": event, **fields}).encode() + b"\n"


def tenant(sequence: int, name: str, value: bytes, epoch: int = 1) -> Change:
    return sealed("eu", Version(epoch, sequence), Kind.TENANT, name, value)


def test_lines_of_a_log_without_faults_are_counted_by_event():
    summary = read_log(
        line("distribution.follower_rejected", follower="g-1", code="relay_behind")
        + line("link.up", of="p1", number=1)
        + line("link.up", of="p2", number=1)
        + line("distribution.refused_follower", follower="g-1", code="relay_behind")
        + line("counters", counts={"link.up.p1": 3, "link.malformed.p1": 0}, spoilt=0, refused_followers=1)
    )
    assert summary.faults == []
    assert summary.events == {
        "distribution.follower_rejected": 1,
        "link.up": 2,
        "distribution.refused_follower": 1,
        "counters": 1,
    }


@pytest.mark.parametrize(
    "event",
    [
        "link.malformed",
        "link.stranger",
        "link.too_long",
        "link.unread",
        "distribution.misnamed",
        "distribution.stranger",
        "distribution.refused_change",
        "distribution.change_refused",
        "distribution.replica_malformed",
        "distribution.digest_differs",
        "distribution.spoilt",
        "distribution.store_failed",
        "distribution.store_lost",
        "distribution.store_set_aside",
        "store.failed",
        "act.refused",
        "failed",
    ],
)
def test_a_fault_under_its_name_at_the_base_is_found_in_a_log(event):
    summary = read_log(line("member.started") + line(event, of="p1"))
    assert len(summary.faults) == 1
    assert event in summary.faults[0]


@pytest.mark.parametrize(
    "event",
    [
        "distribution.unauthorized_peer",
        "distribution.name_mismatch",
        "distribution.rejected_change",
        "task_action.rejected",
        "peer.malformed",
        "peer.unauthorized",
        "peer.message_too_long",
        "peer.send_buffer_full",
        "fleet.settings_rejected",
    ],
)
def test_a_fault_under_its_present_name_is_found_in_a_log(event):
    assert read_log(line(event)).faults


@pytest.mark.parametrize(
    ("fields", "counter"),
    [
        ({"spoilt": 2}, "spoilt is 2"),
        ({"digests_differed": 1}, "digests_differed is 1"),
        ({"keys_refused": 1}, "keys_refused is 1"),
        ({"counts": {"link.malformed.eu-1": 4}}, "link.malformed.eu-1 is 4"),
    ],
)
def test_a_counter_of_a_fault_above_zero_is_a_fault_without_a_line_of_its_event(fields, counter):
    (fault,) = read_log(line("counters", **fields)).faults
    assert counter in fault


def test_a_line_that_is_not_json_is_a_fault():
    assert len(read_log(b"Traceback (most recent call last):\n" + line("stopped")).faults) == 1


def test_the_table_has_the_newest_change_of_each_key_up_to_a_sequence():
    changes = [tenant(3, "a", b"new"), tenant(1, "a", b"old"), tenant(2, "b", b"x"), tenant(4, "b", b"later")]
    table = newest_of_each_key(changes, up_to=3)
    assert {key[1]: change.value for key, change in table.items()} == {"a": b"new", "b": b"x"}
    assert table_digest(table.values()) == table_digest([changes[2], changes[0]]) != table_digest(changes)


def acknowledged(sequence: int, value: bytes = b"x", epoch: int = 1) -> Acknowledged:
    return Acknowledged(Kind.TENANT, "a", value, epoch, sequence)


@pytest.mark.parametrize(
    ("change", "present", "fault"),
    [
        (acknowledged(2), None, "the key is missing"),
        (acknowledged(2), tenant(1, "a", b"w"), "1/1 is in force"),
        (acknowledged(2), tenant(2, "a", b"w"), "another change has its sequence"),
        (acknowledged(2), tenant(2, "a", b"x", epoch=2), "another change has its sequence"),
    ],
)
def test_a_lost_change_is_reported_with_its_reason(change, present, fault):
    table = {} if present is None else {present.key: present}
    (found,) = lost_changes([change], table)
    assert fault in found


@pytest.mark.parametrize(
    ("change", "present"),
    [
        (acknowledged(2), tenant(2, "a", b"x")),
        (acknowledged(2), tenant(3, "a", b"y")),
        (acknowledged(2, b""), tenant(2, "a", b"")),
        (acknowledged(2, b""), None),
    ],
)
def test_a_change_that_is_present_or_superseded_or_a_removed_tombstone_is_not_lost(change, present):
    assert not lost_changes([change], {} if present is None else {present.key: present})


def test_absent_and_differing_digests_are_reported():
    assert not differing_digests({"eu-1": 5, "eu-2": 5, "g-1": 5})
    assert len(differing_digests({"eu-1": 5, "eu-2": 6, "g-1": None, "g-2": 5})) == 2


def test_falling_terms_and_too_few_terms_for_the_replaced_holders_are_reported():
    assert not term_faults([1, 1, 2, 2, 3], replaced_holders=2)
    assert term_faults([1, 2, 1], replaced_holders=1) == ["term 1 follows 2"]
    assert term_faults([1, 1, 2], replaced_holders=2) == ["2 terms for 2 replaced holders"]
