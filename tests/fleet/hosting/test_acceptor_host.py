"""An acceptor and its store; an acceptor whose store can't be used grants nothing."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import Mock

import pytest
from twisted.internet.defer import Deferred

from linenbridge.configuration.read import parse
from linenbridge.fleet.configuration import FleetSettings, fleet_settings
from linenbridge.fleet.hosting import acceptor_host
from linenbridge.fleet.hosting.acceptor_host import AcceptorHost
from linenbridge.fleet.leases.decisions import Persist, Send
from linenbridge.fleet.leases.errors import StoreUnusable
from linenbridge.fleet.leases.messages import LeaseReply
from linenbridge.peering import clock
from tests.compatibility.fleet_fakes import log_rows

MEMBERS = "".join(f'<member name="g{number}" address="127.0.0.1:710{number}"/>' for number in (2, 3))
QUORUM = '<quorum><acceptor name="g1"/><acceptor name="g2"/><acceptor name="g3"/></quorum>'


def settings_with_store(folder: Path, store: str) -> FleetSettings:
    text = (
        f'<linenbridge xmlns="urn:linenbridge:premises:1"><fleet member="g1" listen="127.0.0.1:7101" '
        f'store="{store}">{MEMBERS}{QUORUM}</fleet></linenbridge>'
    )
    found = fleet_settings(parse(text.encode(), str(folder / "x.xml")))
    assert found is not None
    return found


@pytest.fixture
def start(tmp_path, reactor, log):
    """Return a function that starts an acceptor's host with the named store; close the hosts at the end."""
    hosts = []

    def start_host(store: str) -> AcceptorHost:
        settings = settings_with_store(tmp_path, store)
        hosts.append(AcceptorHost(settings, reactor, log, 7, clock.now(), Mock(), Mock()))
        return hosts[-1]

    yield start_host
    for host in hosts:
        host.pool.stop()
        host.store.close()


def test_a_relative_store_path_is_opened_in_the_folder_of_the_settings(start, tmp_path, log):
    host = start("g1.db")

    assert (tmp_path / "g1.db").exists()
    assert not host.acceptor.store_error
    assert not log.stream.getvalue()


def test_a_store_that_cant_be_opened_is_logged_and_the_acceptor_grants_nothing(start, log):
    host = start("no-such-folder/g1.db")

    (row,) = log_rows(log.stream.getvalue())
    assert (row["event"], row["kind"]) == ("store.failed", "StoreUnusable")
    assert host.acceptor.store_error
    assert not host.acceptor.grants()
    assert host.acceptor.wake_at() is None


def test_a_store_that_is_damaged_is_logged_and_stays_as_it_is(start, tmp_path, log):
    (tmp_path / "g1.db").write_bytes(b"no database" * 1_000)

    host = start("g1.db")

    (row,) = log_rows(log.stream.getvalue())
    assert (row["event"], row["kind"]) == ("store.failed", "StoreTorn")
    assert not host.acceptor.grants()
    assert (tmp_path / "g1.db").read_bytes() == b"no database" * 1_000


@pytest.fixture
def writes(monkeypatch):
    """Replace the thread of the store: return the writes in progress, which the test ends."""
    in_progress = []

    def start_write(*_: object) -> Deferred:
        in_progress.append(Deferred())
        return in_progress[-1]

    monkeypatch.setattr(acceptor_host, "deferToThreadPool", start_write)
    return in_progress


def reply(number: int) -> Send:
    return Send("g4#1", LeaseReply(number, "g1", 1, 0, "", [], [], []))


def sent(host: AcceptorHost) -> list[Send]:
    return [call.args[0] for call in host.on_persisted.call_args_list]


def test_a_repeated_grant_is_not_sent_before_the_record_of_the_first_one_is_stored(start, writes):
    """Guards against grants that a kill during the write takes back."""
    host = start("g1.db")
    host.persist(Persist((), reply(1)))
    host.send(reply(2))
    assert sent(host) == []

    writes[0].callback(None)
    assert sent(host) == [reply(1), reply(2)]
    host.send(reply(3))
    assert sent(host) == [reply(1), reply(2), reply(3)]


def test_no_message_behind_a_write_that_fails_is_sent(start, writes):
    """Guards against grants whose record a full disk did not take."""
    host = start("g1.db")
    for number in (1, 2):
        host.persist(Persist((), reply(number)))
        host.send(reply(number))
    writes[0].errback(StoreUnusable("disk full", "g1.db"))
    writes[1].callback(None)

    assert host.acceptor.store_error
    assert host.on_store_failed.called
    assert sent(host) == []
