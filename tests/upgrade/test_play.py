"""Tests of the parts of an upgrade that need no checkout of the base: settings, stores and event names."""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random

import pytest

from linenbridge.configuration.read import read
from linenbridge.distribution.changes import Kind, Version, sealed
from linenbridge.distribution.configuration import distribution
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.hosting.gateway import Gateway, open_view
from linenbridge.distribution.hosting.methods import methods_of
from linenbridge.fleet.configuration import fleet_settings
from linenbridge.logging.event_log import Log
from tests.distribution.hosting.fakes import FakeReactor
from tests.fleet.procs.fake_resource import FakeResource
from tests.fleet.procs.installation import ROOT
from tests.upgrade.checkout import Checkout
from tests.upgrade.event_names import in_present_terms
from tests.upgrade.load import KEYS, request
from tests.upgrade.play import ORDERS, Upgrade
from tests.upgrade.stores import relay_changes, stored_view

THIS_CHECKOUT = Checkout("new", ROOT, Path(sys.executable))


@pytest.fixture
def upgrade(tmp_path: Path) -> Upgrade:
    resource = FakeResource()
    resource.port = 9  # nothing is sent to it
    return Upgrade(tmp_path, THIS_CHECKOUT, THIS_CHECKOUT, resource, lambda line: None)


def test_every_process_is_replaced_once_in_each_order(upgrade):
    for order in ORDERS.values():
        assert sorted(order) == sorted(upgrade.installation.process_names())


def test_the_settings_of_every_process_are_valid(upgrade):
    installation = upgrade.installation
    for name in installation.process_names():
        configuration = read(str(installation.folder / f"{name}.xml"))
        settings = distribution(configuration)
        assert (settings is None) == (name == "w")
        assert (fleet_settings(configuration) is not None) == (name in installation.fleet_ports)


def test_the_load_has_changes_of_each_kind_deletions_and_repeated_keys():
    wanted = [request(0, number) for number in range(5 * KEYS * 3)]
    assert {one.kind for one in wanted} == {Kind.ROUTES, Kind.TENANT, Kind.INSTANCE, Kind.ZONE}
    assert any(not one.value for one in wanted), "a deletion"
    assert len({(one.kind, one.name) for one in wanted}) < len(wanted) / 2


def test_the_stored_view_of_a_gateway_is_read(upgrade):
    file = upgrade.installation.folder / "g-1.xml"
    settings = distribution(read(str(file)))
    reactor = FakeReactor()
    log = Log((upgrade.installation.folder / "g-1.log").open("wb"))
    view, store = open_view(settings, methods_of(settings), log)
    gateway = Gateway(settings, reactor, log, view, Random(1), store)
    change = sealed("eu", Version(1, 7), Kind.TENANT, "acme", b"\x91\xcb?\xd0\0\0\0\0\0\0")
    gateway.apply_queue.put(Apply("eu", change.version, [change]))
    gateway.close(lambda: None)
    reactor.threads.run_all()

    stored = stored_view(file, "eu")

    assert stored.sequence == 7
    assert stored.rejected == []
    assert stored.digest == view.digest("eu")


def test_the_log_of_a_relay_without_a_store_is_empty(upgrade):
    assert relay_changes(upgrade.installation.folder / "eu-1", "eu") == []


def test_log_lines_of_the_base_get_the_present_names():
    row = in_present_terms({"at": 1, "event": "link.stranger", "far": "x"})
    assert row == {"at": 1, "event": "peer.unauthorized", "peer": "x"}
    assert in_present_terms({"event": "member.started"}) == {"event": "member.started"}
