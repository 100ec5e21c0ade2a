"""A gateway around its follower: checks between turns, what is in force, and its store."""

from __future__ import annotations

import dataclasses
import io
from pathlib import Path
from random import Random
from unittest.mock import Mock

import msgspec

from linenbridge.configuration.read import parse
from linenbridge.distribution.changes import Kind, Version, sealed
from linenbridge.distribution.configuration import DistributionSettings, distribution
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.errors import ViewStoreError
from linenbridge.distribution.hosting.gateway import Gateway, open_view
from linenbridge.distribution.hosting.methods import Methods
from linenbridge.distribution.hosting.page_writer import STORE_INTERVAL
from linenbridge.logging.event_log import Log
from tests.distribution.hosting.fakes import FakeReactor
from tests.distribution.hosting.test_configuration import GATEWAY, file
from tests.helpers import startup


def settings_of(attributes: str, folder: Path) -> DistributionSettings:
    return distribution(parse(file(attributes), str(folder / "x.xml")))


def gateway(tmp_path: Path, store: str = 'store="g.db"') -> Gateway:
    settings = settings_of(f"{GATEWAY} {store}", tmp_path)
    reactor = FakeReactor()
    log = Log(io.BytesIO())
    view, store = open_view(settings, Methods(startup().methods, 2_000_000), log)
    return Gateway(settings, reactor, log, view, Random(1), store)


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
        found.apply_queue.put(Apply("eu", pair[-1].version, pair))
    assert found.view.routes("shop") is None, "it is not in force before its turn"
    turns = []
    while found.apply_queue.pending:
        found.reactor.calls.pop(0).func()
        turns.append(tuple(found.view.routes(name) is not None for name in names))
    assert list(dict.fromkeys(turns)) == [(False,) * 4, (True, True, False, False), (True,) * 4]
    assert turns == sorted(turns), "a turn or more for each set"
    assert turns.count((False,) * 4) >= 2, "a turn or more for each set"
    assert [position.sequence for position in found.view.positions()] == [4]


def test_a_rejected_change_is_logged_and_the_last_good_one_stays_in_force(tmp_path):
    found = gateway(tmp_path, "")
    for apply in (routes(1, GOOD), routes(2, "route {")):
        found.apply_queue.put(apply)
        for _ in range(3):
            found.reactor.advance(0)
    assert found.view.routes("shop") is not None
    assert found.facts()["keys_rejected"] == 1
    line = next(row for row in found.log.stream.getvalue().splitlines() if b"rejected_change" in row)
    fields = msgspec.json.decode(line)
    assert "routes shop at eu/1/2" in fields["where"]
    assert fields["what"]
    assert fields["do"]


def test_a_restarted_gateway_restores_its_view_from_the_store(tmp_path):
    found = gateway(tmp_path)
    found.apply_queue.put(routes(1, GOOD))
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
    found.apply_queue.put(routes(1, GOOD))
    found.reactor.advance(0)
    ended = []
    found.close(lambda: ended.append(True))
    assert not ended
    found.reactor.threads.run_all()
    assert ended == [True]
    assert gateway(tmp_path).view.routes("shop") is not None


def test_a_gateway_goes_on_without_a_store_that_fails(tmp_path):
    found = gateway(tmp_path)
    found.page_writer.store.connection.close()
    for sequence in (1, 2):
        found.apply_queue.put(routes(sequence, GOOD))
        found.reactor.advance(0)
        found.reactor.advance(STORE_INTERVAL)
        found.reactor.threads.run_all()
    assert found.view.routes("shop") is not None
    assert found.page_writer.store.error is not None
    assert found.log.stream.getvalue().count(b"distribution.store_lost") == 1


def test_a_write_that_raises_is_logged_and_ends_the_store(tmp_path):
    found = gateway(tmp_path)
    found.page_writer.store.write = Mock(side_effect=RuntimeError("planted"))
    for sequence in (1, 2):
        found.apply_queue.put(routes(sequence, GOOD))
        found.reactor.advance(0)
        found.reactor.advance(STORE_INTERVAL)
        found.reactor.threads.run_all()
    assert found.page_writer.store.write.call_count == 1
    assert b"RuntimeError: planted" in found.log.stream.getvalue()
    assert isinstance(found.page_writer.store.error, ViewStoreError)


def test_many_gateways_share_a_process_and_no_thread(tmp_path):
    settings = settings_of(GATEWAY, tmp_path)
    reactor = FakeReactor()
    log = Log(io.BytesIO())
    found = []
    for number in range(20):
        view, store = open_view(settings, Methods(), log)
        own = dataclasses.replace(settings, name=f"g-{number}")
        found.append(Gateway(own, reactor, log, view, Random(number), store))
    assert len({one.connections.name for one in found}) == 20
    assert not reactor.threads.calls
    for one in found:
        one.close()
    assert not reactor.getDelayedCalls()
