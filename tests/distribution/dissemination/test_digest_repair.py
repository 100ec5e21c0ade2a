"""What a follower does about a digest that differs from its relay's."""

from __future__ import annotations

from linenbridge.distribution.changes import Kind, Position, Version, range_of
from linenbridge.distribution.messages import (
    Digests,
)  # fmt: skip
from tests.distribution.dissemination.played import Gateway


def differing(gateway: Gateway, name: str = "a", after: int = 0) -> None:
    gateway.take(gateway.batch(after, after + 1, name, digest=7))
    gateway.answer(digest=8)


def test_a_digest_that_differs_at_two_relays_takes_ranges_anew_and_if_it_repeats_another_relay():
    gateway = Gateway().following()
    first = gateway.core.relay
    gateway.run(0.5)
    differing(gateway)
    gateway.run(0.5)
    second = gateway.core.relay
    assert second not in ("", first)
    assert not any(isinstance(send.message, Digests) for send in gateway.sent)
    gateway.take(gateway.batch(1, 1, digest=7))
    gateway.answer(digest=8)
    assert gateway.last(Digests).to == second
    gateway.take(gateway.whole(1, range_of(Kind.TENANT, "a"), "a"))
    gateway.answer(digest=8)
    assert gateway.core.relay == second
    gateway.take(gateway.batch(1, 1, digest=7))
    gateway.answer(digest=8)
    gateway.run(0.5)
    assert gateway.core.relay not in ("", first, second)
    assert gateway.core.counters.differed == 3
    left = [event for event in gateway.events if event.name == "distribution.left"]
    assert [event.fields["reason"] for event in left] == ["digest", "digest"]


def test_where_the_second_relay_agrees_nothing_is_taken_of_the_first():
    gateway = Gateway().following()
    gateway.run(0.5)
    differing(gateway)
    gateway.run(0.5)
    gateway.take(gateway.batch(1, 1, digest=8))
    gateway.answer(digest=8)
    gateway.run(1)
    assert gateway.core.following
    assert not any(isinstance(send.message, Digests) for send in gateway.sent)


def test_where_there_is_no_other_relay_ranges_are_taken_after_a_time():
    gateway = Gateway([Position("r1", 1, 3)])
    gateway.dead = set(gateway.order[1:])
    gateway.following()
    for _ in range(7):
        gateway.take(gateway.batch(3, 3, digest=7))
        if gateway.applied:
            gateway.answer(digest=8)
        gateway.run(1)
    asked = gateway.last(Digests)
    assert (asked.to, asked.message.at) == (gateway.order[0], Version(1, 3))


def test_the_same_digest_or_none_asks_for_nothing():
    gateway = Gateway().following()
    gateway.take(gateway.batch(0, 2, "ab", digest=7))
    gateway.answer(digest=7)
    gateway.take(gateway.batch(2, 2, digest=7))
    gateway.take(gateway.batch(2, 3, "c", digest=9))
    gateway.answer(digest=None)
    assert not any(isinstance(send.message, Digests) for send in gateway.sent)


def test_a_kept_store_is_compared_with_the_first_heartbeat_that_tells_a_digest():
    gateway = Gateway([Position("r1", 1, 5)]).following()
    gateway.run(0.5)
    gateway.take(gateway.batch(5, 5, digest=3))
    assert (gateway.applied[-1].changes, gateway.applied[-1].digest) == ([], 3)
    gateway.answer(digest=4)
    assert gateway.core.counters.differed == 1
