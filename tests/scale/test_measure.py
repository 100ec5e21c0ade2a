"""Each measuring program runs on the current code, at a size far below those that it records."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from tests.net import loopback
from tests.scale.measure import (
    costs,
    discovery,
    gateway,
    instances,
    leases,
    module,
    peers,
    pools,
    processor,
    relay,
    releases,
    routes,
    tenants,
    view,
)

MEASURES: dict[str, Callable[[], float]] = {
    "instances, one change": lambda: instances.change_time(20),
    "instances, a whole list": lambda: instances.list_time(20),
    "instances, memory": lambda: instances.view_bytes(20),
    "tenants, one request": lambda: tenants.count_time(20),
    "tenants, memory": lambda: tenants.rates_bytes(20) + tenants.shares_bytes(20),
    "peers, one message": lambda: peers.message_time(8),
    "peers, memory": lambda: costs.allocated_bytes(lambda: peers.received_counts(8)),
    "module, one RPC": lambda: module.rpc_time(4),
    "pools, one change": lambda: pools.change_time(4),
    "routes, a table made": lambda: routes.make_time(4),
    "routes, a look-up": lambda: routes.find_time(26),
    "releases, one outcome": lambda: releases.outcome_time(4),
    "discovery, a list read": lambda: discovery.read_time(4),
    "discovery, votes": lambda: discovery.vote_bytes(1),
    "relay, one change": lambda: relay.change_time(600),
    "relay, everything": lambda: relay.all_bytes(20),
    "publisher, one change": lambda: relay.publish_time(20),
    "view, restart": lambda: view.restart_time(20),
}


@pytest.mark.parametrize("name", MEASURES)
def test_each_measure_gives_a_positive_cost(name):
    assert MEASURES[name]() > 0


def test_the_measures_of_the_view_give_positive_costs():
    for found in (
        view.route_costs(6 * routes.RULES_A_SERVICE),
        view.tenant_costs(20),
        view.instance_costs(44),
    ):
        assert all(cost > 0 for cost in found.values()), found


def test_measuring_requests_at_the_front_gives_a_positive_cost(monkeypatch):
    monkeypatch.setattr(processor, "REQUESTS", 20)
    assert processor.request_time(2) > 0


def test_measuring_a_relay_feed_with_followers_gives_positive_load_and_bytes(monkeypatch):
    monkeypatch.setattr(relay, "SECONDS", 2)
    busy, sent = relay.feed_costs(3)
    assert busy > 0
    assert sent > 0


def test_measuring_leases_gives_a_positive_cost_for_each_row():
    found = leases.costs(10)
    assert set(found) == set(leases.WHATS)
    assert all(cost > 0 for cost in found.values())


def test_measuring_a_gateway_under_changes_gives_its_resident_memory(monkeypatch):
    monkeypatch.setattr(loopback, "ROOT", Path(__file__).parents[2])
    monkeypatch.setattr(gateway, "IDLE", 0.2)
    monkeypatch.setattr(gateway, "CHANGES", 2)
    resident, _, _ = gateway.gateway_costs(20)
    assert resident > 10_000_000
