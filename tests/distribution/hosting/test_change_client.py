"""A change client with two candidates for publisher: which one receives the change, and the outcome."""

from __future__ import annotations

import io

import pytest

from linenbridge.distribution.changes import Kind, Version
from linenbridge.distribution.configuration import Region
from linenbridge.distribution.hosting.change_client import RETRY_DELAY, ChangeClient
from linenbridge.distribution.messages import Publish, Published
from linenbridge.logging.event_log import Log
from tests.distribution.hosting.fakes import ConnectedPeer, FakeReactor


class ClientUnderTest:
    """A change client with two candidates."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        self.responses: list[Published] = []
        self.ended: list[bool] = []
        region = Region({}, {"p1": ("127.0.0.1", 1), "p2": ("127.0.0.1", 2)})
        change = Publish(5, "eu", Kind.ZONE, "a", b"\x91\xc3")
        self.client = ChangeClient(
            region,
            change,
            self.reactor,
            Log(io.BytesIO()),
            self.responses.append,
            lambda: self.ended.append(True),
        )
        self.candidates: dict[str, ConnectedPeer] = {}
        self.requested: list[str] = []
        self.client.connections.send = lambda to, message: self.requested.append(to)

    def connect(self, name: str) -> None:
        self.candidates[name] = ConnectedPeer(self.client.connections, name)

    def disconnect(self, name: str) -> None:
        self.client.connections.on_disconnected(self.candidates[name].connection)

    def respond(self, name: str, state: str, code: str = "", request: int = 5) -> None:
        self.client.connections.on_message(name, Published(request, state, Version(1, 2), code))

    def wait_for_retry(self) -> None:
        self.reactor.advance(RETRY_DELAY)


def test_a_change_client_tries_the_next_candidate_when_one_does_not_publish():
    client = ClientUnderTest()
    client.connect("p1")
    client.connect("p2")
    client.respond("p1", "refused", "not_publisher")
    client.wait_for_retry()
    assert client.requested == ["p1", "p2"]
    client.respond("p1", "accepted")
    assert client.client.outcome.accepted is None, (
        "a response from another candidate than the present one is ignored"
    )
    client.respond("p2", "accepted", request=4)
    assert client.client.outcome.accepted is None, "a response to another request is ignored"
    client.respond("p2", "accepted")
    client.respond("p2", "in_force")
    assert client.ended == [True]
    assert [row.state for row in client.responses] == ["accepted", "in_force"]
    client.client.close()
    assert not client.client.outcome.maybe_accepted


def test_a_rejected_value_is_not_sent_to_another_candidate():
    client = ClientUnderTest()
    client.connect("p1")
    client.respond("p1", "refused", "invalid")
    assert client.ended == [True]
    assert client.client.outcome.rejected.code == "invalid"
    assert not client.client.outcome.maybe_accepted


@pytest.mark.parametrize("cause", ["connection lost", "unconfirmed", "time is up"])
def test_a_change_that_may_be_accepted_is_never_reported_as_rejected(cause):
    client = ClientUnderTest()
    client.connect("p1")
    client.connect("p2")
    if cause == "connection lost":
        client.disconnect("p1")
    elif cause == "unconfirmed":
        client.respond("p1", "unconfirmed", "unconfirmed")
    if cause != "time is up":
        client.wait_for_retry()
        assert client.requested == ["p1", "p2"]
        client.respond("p2", "refused", "not_publisher")
    client.client.close()
    outcome = client.client.outcome
    assert outcome.maybe_accepted
    assert outcome.rejected is None
    assert outcome.accepted is None


def test_a_change_client_without_a_connection_sends_nothing():
    client = ClientUnderTest()
    client.wait_for_retry()
    client.client.close()
    assert not client.requested
    assert not client.client.outcome.maybe_accepted
