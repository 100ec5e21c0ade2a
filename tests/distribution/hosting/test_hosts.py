"""Relay, gateway and author around their cores, on a reactor in memory: who is heard, what a disk does."""

from __future__ import annotations

import dataclasses
import io
from collections.abc import Callable
from pathlib import Path
from random import Random
from unittest.mock import Mock

import msgspec
import pytest
from twisted.internet.testing import StringTransport

from linenbridge.configuration.read import parse
from linenbridge.distribution.changes import START, Kind, Version, sealed
from linenbridge.distribution.configuration import DistributionSettings, Region, distribution
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.errors import RelayStoreError, ViewStoreError
from linenbridge.distribution.hosting import publisher as hosting
from linenbridge.distribution.hosting.change_client import RETRY_DELAY, ChangeClient
from linenbridge.distribution.hosting.gateway import STORE_INTERVAL, Gateway, open_view
from linenbridge.distribution.hosting.methods import Methods
from linenbridge.distribution.hosting.publisher import PublisherProcess
from linenbridge.distribution.hosting.relay import Relay
from linenbridge.distribution.messages import (
    Append, Appended, Batch, Follow, Prepare, Prepared, Progress, Publish, Published,
)  # fmt: skip
from linenbridge.peering.connections import Links
from linenbridge.logging.event_log import Log
from tests.distribution.hosting.fakes import FakeReactor
from tests.distribution.hosting.test_configuration import GATEWAY, PUBLISHER, RELAY, file, fleet
from tests.helpers import startup

Message = Prepare | Prepared | Append | Appended | Batch | Published | Progress
_decode = msgspec.msgpack.Decoder(Message).decode


class ConnectedPeer:
    """A connected peer; `received()` is what was sent to it since the last call, `Progress` aside."""

    def __init__(self, links: Links, name: str) -> None:
        self.links, self.name, self._received = links, name, []
        self.link = links.buildProtocol(None)
        self.link.makeConnection(Wire())
        self.link.far = name
        self.link.quiet.cancel()
        links.met(self.link)
        self.link.callRemote = lambda command, word: self._received.append(_decode(word))

    def send(self, message: object) -> None:
        self.links.hear(self.name, message)

    def received(self) -> list:
        received = [message for message in self._received if not isinstance(message, Progress)]
        self._received.clear()
        return received


class Wire(StringTransport):
    def setTcpNoDelay(self, on: bool) -> None: ...  # noqa: N802


def settings_of(words: str, folder: Path) -> DistributionSettings:
    return distribution(parse(file(words), str(folder / "x.xml")))


@pytest.fixture
def relay(tmp_path: Path) -> Relay:
    (tmp_path / "eu-1").mkdir()
    settings = settings_of(RELAY.replace("eu-1.db", "eu-1"), tmp_path)
    found = Relay(settings, FakeReactor(), Log(io.BytesIO()), Random(1), Mock())
    found.reactor.threads.run_all()
    yield found
    found.close(lambda: None)
    found.reactor.threads.run_all()


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
    broken = relay._on_broken
    publisher = ConnectedPeer(relay.downstream, "p1")

    def full(keeps: object) -> None:
        raise RelayStoreError("planted", "log.db")

    relay.writer.write = full
    publisher.send(Prepare("eu", 3))
    relay.reactor.threads.run_all()
    publisher.send(Prepare("eu", 4))
    relay.reactor.threads.run_all()
    relay.reactor.advance(0)
    assert publisher.received() == [] and relay.replica.broken
    broken.assert_called_once_with()
    assert b"distribution.store_failed" in relay.log.stream.getvalue()


def test_a_relay_ignores_a_publisher_that_the_settings_do_not_name(relay):
    unauthorized_peer = ConnectedPeer(relay.downstream, "p9")
    unauthorized_peer.send(Prepare("eu", 3))
    relay.reactor.threads.run_all()
    assert unauthorized_peer.received() == [] and relay.replica.epoch == 0
    assert relay.log.counts["distribution.unauthorized_peer", "publisher"] == 1


def test_a_relay_ignores_messages_under_another_followers_name(relay):
    follower = ConnectedPeer(relay.downstream, "g-1")
    follower.send(Follow("g-2", 7, [], 0, []))
    follower.send(Progress("g-2", 7, [], []))
    assert not relay.feed.sessions and relay.log.counts["distribution.name_mismatch", "follower"] == 2
    follower.send(Follow("g-1", 7, [], 0, []))
    assert list(relay.feed.sessions) == ["g-1"] and follower.received()
    relay.downstream.lost(follower.link)
    assert not relay.feed.sessions


def test_a_relay_follows_every_other_region_and_serves_its_own_log(relay):
    assert list(relay.followers) == ["us"] and set(relay.feed.tables) == {"eu", "us"}
    assert {"followers", "epoch", "member", "committed"} <= set(relay.facts())


# ---- a publisher -------------------------------------------------------------------------------------------


class FakeMember:
    """Holds what the test says."""

    def __init__(self, *row: object, tasks_changed: Callable[[str], None]) -> None:
        self.tasks_changed, self.term = tasks_changed, None

    def holds(self, task: str) -> tuple[int, int] | None:
        return None if task != "publish-eu" or self.term is None else (self.term, 0)

    def facts(self) -> dict[str, int]:
        return {}


@pytest.fixture
def publisher(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> PublisherProcess:
    monkeypatch.setattr(hosting, "Member", FakeMember)
    data = file(PUBLISHER, before=fleet('<task name="publish-eu"/>'))
    settings = distribution(parse(data, str(tmp_path / "x.xml")))
    return PublisherProcess(
        settings, None, FakeReactor(), Log(io.BytesIO()), lambda kind, name, value: "", Random(1)
    )


def test_a_publisher_sends_to_relays_only_while_it_holds_its_task(publisher):
    relay, author = ConnectedPeer(publisher.relays, "eu-1"), ConnectedPeer(publisher.clients, "author")
    author.send(Publish(1, "eu", Kind.ZONE, "a", b"x"))
    (refused,) = author.received()
    assert (refused.state, refused.code) == ("refused", "not_publisher") and relay.received() == []
    publisher.member.term = 5
    publisher.member.tasks_changed("another")
    assert relay.received() == []
    publisher.member.tasks_changed("publish-eu")
    (prepare,) = relay.received()
    assert prepare == Prepare("eu", 5)
    for name in ("eu-1", "eu-2"):
        end = relay if name == "eu-1" else ConnectedPeer(publisher.relays, name)
        end.send(Prepared("eu", 5, name, START, 0, life=1))
    assert publisher.publisher.leading and any(isinstance(one, Append) for one in relay.received())
    author.send(Publish(2, "eu", Kind.ZONE, "a", b"x"))
    assert author.received() == [], "no majority has it yet"
    publisher.member.term = None
    author.send(Publish(3, "eu", Kind.ZONE, "a", b"x"))
    assert {(each.request, each.state) for each in author.received()} == {(2, "unconfirmed"), (3, "refused")}
    relay.received()
    for _ in range(5):
        publisher.reactor.advance(1.0)
    assert relay.received() == [] and not publisher.publisher.leading


def test_a_publisher_ignores_messages_under_another_relays_name(publisher):
    publisher.member.term = 5
    relay = ConnectedPeer(publisher.relays, "eu-1")
    relay.send(Prepared("eu", 5, "eu-2", START, 0, life=1))
    relay.send(Progress("eu-2", 1, [], []))
    assert publisher.log.counts["distribution.name_mismatch", "relay"] == 2
    assert publisher.publisher.reading is None or not publisher.publisher.reading.done


# ---- a gateway ---------------------------------------------------------------------------------------------


def gateway(tmp_path: Path, store: str = 'store="g.db"') -> Gateway:
    settings = settings_of(f"{GATEWAY} {store}", tmp_path)
    reactor, log = FakeReactor(), Log(io.BytesIO())
    view, kept = open_view(settings, Methods(startup().methods, 2_000_000), log)
    return Gateway(settings, reactor, log, view, Random(1), kept)


def routes(sequence: int, text: str, name: str = "shop") -> Apply:
    change = sealed("eu", Version(1, sequence), Kind.ROUTES, name, text.encode())
    return Apply("eu", change.version, [change])


GOOD = f'route a {{ when always method "{startup().methods[0].name}" }}'


def test_a_gateway_checks_routes_between_turns_and_puts_a_batch_in_force_in_one(tmp_path):
    """Each of the two batches has two sets: however many turns their checks take, a batch's sets come into
    force in one turn, and the second batch's after the first's."""
    found = gateway(tmp_path, "")
    names = ("shop", "desk", "till", "door")
    for first in (0, 2):
        pair = [routes(first + n + 1, GOOD, names[first + n]).changes[0] for n in (0, 1)]
        found._enqueue(Apply("eu", pair[-1].version, pair))
    assert found.view.routes("shop") is None, "it is not in force before its turn"
    turns = []
    while found.pending:
        found.reactor.calls.pop(0).func()
        turns.append(tuple(found.view.routes(name) is not None for name in names))
    assert list(dict.fromkeys(turns)) == [(False,) * 4, (True, True, False, False), (True,) * 4]
    assert turns == sorted(turns) and turns.count((False,) * 4) >= 2, "a turn or more for each set"
    assert [position.sequence for position in found.view.positions()] == [4]


def test_a_rejected_change_is_logged_and_the_last_good_one_stays_in_force(tmp_path):
    found = gateway(tmp_path, "")
    for apply in (routes(1, GOOD), routes(2, "route {")):
        found._enqueue(apply)
        for _ in range(3):
            found.reactor.advance(0)
    assert found.view.routes("shop") is not None and found.facts()["keys_rejected"] == 1
    line = next(row for row in found.log.stream.getvalue().splitlines() if b"rejected_change" in row)
    fields = msgspec.json.decode(line)
    assert "routes shop at eu/1/2" in fields["where"] and fields["what"] and fields["do"]


def test_a_restarted_gateway_restores_its_view_from_the_store(tmp_path):
    found = gateway(tmp_path)
    found._enqueue(routes(1, GOOD))
    found.reactor.advance(0)
    found.reactor.advance(STORE_INTERVAL)
    found.reactor.threads.run_all()
    ended = []
    found.close(lambda: ended.append(True))
    assert ended == [True]
    again = gateway(tmp_path)
    assert again.view.routes("shop") is not None
    assert [position.sequence for position in again.follower.positions() if position.region == "eu"] == [1]
    again.close()


def test_the_view_is_stored_before_the_gateway_has_closed(tmp_path):
    found = gateway(tmp_path)
    found._enqueue(routes(1, GOOD))
    found.reactor.advance(0)
    ended = []
    found.close(lambda: ended.append(True))
    assert not ended
    found.reactor.threads.run_all()
    assert ended == [True] and gateway(tmp_path).view.routes("shop") is not None


def test_a_gateway_goes_on_without_a_store_that_fails(tmp_path):
    found = gateway(tmp_path)
    found.page_writer.store.connection.close()
    for sequence in (1, 2):
        found._enqueue(routes(sequence, GOOD))
        found.reactor.advance(0)
        found.reactor.advance(STORE_INTERVAL)
        found.reactor.threads.run_all()
    assert found.view.routes("shop") is not None and found.page_writer.store.error is not None
    assert found.log.stream.getvalue().count(b"distribution.store_lost") == 1


def test_a_write_that_raises_is_logged_and_ends_the_store(tmp_path):
    found = gateway(tmp_path)
    found.page_writer.store.write = Mock(side_effect=RuntimeError("planted"))
    for sequence in (1, 2):
        found._enqueue(routes(sequence, GOOD))
        found.reactor.advance(0)
        found.reactor.advance(STORE_INTERVAL)
        found.reactor.threads.run_all()
    assert found.page_writer.store.write.call_count == 1
    assert b"RuntimeError: planted" in found.log.stream.getvalue()
    assert isinstance(found.page_writer.store.error, ViewStoreError)


def test_many_gateways_share_a_process_and_no_thread(tmp_path):
    settings = settings_of(GATEWAY, tmp_path)
    reactor, log = FakeReactor(), Log(io.BytesIO())
    found = []
    for number in range(20):
        view, kept = open_view(settings, Methods(), log)
        own = dataclasses.replace(settings, name=f"g-{number}")
        found.append(Gateway(own, reactor, log, view, Random(number), kept))
    assert len({one.connections.name for one in found}) == 20 and not reactor.threads.calls
    for one in found:
        one.close()
    assert not reactor.getDelayedCalls()


# ---- a change client ---------------------------------------------------------------------------------------


class ClientUnderTest:
    """A change client with two candidates."""

    def __init__(self) -> None:
        self.reactor, self.responses, self.ended = FakeReactor(), [], []
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
        self.ends: dict[str, ConnectedPeer] = {}
        self.requested: list[str] = []
        self.client.connections.say = lambda to, message: self.requested.append(to)

    def connect(self, name: str) -> None:
        self.ends[name] = ConnectedPeer(self.client.connections, name)

    def disconnect(self, name: str) -> None:
        self.client.connections.lost(self.ends[name].link)

    def answer(self, name: str, state: str, code: str = "", request: int = 5) -> None:
        self.client.connections.hear(name, Published(request, state, Version(1, 2), code))

    def wait_for_retry(self) -> None:
        self.reactor.advance(RETRY_DELAY)


def test_a_change_client_tries_the_next_candidate_where_one_does_not_publish():
    client = ClientUnderTest()
    client.connect("p1")
    client.connect("p2")
    client.answer("p1", "refused", "not_publisher")
    client.wait_for_retry()
    assert client.requested == ["p1", "p2"]
    client.answer("p1", "accepted")
    assert client.client.outcome.accepted is None, "only the one that is asked counts"
    client.answer("p2", "accepted", request=4)
    assert client.client.outcome.accepted is None, "only this request counts"
    client.answer("p2", "accepted")
    client.answer("p2", "in_force")
    assert client.ended == [True] and [row.state for row in client.responses] == ["accepted", "in_force"]
    client.client.close()
    assert not client.client.outcome.maybe_accepted


def test_a_rejected_value_ends_the_attempts():
    client = ClientUnderTest()
    client.connect("p1")
    client.answer("p1", "refused", "invalid")
    assert client.ended == [True] and client.client.outcome.rejected.code == "invalid"
    assert not client.client.outcome.maybe_accepted


@pytest.mark.parametrize("how", ["connection lost", "unconfirmed", "time is up"])
def test_a_change_that_may_be_accepted_is_never_reported_as_rejected(how):
    client = ClientUnderTest()
    client.connect("p1")
    client.connect("p2")
    if how == "connection lost":
        client.disconnect("p1")
    elif how == "unconfirmed":
        client.answer("p1", "unconfirmed", "unconfirmed")
    if how != "time is up":
        client.wait_for_retry()
        assert client.requested == ["p1", "p2"]
        client.answer("p2", "refused", "not_publisher")
    client.client.close()
    outcome = client.client.outcome
    assert outcome.maybe_accepted and outcome.rejected is None and outcome.accepted is None


def test_a_change_client_without_a_connection_sends_nothing():
    client = ClientUnderTest()
    client.wait_for_retry()
    client.client.close()
    assert not client.requested and not client.client.outcome.maybe_accepted
