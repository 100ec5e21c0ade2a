"""Tests which relay gets a follower's standby link, and when a follower returns to its preferred relay."""

from __future__ import annotations

from linenbridge.distribution.changes import Position
from linenbridge.distribution.messages import Follow
from tests.distribution.dissemination.harness import FollowerHarness


def test_the_first_relay_of_the_order_is_followed_and_the_standby_link_goes_to_the_second():
    gateway = FollowerHarness([Position("r1", 1, 5)]).following()
    gateway.run(1)

    assert gateway.core.relay == gateway.order[0]
    assert gateway.order[1] in gateway.dialled

    follow = gateway.last(Follow).message

    assert (follow.positions, follow.rate, follow.regions) == ([Position("r1", 1, 5)], 14_000, ["r1"])


def test_a_preferred_relay_is_followed_again_after_a_delay(gateway):
    best = gateway.core.relay
    gateway.core.on_link(gateway.now, best, connected=False)
    gateway.run(1)

    assert gateway.core.relay != best

    seconds = 0
    while gateway.core.relay != best and seconds < 90:
        gateway.receive(gateway.batch(0, 0))
        gateway.run(1)
        seconds += 1

    assert 20 <= seconds <= 45
