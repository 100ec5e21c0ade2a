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
from linenbridge.distribution.hosting.change_client import ASK_AGAIN, Author
from linenbridge.distribution.hosting.gateway import STORE_EVERY, Gateway, open_view
from linenbridge.distribution.hosting.methods import Methods
from linenbridge.distribution.hosting.publisher import PublisherProcess
from linenbridge.distribution.hosting.relay import Relay
from linenbridge.distribution.messages import (
    Append, Appended, Batch, Follow, Prepare, Prepared, Progress, Publish, Published,
)  # fmt: skip
from linenbridge.peering.connections import Links
from linenbridge.logging.event_log import Log
from tests.distribution.hosting.standins import StandinReactor
from tests.distribution.hosting.test_configuration import GATEWAY, PUBLISHER, RELAY, file, fleet
from tests.helpers import startup

Message = Prepare | Prepared | Append | Appended | Batch | Published | Progress
_decode = msgspec.msgpack.Decoder(Message).decode


class FarEnd:
    """A peer that is linked; `heard` is what it was told since the last look, reports on progress aside."""

    def __init__(self, links: Links, name: str) -> None:
        self.links, self.name, self._said = links, name, []
        self.link = links.buildProtocol(None)
        self.link.makeConnection(Wire())
        self.link.far = name
        self.link.quiet.cancel()
        links.met(self.link)
        self.link.callRemote = lambda command, word: self._said.append(_decode(word))

    def say(self, message: object) -> None:
        self.links.hear(self.name, message)

    def heard(self) -> list:
        said = [message for message in self._said if not isinstance(message, Progress)]
        self._said.clear()
        return said


class Wire(StringTransport):
    def setTcpNoDelay(self, on: bool) -> None: ...  # noqa: N802


def settings_of(words: str, folder: Path) -> DistributionSettings:
    return distribution(parse(file(words), str(folder / "x.xml")))


@pytest.fixture
def relay(tmp_path: Path) -> Relay:
    (tmp_path / "eu-1").mkdir()
    settings = settings_of(RELAY.replace("eu-1.db", "eu-1"), tmp_path)
    found = Relay(settings, StandinReactor(), Log(io.BytesIO()), Random(1), Mock())
    found.reactor.threads.run_all()
    yield found
    found.close(lambda: None)
    found.reactor.threads.run_all()


def test_a_relay_answers_a_publisher_after_its_disk_has_it(relay):
    publisher = FarEnd(relay.downstream, "p1")
    publisher.say(Prepare("eu", 3))
    assert publisher.heard() == []
    relay.reactor.threads.run_all()
    (prepared,) = publisher.heard()
    assert (prepared.epoch, prepared.code) == (3, "")
    entry = sealed("eu", Version(3, 1), Kind.LOG, "", b"")
    publisher.say(Append("eu", 3, START, 0, [entry]))
    assert publisher.heard() == []
    relay.reactor.threads.run_all()
    (appended,) = publisher.heard()
    assert (appended.upto, appended.code) == (1, "")


def test_a_relay_whose_disk_fails_answers_no_publisher_any_more_and_says_once_that_it_is_broken(relay):
    broken = relay._broken
    publisher = FarEnd(relay.downstream, "p1")

    def full(keeps: object) -> None:
        raise RelayStoreError("planted", "log.db")

    relay.writer.write = full
    publisher.say(Prepare("eu", 3))
    relay.reactor.threads.run_all()
    publisher.say(Prepare("eu", 4))
    relay.reactor.threads.run_all()
    relay.reactor.advance(0)
    assert publisher.heard() == [] and relay.replica.failed
    broken.assert_called_once_with()
    assert b"distribution.store_failed" in relay.log.stream.getvalue()


def test_a_relay_takes_no_log_of_one_whom_the_settings_do_not_name(relay):
    stranger = FarEnd(relay.downstream, "p9")
    stranger.say(Prepare("eu", 3))
    relay.reactor.threads.run_all()
    assert stranger.heard() == [] and relay.replica.epoch == 0
    assert relay.log.counts["distribution.stranger", "publisher"] == 1


def test_a_follower_speaks_under_its_own_name_only(relay):
    follower = FarEnd(relay.downstream, "g-1")
    follower.say(Follow("g-2", 7, [], 0, []))
    follower.say(Progress("g-2", 7, [], []))
    assert not relay.feed.sessions and relay.log.counts["distribution.misnamed", "follower"] == 2
    follower.say(Follow("g-1", 7, [], 0, []))
    assert list(relay.feed.sessions) == ["g-1"] and follower.heard()
    relay.downstream.lost(follower.link)
    assert not relay.feed.sessions


def test_a_relay_follows_every_other_region_and_serves_its_own_log(relay):
    assert list(relay.followers) == ["us"] and set(relay.feed.tables) == {"eu", "us"}
    assert {"followers", "epoch", "member", "committed"} <= set(relay.facts())


# ---- a publisher -------------------------------------------------------------------------------------------


class StandinMember:
    """Holds what the test says."""

    def __init__(self, *row: object, tasks_changed: Callable[[str], None]) -> None:
        self.tasks_changed, self.term = tasks_changed, None

    def holds(self, task: str) -> tuple[int, int] | None:
        return None if task != "publish-eu" or self.term is None else (self.term, 0)

    def facts(self) -> dict[str, int]:
        return {}


@pytest.fixture
def publisher(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> PublisherProcess:
    monkeypatch.setattr(hosting, "Member", StandinMember)
    data = file(PUBLISHER, before=fleet('<task name="publish-eu"/>'))
    settings = distribution(parse(data, str(tmp_path / "x.xml")))
    return PublisherProcess(
        settings, None, StandinReactor(), Log(io.BytesIO()), lambda kind, name, value: "", Random(1)
    )


def test_a_publisher_sends_nothing_before_it_holds_its_task_nor_after(publisher):
    relay, author = FarEnd(publisher.relays, "eu-1"), FarEnd(publisher.authors, "author")
    author.say(Publish(1, "eu", Kind.ZONE, "a", b"x"))
    (refused,) = author.heard()
    assert (refused.state, refused.code) == ("refused", "not_publisher") and relay.heard() == []
    publisher.member.term = 5
    publisher.member.tasks_changed("another")
    assert relay.heard() == []
    publisher.member.tasks_changed("publish-eu")
    (prepare,) = relay.heard()
    assert prepare == Prepare("eu", 5)
    for name in ("eu-1", "eu-2"):
        end = relay if name == "eu-1" else FarEnd(publisher.relays, name)
        end.say(Prepared("eu", 5, name, START, 0, incarnation=1))
    assert publisher.publisher.leading and any(isinstance(one, Append) for one in relay.heard())
    author.say(Publish(2, "eu", Kind.ZONE, "a", b"x"))
    assert author.heard() == [], "no majority has it yet"
    publisher.member.term = None
    author.say(Publish(3, "eu", Kind.ZONE, "a", b"x"))
    assert {(each.request, each.state) for each in author.heard()} == {(2, "unconfirmed"), (3, "refused")}
    relay.heard()
    for _ in range(5):
        publisher.reactor.advance(1.0)
    assert relay.heard() == [] and not publisher.publisher.leading


def test_a_relay_speaks_for_itself_only(publisher):
    publisher.member.term = 5
    relay = FarEnd(publisher.relays, "eu-1")
    relay.say(Prepared("eu", 5, "eu-2", START, 0, incarnation=1))
    relay.say(Progress("eu-2", 1, [], []))
    assert publisher.log.counts["distribution.misnamed", "relay"] == 2
    assert publisher.publisher.recovery is None or not publisher.publisher.recovery.done


# ---- a gateway ---------------------------------------------------------------------------------------------


def gateway(tmp_path: Path, store: str = 'store="g.db"') -> Gateway:
    settings = settings_of(f"{GATEWAY} {store}", tmp_path)
    reactor, log = StandinReactor(), Log(io.BytesIO())
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
    while found.queue:
        found.reactor.calls.pop(0).func()
        turns.append(tuple(found.view.routes(name) is not None for name in names))
    assert list(dict.fromkeys(turns)) == [(False,) * 4, (True, True, False, False), (True,) * 4]
    assert turns == sorted(turns) and turns.count((False,) * 4) >= 2, "a turn or more for each set"
    assert [position.sequence for position in found.view.positions()] == [4]


def test_a_refused_change_is_named_and_the_last_good_one_stays_in_force(tmp_path):
    found = gateway(tmp_path, "")
    for apply in (routes(1, GOOD), routes(2, "route {")):
        found._enqueue(apply)
        for _ in range(3):
            found.reactor.advance(0)
    assert found.view.routes("shop") is not None and found.facts()["keys_refused"] == 1
    line = next(row for row in found.log.stream.getvalue().splitlines() if b"refused_change" in row)
    fields = msgspec.json.decode(line)
    assert "routes shop at eu/1/2" in fields["where"] and fields["what"] and fields["do"]


def test_a_restarted_gateway_has_what_its_store_holds(tmp_path):
    found = gateway(tmp_path)
    found._enqueue(routes(1, GOOD))
    found.reactor.advance(0)
    found.reactor.advance(STORE_EVERY)
    found.reactor.threads.run_all()
    ended = []
    found.close(lambda: ended.append(True))
    assert ended == [True]
    again = gateway(tmp_path)
    assert again.view.routes("shop") is not None
    assert [position.sequence for position in again.follower.positions() if position.region == "eu"] == [1]
    again.close()


def test_what_is_in_force_at_the_end_is_stored_before_it(tmp_path):
    found = gateway(tmp_path)
    found._enqueue(routes(1, GOOD))
    found.reactor.advance(0)
    ended = []
    found.close(lambda: ended.append(True))
    assert not ended
    found.reactor.threads.run_all()
    assert ended == [True] and gateway(tmp_path).view.routes("shop") is not None


def test_a_store_that_fails_is_left_and_the_gateway_goes_on(tmp_path):
    found = gateway(tmp_path)
    found.pages.store.connection.close()
    for sequence in (1, 2):
        found._enqueue(routes(sequence, GOOD))
        found.reactor.advance(0)
        found.reactor.advance(STORE_EVERY)
        found.reactor.threads.run_all()
    assert found.view.routes("shop") is not None and found.pages.store.error is not None
    assert found.log.stream.getvalue().count(b"distribution.store_lost") == 1


def test_a_write_that_raises_is_logged_and_ends_the_store(tmp_path):
    found = gateway(tmp_path)
    found.pages.store.write = Mock(side_effect=RuntimeError("planted"))
    for sequence in (1, 2):
        found._enqueue(routes(sequence, GOOD))
        found.reactor.advance(0)
        found.reactor.advance(STORE_EVERY)
        found.reactor.threads.run_all()
    assert found.pages.store.write.call_count == 1
    assert b"RuntimeError: planted" in found.log.stream.getvalue()
    assert isinstance(found.pages.store.error, ViewStoreError)


def test_many_gateways_share_a_process_and_no_thread(tmp_path):
    settings = settings_of(GATEWAY, tmp_path)
    reactor, log = StandinReactor(), Log(io.BytesIO())
    found = []
    for number in range(20):
        view, kept = open_view(settings, Methods(), log)
        own = dataclasses.replace(settings, name=f"g-{number}")
        found.append(Gateway(own, reactor, log, view, Random(number), kept))
    assert len({one.links.name for one in found}) == 20 and not reactor.threads.calls
    for one in found:
        one.close()
    assert not reactor.getDelayedCalls()


# ---- an author ---------------------------------------------------------------------------------------------


class Asked:
    """An author with two candidates."""

    def __init__(self) -> None:
        self.reactor, self.said, self.ended = StandinReactor(), [], []
        region = Region({}, {"p1": ("127.0.0.1", 1), "p2": ("127.0.0.1", 2)})
        change = Publish(5, "eu", Kind.ZONE, "a", b"\x91\xc3")
        self.author = Author(
            region, change, self.reactor, Log(io.BytesIO()), self.said.append, lambda: self.ended.append(True)
        )
        self.ends: dict[str, FarEnd] = {}
        self.asked: list[str] = []
        self.author.links.say = lambda to, message: self.asked.append(to)

    def up(self, name: str) -> None:
        self.ends[name] = FarEnd(self.author.links, name)

    def down(self, name: str) -> None:
        self.author.links.lost(self.ends[name].link)

    def answer(self, name: str, state: str, code: str = "", request: int = 5) -> None:
        self.author.links.hear(name, Published(request, state, Version(1, 2), code))

    def later(self) -> None:
        self.reactor.advance(ASK_AGAIN)


def test_an_author_asks_the_next_candidate_where_one_does_not_publish():
    asked = Asked()
    asked.up("p1")
    asked.up("p2")
    asked.answer("p1", "refused", "not_publisher")
    asked.later()
    assert asked.asked == ["p1", "p2"]
    asked.answer("p1", "accepted")
    assert asked.author.outcome.accepted is None, "only the one that is asked counts"
    asked.answer("p2", "accepted", request=4)
    assert asked.author.outcome.accepted is None, "only this request counts"
    asked.answer("p2", "accepted")
    asked.answer("p2", "in_force")
    assert asked.ended == [True] and [row.state for row in asked.said] == ["accepted", "in_force"]
    asked.author.close()
    assert not asked.author.outcome.maybe_kept


def test_a_refused_value_ends_it():
    asked = Asked()
    asked.up("p1")
    asked.answer("p1", "refused", "invalid")
    assert asked.ended == [True] and asked.author.outcome.refused.code == "invalid"
    assert not asked.author.outcome.maybe_kept


@pytest.mark.parametrize("how", ["link lost", "unconfirmed", "time is up"])
def test_what_may_have_been_kept_is_never_called_refused(how):
    asked = Asked()
    asked.up("p1")
    asked.up("p2")
    if how == "link lost":
        asked.down("p1")
    elif how == "unconfirmed":
        asked.answer("p1", "unconfirmed", "unconfirmed")
    if how != "time is up":
        asked.later()
        assert asked.asked == ["p1", "p2"]
        asked.answer("p2", "refused", "not_publisher")
    asked.author.close()
    outcome = asked.author.outcome
    assert outcome.maybe_kept and outcome.refused is None and outcome.accepted is None


def test_one_that_no_candidate_is_linked_to_asks_nobody():
    asked = Asked()
    asked.later()
    asked.author.close()
    assert not asked.asked and not asked.author.outcome.maybe_kept
