"""A relay's host: which peers it accepts messages from, and the effects of a slow or failing disk."""

from __future__ import annotations

from linenbridge.distribution.changes import START, Kind, Version, sealed
from linenbridge.distribution.errors import RelayStoreError
from linenbridge.distribution.messages import Append, Follow, Prepare, Progress
from tests.distribution.hosting.fakes import ConnectedPeer


def test_a_relay_answers_a_publisher_only_after_its_disk_write(relay):
    publisher = ConnectedPeer(relay.downstream, "p1")
    publisher.send(Prepare("eu", 3))
    assert publisher.received() == []
    relay.reactor.threads.run_all()
    (prepared,) = publisher.received()
    assert (prepared.epoch, prepared.code) == (3, "")
    entry = sealed("eu", Version(3, 1), Kind.LOG, "", b"")
    publisher.send(Append("eu", 3, START, 0, [entry]))
    assert publisher.received() == []
    relay.reactor.threads.run_all()
    (appended,) = publisher.received()
    assert (appended.upto, appended.code) == (1, "")


def test_a_relay_whose_disk_fails_answers_no_publisher_and_reports_the_failure_once(relay):
    disk_failed_callback = relay.on_disk_failed
    publisher = ConnectedPeer(relay.downstream, "p1")

    def fail_write(_persists: object) -> None:
        raise RelayStoreError("planted", "log.db")

    relay.writer.write = fail_write
    publisher.send(Prepare("eu", 3))
    relay.reactor.threads.run_all()
    publisher.send(Prepare("eu", 4))
    relay.reactor.threads.run_all()
    relay.reactor.advance(0)
    assert publisher.received() == []
    assert relay.replica.failed
    disk_failed_callback.assert_called_once_with()
    assert b"distribution.store_failed" in relay.log.stream.getvalue()


def test_a_relay_ignores_a_publisher_that_the_settings_do_not_name(relay):
    unauthorized_peer = ConnectedPeer(relay.downstream, "p9")
    unauthorized_peer.send(Prepare("eu", 3))
    relay.reactor.threads.run_all()
    assert unauthorized_peer.received() == []
    assert relay.replica.epoch == 0
    assert relay.log.counts["distribution.unauthorized_peer", "publisher"] == 1


def test_a_relay_ignores_messages_under_another_followers_name(relay):
    follower = ConnectedPeer(relay.downstream, "g-1")
    follower.send(Follow("g-2", 7, [], 0, []))
    follower.send(Progress("g-2", 7, [], []))
    assert not relay.feed.sessions
    assert relay.log.counts["distribution.name_mismatch", "follower"] == 2
    follower.send(Follow("g-1", 7, [], 0, []))
    assert list(relay.feed.sessions) == ["g-1"]
    assert follower.received()
    relay.downstream.on_disconnected(follower.connection)
    assert not relay.feed.sessions


def test_a_relay_follows_every_other_region_and_serves_its_own_log(relay):
    assert list(relay.followers) == ["us"]
    assert set(relay.feed.logs) == {"eu", "us"}
    assert {"followers", "epoch", "member", "committed"} <= set(relay.facts())
