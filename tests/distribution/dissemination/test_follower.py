"""One follower with simulated relays: the relay that it follows and its reports of progress."""

from __future__ import annotations

from linenbridge.distribution.decisions import Send
from linenbridge.distribution.messages import (
    Follow,
    Progress,
    FollowRejected,
)
from tests.distribution.dissemination.harness import HOME_RELAYS, REMOTE_RELAYS, FollowerHarness

SECOND = 1_000_000


def test_after_the_loss_of_its_relay_a_follower_follows_the_standby_within_the_jitter(gateway):
    gateway.run(2)
    lost = gateway.core.relay
    began = gateway.now
    gateway.core.on_link(gateway.now, lost, connected=False)
    gateway.run(0.5)

    assert gateway.core.relay == gateway.order[1]
    assert gateway.last(Follow).to == gateway.order[1]
    assert gateway.now - began <= SECOND
    assert gateway.core.counters.lost == 1


def test_a_silent_relay_is_left_and_notified_later(gateway):
    silent = gateway.core.relay
    gateway.run(3)

    assert gateway.core.relay == gateway.order[1]
    assert gateway.core.counters.silent == 1
    assert silent in gateway.disconnected

    gateway.receive(gateway.batch(0, 0))
    gateway.run(2)

    assert Send(silent, Progress("gateway", 0, [], [])) in gateway.sent


def test_all_unreachable_relays_are_tried_in_order_and_again_after_a_backoff():
    gateway = FollowerHarness()
    gateway.unreachable = {relay.name for relay in HOME_RELAYS + REMOTE_RELAYS}
    gateway.run(12)
    first = list(dict.fromkeys(gateway.dialled))

    assert first == gateway.order

    gateway.run(60)

    assert 12 <= len(gateway.dialled) <= 60, "each relay is tried again after its backoff"


def test_a_full_relay_is_not_tried_again_before_the_wait_that_it_requests():
    gateway = FollowerHarness()
    gateway.run(1)
    full = gateway.core.relay
    gateway.core.on_rejected(gateway.now, full, FollowRejected(gateway.session, "full", 50 * SECOND))
    gateway.run(1)

    assert gateway.core.relay == gateway.order[1]

    gateway.receive(gateway.batch(0, 0))
    for _ in range(40):
        gateway.run(1)
        gateway.receive(gateway.batch(0, 0))

    assert gateway.dialled.count(full) <= 2, "once to follow it, once to notify it of the other relay"


def test_progress_is_reported_each_second_and_soon_after_a_change(gateway):
    for _ in range(5):
        gateway.run(1)
        gateway.receive(gateway.batch(0, 0))
    reports = [send for send in gateway.sent if isinstance(send.message, Progress) and send.message.session]

    assert 5 <= len(reports) <= 11
