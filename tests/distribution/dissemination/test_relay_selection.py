"""The order in which a follower tries relays, and their backoff."""

from __future__ import annotations

from collections import Counter
from random import Random

from linenbridge.distribution.dissemination.relay_selection import RelayOrder, rank_relays
from tests.distribution.dissemination.harness import HOME_RELAYS, REMOTE_RELAYS

SECOND = 1_000_000


def test_the_order_spreads_followers_evenly_and_those_of_a_lost_relay_over_all_others():
    first = Counter(rank_relays(f"g{n}", "r1", HOME_RELAYS + REMOTE_RELAYS)[0] for n in range(4_000))

    assert set(first) == {relay.name for relay in HOME_RELAYS}
    assert all(850 < count < 1_150 for count in first.values())

    second = Counter(
        order[1]
        for order in (rank_relays(f"g{n}", "r1", HOME_RELAYS + REMOTE_RELAYS) for n in range(4_000))
        if order[0] == "near0"
    )

    assert all(250 < count < 420 for count in second.values())
    assert [name[:3] for name in rank_relays("g", "r1", HOME_RELAYS + REMOTE_RELAYS)] == ["nea"] * 4 + [
        "far"
    ] * 2


def test_the_backoff_doubles_up_to_a_maximum_and_is_reset_by_service():
    order = RelayOrder("g", "r1", HOME_RELAYS[:1], Random(1))
    waits = []
    for _ in range(10):
        order.on_failed(0, "near0")
        waits.append(order.next_usable_at())

    assert 500_000 <= waits[0] < 750_000
    assert all(4 * SECOND <= wait < 6 * SECOND for wait in waits[3:])

    order.on_served("near0")

    assert order.usable(0) == ["near0"]

    order.on_failed(0, "near0", min_wait=99 * SECOND)

    assert order.next_usable_at() == 99 * SECOND
