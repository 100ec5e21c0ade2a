"""Tombstones of deleted keys: when they are purged, and that a purge restores no deleted key."""

from __future__ import annotations

import pytest

from linenbridge.distribution.log.replica import StoredLog
from tests.distribution.log.world import TIMING

pytestmark = pytest.mark.usefixtures("few_tombstones")


def test_tombstones_are_purged_once_every_relay_has_them(region):
    region.publish("p", "stays", b"1")
    region.publish_and_delete(40)
    assert all("stays" in region.stored_keys(name) for name in region.names)
    assert all(len(region.stored_keys(name)) <= 7 for name in region.names)
    assert region.disks["a"].purged_up_to > 0


def test_tombstones_are_retained_while_an_unreachable_relay_lacks_them(region):
    region.publish("p", "key-0", b"1")
    region.down = {"c"}
    region.publish_and_delete(20)
    assert len(region.stored_keys("a")) == 20
    region.down = set()
    region.run(10 * TIMING.max_retry)
    assert region.values("c").get("key-0") == b""
    assert region.logs_are_equal()
    region.publish_and_delete(4, first=30)
    assert all(len(region.stored_keys(name)) <= 7 for name in region.names)


def test_a_relay_refilled_after_a_purge_has_what_the_others_have(region):
    region.publish("p", "stays", b"1")
    region.publish_and_delete(20)
    region.restart("c", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert region.stored_keys("c") == region.stored_keys("a")
    assert region.replicas["c"].member


def test_a_disk_restored_from_before_a_purge_fails_its_relay(region):
    region.publish("p", "key-0", b"1")
    older = region.disks["c"]
    region.publish_and_delete(20)
    region.restart("c", older)
    region.run(4 * TIMING.max_retry)
    failures = [event.fields for name, event in region.events if event.name == "distribution.store_failed"]
    assert len(failures) == 1
    assert "an older disk was restored" in failures[0]["what"]
    assert "empty the store" in failures[0]["do"]
    assert region.disks["c"].committed == older.committed
    region.restart("c", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert region.stored_keys("c") == region.stored_keys("a")


def test_a_returning_publisher_restores_no_key_that_was_deleted_meanwhile(region):
    region.publish("p", "key-0", b"1")
    region.publisher("p", None)
    region.publisher("q", 2)
    region.publish_and_delete(20, name="q")
    region.publisher("q", None)
    region.publisher("p", 3)
    assert region.publishers["p"].leading
    region.restart("c", StoredLog())
    region.run(4 * TIMING.max_retry)
    assert region.stored_keys("c") == region.stored_keys("a")
    assert "key-0" not in region.stored_keys("c")
