"""The rules by which a follower accepts or ignores batches and ranges, or treats them as malformed."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from linenbridge.distribution.changes import Kind, Position, Version, range_of, sealed
from linenbridge.distribution.messages import (
    Batch,
    Digests,
    Follow,
    batch_checksum,
)
from tests.distribution.dissemination.harness import SETTINGS, FollowerHarness

SECOND = 1_000_000
_encode = msgspec.msgpack.Encoder().encode


def test_batches_are_accepted_in_order_and_acknowledged_once_applied(gateway):
    gateway.receive(gateway.batch(0, 2, "ab"))
    gateway.run(0.3)

    assert gateway.progress().received == 1

    gateway.report_applied()
    gateway.run(0.3)
    progress = gateway.progress()

    assert (progress.received, progress.positions) == (2, [Position("r1", 1, 2)])
    assert [change.name for change in gateway.applied[0].changes] == ["a", "b"]


def test_after_a_gap_the_session_restarts_at_the_position_and_after_four_the_relay_is_left(gateway):
    gateway.receive(gateway.batch(0, 2, "ab"))
    session = gateway.session
    relay = gateway.core.relay
    gateway.receive(gateway.batch(5, 6, "c"))

    assert gateway.session != session
    assert gateway.last(Follow).message.positions == [Position("r1", 1, 2)]
    assert len(gateway.applied) == 1

    for _ in range(3):
        gateway.receive(gateway.batch(5, 6, "c"))
    gateway.run(0.5)

    assert gateway.core.relay != relay
    assert gateway.core.counters.gaps == 4


def test_repeated_messages_and_those_of_another_session_or_relay_are_ignored(gateway):
    first = gateway.batch(0, 2, "ab")
    gateway.receive(first)
    gateway.receive(first)
    gateway.receive(gateway.batch(0, 2, "ab"))
    gateway.receive(msgspec.structs.replace(gateway.batch(2, 3, "c"), session=1))
    gateway.receive(gateway.batch(2, 3, "c"), relay=gateway.order[3])

    assert len(gateway.applied) == 1
    assert gateway.core.counters.ignored == 4


def changed_value(batch: Batch) -> Batch:
    change = msgspec.structs.replace(batch.changes[0], value=b"other")
    changes = [change, *batch.changes[1:]]
    checksum = batch_checksum("r1", batch.after, batch.upto, _encode(changes))
    return msgspec.structs.replace(batch, changes=changes, checksum=checksum)


def reordered(batch: Batch) -> Batch:
    changes = batch.changes[::-1]
    checksum = batch_checksum("r1", batch.after, batch.upto, _encode(changes))
    return msgspec.structs.replace(batch, changes=changes, checksum=checksum)


def beyond_its_end(batch: Batch) -> Batch:
    upto = Version(1, 1)
    checksum = batch_checksum("r1", batch.after, upto, _encode(batch.changes))
    return msgspec.structs.replace(batch, upto=upto, checksum=checksum)


def shortened(batch: Batch) -> Batch:
    return msgspec.structs.replace(batch, changes=batch.changes[:1])


def of_another_region(batch: Batch) -> Batch:
    changes = [sealed("r2", change.version, change.kind, change.name, b"v") for change in batch.changes]
    checksum = batch_checksum("r1", batch.after, batch.upto, _encode(changes))
    return msgspec.structs.replace(batch, changes=changes, checksum=checksum)


@pytest.mark.parametrize("corrupt", [changed_value, reordered, beyond_its_end, shortened, of_another_region])
def test_a_malformed_batch_is_discarded_counted_and_logged_and_its_relay_is_left(gateway, corrupt):
    relay = gateway.core.relay
    gateway.receive(corrupt(gateway.batch(0, 2, "ab")))

    assert gateway.applied == []
    assert gateway.core.counters.malformed == 1

    event = next(each for each in gateway.events if each.name == "distribution.malformed")

    assert event.fields["relay"] == relay

    gateway.run(1)

    assert gateway.core.relay != relay


def test_a_follower_behind_the_horizon_requests_ranges_and_advances_with_the_final_one():
    gateway = FollowerHarness([Position("r1", 1, 3)]).following()
    gateway.receive(gateway.batch(3, 3, horizon=9))
    requests = gateway.last(Digests)

    assert (requests.message.at, requests.message.digests) == (Version(1, 3), b"d")

    index = range_of(Kind.TENANT, "a")
    gateway.receive(gateway.snapshot(9, index, "a"))
    replaced = gateway.applied[-1]

    assert (replaced.range_index, replaced.final, replaced.upto) == (index, True, Version(1, 9))

    gateway.report_applied()

    assert gateway.core.positions() == [Position("r1", 1, 9)]

    gateway.receive(gateway.batch(9, 10, "b"))

    assert gateway.applied[-1].upto == Version(1, 10)


def test_an_incomplete_range_is_not_applied_and_a_missing_part_is_a_gap():
    gateway = FollowerHarness([Position("r1", 1, 3)]).following()
    gateway.receive(gateway.batch(3, 3, horizon=9))
    index = range_of(Kind.TENANT, "a")
    gateway.receive(gateway.snapshot(9, index, "a", last=False, final=False))

    assert gateway.applied == []

    gateway.receive(gateway.snapshot(9, index, "a", part=2))

    assert (gateway.applied, gateway.core.counters.gaps) == ([], 1)


@pytest.mark.parametrize(("index", "name"), [(0, "a"), (2_000, "")])
def test_a_range_with_a_key_of_another_range_or_a_wrong_index_is_malformed(index, name):
    gateway = FollowerHarness([Position("r1", 1, 3)]).following()
    gateway.receive(gateway.batch(3, 3, horizon=9))
    gateway.receive(gateway.snapshot(9, index, name))

    assert (gateway.applied, gateway.core.counters.malformed) == ([], 1)


def test_unrequested_ranges_are_ignored():
    gateway = FollowerHarness([Position("r1", 1, 3)]).following()
    gateway.receive(gateway.snapshot(9, range_of(Kind.TENANT, "a"), "a"))

    assert (gateway.applied, gateway.core.counters.ignored) == ([], 1)


def test_ranges_are_requested_again_if_none_arrive_within_the_timeout():
    gateway = FollowerHarness([Position("r1", 1, 3)], replace(SETTINGS, range_timeout=2 * SECOND)).following()
    for _ in range(4):
        gateway.receive(gateway.batch(3, 3, horizon=9))
        gateway.run(1)
    requests = [send for send in gateway.sent if isinstance(send.message, Digests)]

    assert len(requests) == 2
