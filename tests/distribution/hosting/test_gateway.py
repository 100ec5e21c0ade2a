"""A gateway's host: route checks over several turns, rejected changes, and the view's store."""

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
from tests.distribution.hosting.test_configuration import GATEWAY, settings_file
from tests.helpers import startup


def settings_of(attributes: str, folder: Path) -> DistributionSettings:
    return distribution(parse(settings_file(attributes), str(folder / "x.xml")))


def new_gateway(tmp_path: Path, store: str = 'store="g.db"') -> Gateway:
    settings = settings_of(f"{GATEWAY} {store}", tmp_path)
    reactor = FakeReactor()
    log = Log(io.BytesIO())
    view, store = open_view(settings, Methods(startup().methods, 2_000_000), log)
    return Gateway(settings, reactor, log, view, Random(1), store)


def routes(sequence: int, text: str, name: str = "shop") -> Apply:
    change = sealed("eu", Version(1, sequence), Kind.ROUTES, name, text.encode())
    return Apply("eu", change.version, [change])


GOOD = f'route a {{ when always method "{startup().methods[0].name}" }}'


def test_route_checks_take_several_turns_and_a_batch_comes_into_force_in_one_turn(tmp_path):
    """Two batches have two sets of routes each.

    Both sets of a batch come into force in the same turn, however many turns their checks take, and the
    second batch follows the first.
    """
    gateway = new_gateway(tmp_path, "")
    names = ("shop", "desk", "till", "door")
    for first in (0, 2):
        pair = [routes(first + n + 1, GOOD, names[first + n]).changes[0] for n in (0, 1)]
        gateway.apply_queue.put(Apply("eu", pair[-1].version, pair))
    assert gateway.view.routes("shop") is None, "routes are not in force before their checks"
    turns = []
    while gateway.apply_queue.pending:
        gateway.reactor.calls.pop(0).func()
        turns.append(tuple(gateway.view.routes(name) is not None for name in names))
    assert list(dict.fromkeys(turns)) == [(False,) * 4, (True, True, False, False), (True,) * 4]
    assert turns == sorted(turns), "a turn or more for each set"
    assert turns.count((False,) * 4) >= 2, "a turn or more for each set"
    assert [position.sequence for position in gateway.view.positions()] == [4]


def test_a_rejected_change_is_logged_and_the_last_valid_one_stays_in_force(tmp_path):
    gateway = new_gateway(tmp_path, "")
    for apply in (routes(1, GOOD), routes(2, "route {")):
        gateway.apply_queue.put(apply)
        for _ in range(3):
            gateway.reactor.advance(0)
    assert gateway.view.routes("shop") is not None
    assert gateway.facts()["keys_rejected"] == 1
    line = next(row for row in gateway.log.stream.getvalue().splitlines() if b"rejected_change" in row)
    fields = msgspec.json.decode(line)
    assert "routes shop at eu/1/2" in fields["where"]
    assert fields["what"]
    assert fields["do"]


def test_a_restarted_gateway_restores_its_view_from_the_store(tmp_path):
    gateway = new_gateway(tmp_path)
    gateway.apply_queue.put(routes(1, GOOD))
    gateway.reactor.advance(0)
    gateway.reactor.advance(STORE_INTERVAL)
    gateway.reactor.threads.run_all()
    ended = []
    gateway.close(lambda: ended.append(True))
    assert ended == [True]
    restarted = new_gateway(tmp_path)
    assert restarted.view.routes("shop") is not None
    assert [position.sequence for position in restarted.follower.positions() if position.region == "eu"] == [
        1
    ]
    restarted.close()


def test_the_view_is_stored_before_the_gateway_has_closed(tmp_path):
    gateway = new_gateway(tmp_path)
    gateway.apply_queue.put(routes(1, GOOD))
    gateway.reactor.advance(0)
    ended = []
    gateway.close(lambda: ended.append(True))
    assert not ended
    gateway.reactor.threads.run_all()
    assert ended == [True]
    assert new_gateway(tmp_path).view.routes("shop") is not None


def test_a_gateway_applies_changes_after_its_store_has_failed(tmp_path):
    gateway = new_gateway(tmp_path)
    gateway.page_writer.store.connection.close()
    for sequence in (1, 2):
        gateway.apply_queue.put(routes(sequence, GOOD))
        gateway.reactor.advance(0)
        gateway.reactor.advance(STORE_INTERVAL)
        gateway.reactor.threads.run_all()
    assert gateway.view.routes("shop") is not None
    assert gateway.page_writer.store.error is not None
    assert gateway.log.stream.getvalue().count(b"distribution.store_lost") == 1


def test_a_store_write_that_raises_is_logged_and_stops_further_writes(tmp_path):
    gateway = new_gateway(tmp_path)
    gateway.page_writer.store.write = Mock(side_effect=RuntimeError("planted"))
    for sequence in (1, 2):
        gateway.apply_queue.put(routes(sequence, GOOD))
        gateway.reactor.advance(0)
        gateway.reactor.advance(STORE_INTERVAL)
        gateway.reactor.threads.run_all()
    assert gateway.page_writer.store.write.call_count == 1
    assert b"RuntimeError: planted" in gateway.log.stream.getvalue()
    assert isinstance(gateway.page_writer.store.error, ViewStoreError)


def test_many_gateways_in_one_process_use_no_thread_and_leave_no_timer(tmp_path):
    settings = settings_of(GATEWAY, tmp_path)
    reactor = FakeReactor()
    log = Log(io.BytesIO())
    gateways = []
    for number in range(20):
        view, store = open_view(settings, Methods(), log)
        gateway_settings = dataclasses.replace(settings, name=f"g-{number}")
        gateways.append(Gateway(gateway_settings, reactor, log, view, Random(number), store))
    assert len({gateway.connections.name for gateway in gateways}) == 20
    assert not reactor.threads.calls
    for gateway in gateways:
        gateway.close()
    assert not reactor.getDelayedCalls()
