"""A follower's reaction to a digest that differs from its relay's."""

from __future__ import annotations

from linenbridge.distribution.changes import Kind, Position, Version, range_of
from linenbridge.distribution.messages import (
    Digests,
)
from tests.distribution.dissemination.harness import FollowerHarness


def differing(gateway: FollowerHarness, name: str = "a", after: int = 0) -> None:
    gateway.receive(gateway.batch(after, after + 1, name, digest=7))
    gateway.report_applied(digest=8)


def test_a_digest_that_differs_at_two_relays_is_repaired_and_the_relay_is_left_if_that_fails(gateway):
    first = gateway.core.relay
    gateway.run(0.5)
    differing(gateway)
    gateway.run(0.5)
    second = gateway.core.relay

    assert second not in ("", first)
    assert not any(isinstance(send.message, Digests) for send in gateway.sent)

    gateway.receive(gateway.batch(1, 1, digest=7))
    gateway.report_applied(digest=8)

    assert gateway.last(Digests).to == second

    gateway.receive(gateway.snapshot(1, range_of(Kind.TENANT, "a"), "a"))
    gateway.report_applied(digest=8)

    assert gateway.core.relay == second

    gateway.receive(gateway.batch(1, 1, digest=7))
    gateway.report_applied(digest=8)
    gateway.run(0.5)

    assert gateway.core.relay not in ("", first, second)
    assert gateway.core.counters.digest_mismatches == 3

    left = [event for event in gateway.events if event.name == "distribution.left"]

    assert [event.fields["reason"] for event in left] == ["digest", "digest"]


def test_no_ranges_are_requested_if_the_second_relay_has_the_same_digest(gateway):
    gateway.run(0.5)
    differing(gateway)
    gateway.run(0.5)
    gateway.receive(gateway.batch(1, 1, digest=8))
    gateway.report_applied(digest=8)
    gateway.run(1)

    assert gateway.core.following
    assert not any(isinstance(send.message, Digests) for send in gateway.sent)


def test_ranges_are_requested_from_the_only_relay_after_a_delay():
    gateway = FollowerHarness([Position("r1", 1, 3)])
    gateway.unreachable = set(gateway.order[1:])
    gateway.following()
    for _ in range(7):
        gateway.receive(gateway.batch(3, 3, digest=7))
        if gateway.applied:
            gateway.report_applied(digest=8)
        gateway.run(1)
    request = gateway.last(Digests)

    assert (request.to, request.message.at) == (gateway.order[0], Version(1, 3))


def test_an_equal_or_absent_digest_requests_no_ranges(gateway):
    gateway.receive(gateway.batch(0, 2, "ab", digest=7))
    gateway.report_applied(digest=7)
    gateway.receive(gateway.batch(2, 2, digest=7))
    gateway.receive(gateway.batch(2, 3, "c", digest=9))
    gateway.report_applied(digest=None)

    assert not any(isinstance(send.message, Digests) for send in gateway.sent)


def test_the_digest_of_a_restored_store_is_compared_with_the_first_one_of_a_heartbeat():
    gateway = FollowerHarness([Position("r1", 1, 5)]).following()
    gateway.run(0.5)
    gateway.receive(gateway.batch(5, 5, digest=3))

    assert (gateway.applied[-1].changes, gateway.applied[-1].digest) == ([], 3)

    gateway.report_applied(digest=4)

    assert gateway.core.counters.digest_mismatches == 1
