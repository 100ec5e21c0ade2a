"""Restarts of relays, with and without their disk: which incarnations count, and how a log is refilled."""

from __future__ import annotations

import pytest

from linenbridge.distribution.log.replica import StoredLog
from linenbridge.distribution.messages import Appended
from tests.distribution.log.world import REGION, TIMING, Region


def test_a_relay_far_behind_receives_pages_and_delivers_one_complete_state(region):
    region.down = {"c"}
    region.fill(300)
    region.fill(150)
    region.down = set()
    delivered_before = len(region.committed["c"])
    region.run(4 * TIMING.max_retry)
    assert region.logs_are_equal()
    assert region.values("c") == region.values("a")
    assert delivered_before == 0
    assert len(region.committed["c"]) == 300


@pytest.mark.parametrize("trusted", [True, False])
def test_a_relay_with_its_disk_resumes_where_it_was(trusted):
    region = Region(trusted=trusted)
    region.publisher("p", 1)
    region.fill(100)
    incarnation = region.replicas["a"].incarnation
    sent = region.sent
    region.restart("a")
    assert region.values("a") == region.values("b")
    region.run(4 * TIMING.max_retry)
    assert (region.replicas["a"].incarnation == incarnation) == trusted
    assert region.replicas["a"].member
    assert region.sent - sent < 120


def test_a_relay_that_lost_its_disk_counts_again_once_it_has_all_entries(region):
    region.fill(100)
    region.restart("a", StoredLog())
    assert not region.replicas["a"].member
    region.run(4 * TIMING.max_retry)
    assert region.replicas["a"].member
    assert region.values("a") == region.values("b")
    region.down = {"b"}
    region.publish("p", "after", b"1", 1_000)
    assert region.states()[-1] == (1_000, "accepted")


def test_a_relay_that_lost_its_log_does_not_make_a_majority(region):
    region.publish("p", "one", b"1", 1)
    region.down = {"b", "p"}
    region.restart("a", StoredLog())
    region.publisher("q", 2)
    region.run(10 * TIMING.max_retry)
    assert not region.publishers["q"].leading
    region.down = {"p"}
    region.run(4 * TIMING.max_retry)
    assert region.publishers["q"].leading
    assert region.values("a") == {"one": b"1"}


def test_relays_that_all_restarted_at_once_count_again_when_all_are_reachable(region):
    region.publish("p", "one", b"1", 1)
    for name in region.names:
        region.restart(name)
    region.run(4 * TIMING.max_retry)
    region.publish("p", "two", b"2", 2)
    assert region.states() == [(1, "accepted"), (2, "accepted")]
    assert all(replica.member for replica in region.replicas.values())


def test_a_late_response_of_a_retired_incarnation_is_ignored(region):
    """Acknowledgements of an earlier incarnation do not hold for the present one, which may have lost
    entries."""
    publisher = region.publishers["p"]
    incarnation = region.replicas["a"].incarnation
    region.restart("a", StoredLog())
    region.down = {"a"}
    region.run(TIMING.heartbeat)
    region.down = set()
    region.run(4 * TIMING.max_retry)
    acknowledged = publisher.peers["a"].acknowledged
    publisher.on_appended(region.now, Appended(REGION, 1, "a", acknowledged + 100, "", incarnation))
    assert publisher.peers["a"].acknowledged == acknowledged
    assert publisher.peers["a"].incarnation != incarnation


@pytest.mark.parametrize("trusted", [True, False])
def test_a_relay_restarted_while_another_is_unreachable_counts_at_once_only_if_trusted(trusted):
    """Unless disks are trusted, a restart is a new incarnation. Too few incarnations then count until all
    relays are reachable; a relay with an empty disk under the missing relay's name is enough."""
    region = Region(trusted=trusted)
    region.publisher("p", 1)
    region.publish("p", "one", b"1", 1)
    region.down = {"a"}
    region.restart("b")
    region.publish("p", "two", b"2", 2)
    region.run(4 * TIMING.max_retry)
    assert ((2, "accepted") in region.states()) == trusted
    region.down = set()
    region.restart("a", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert (2, "accepted") in region.states()
    assert all(replica.member for replica in region.replicas.values())
    assert region.logs_are_equal()
