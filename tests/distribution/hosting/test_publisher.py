"""The host of a candidate for publisher: the lease, and messages of relays."""

from __future__ import annotations

from linenbridge.distribution.changes import START, Kind
from linenbridge.distribution.messages import Append, Prepare, Prepared, Progress, Publish
from tests.distribution.hosting.fakes import ConnectedPeer


def test_a_publisher_sends_to_relays_only_while_it_holds_its_lease(publisher):
    relay, client = ConnectedPeer(publisher.relays, "eu-1"), ConnectedPeer(publisher.clients, "author")
    client.send(Publish(1, "eu", Kind.ZONE, "a", b"x"))
    (rejection,) = client.received()
    assert (rejection.state, rejection.code) == ("refused", "not_publisher")
    assert relay.received() == []
    publisher.member.term = 5
    publisher.member.on_task_changed("another")
    assert relay.received() == []
    publisher.member.on_task_changed("publish-eu")
    (prepare,) = relay.received()
    assert prepare == Prepare("eu", 5)
    for name in ("eu-1", "eu-2"):
        relay_connection = relay if name == "eu-1" else ConnectedPeer(publisher.relays, name)
        relay_connection.send(Prepared("eu", 5, name, START, 0, incarnation=1))
    assert publisher.publisher.leading
    assert any(isinstance(message, Append) for message in relay.received())
    client.send(Publish(2, "eu", Kind.ZONE, "a", b"x"))
    assert client.received() == [], "no majority of relays has stored the change yet"
    publisher.member.term = None
    client.send(Publish(3, "eu", Kind.ZONE, "a", b"x"))
    assert {(response.request, response.state) for response in client.received()} == {
        (2, "unconfirmed"),
        (3, "refused"),
    }
    relay.received()
    for _ in range(5):
        publisher.reactor.advance(1.0)
    assert relay.received() == []
    assert not publisher.publisher.leading


def test_a_publisher_ignores_messages_under_another_relays_name(publisher):
    publisher.member.term = 5
    relay = ConnectedPeer(publisher.relays, "eu-1")
    relay.send(Prepared("eu", 5, "eu-2", START, 0, incarnation=1))
    relay.send(Progress("eu-2", 1, [], []))
    assert publisher.log.counts["distribution.name_mismatch", "relay"] == 2
    assert publisher.publisher.recovery is None or not publisher.publisher.recovery.done
