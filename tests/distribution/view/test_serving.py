"""The external processor with a view: the authority of a request selects its rule set."""

from __future__ import annotations

import io
import json
import os
import random
import re
import signal
import subprocess
import sys
from collections.abc import Iterator, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import grpc
import pytest

from linenbridge.configuration.read import ConfigurationError, read
from linenbridge.distribution.changes import Kind
from linenbridge.distribution.configuration import distribution
from linenbridge.distribution.hosting.gateway import open_view
from linenbridge.distribution.hosting.methods import Methods
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint
from linenbridge.distribution.view.serving import RoutesByAuthority, TenantQuotas
from linenbridge.distribution.view.view import View
from linenbridge.faults.process import free_port
from linenbridge.logging.event_log import Log
from linenbridge.policy import DecisionModule
from linenbridge.process.configuration import load
from linenbridge.processor.distributed import open_distributed_state
from linenbridge.routes.table import Table, table
from linenbridge.startup import startup as started
from tests.distribution.view.helpers import MAX_DEADLINE, METHODS, new_view
from tests.distribution.view.model import batch, change, route_text, tenant_value
from tests.distribution.view.test_routes import request, rules
from tests.helpers import MS, entry, startup
from tests.peer_script import ROUTES, ProcessorHarness, request_headers_message
from tests.test_interop import process_rpc

ROOT = Path(__file__).parents[3]
RESERVATION = re.compile(r"[0-9a-f]{16}\.\d")  # random for each request
UNUSED: Any = (None, None, None)  # arguments of a call that fails before it uses them
SETTINGS = """<linenbridge xmlns="urn:linenbridge:premises:1">
  <processor listen="127.0.0.1:{port}">
    <partner name="desk" address="127.0.0.0/8" attempts="2"/>
    <routes>route own {{ when path starts "/own" method "look" }}</routes>
  </processor>
  <distribution role="gateway" name="g1" region="eu" store="view.db"{more}>
    <region name="eu"><relay name="eu-1" address="127.0.0.1:{relay}"/></region>
  </distribution>
</linenbridge>"""


def route_sets(names: tuple[str, ...], seeded: random.Random) -> dict[str, str]:
    """Return a random set of routes for each name; each set passes the view's checks."""
    found: dict[str, str] = {}
    for name in names:
        while name not in found:
            text = rules(seeded)
            view = new_view()
            if not view.apply(batch(change(Kind.ROUTES, name, text.encode(), 1))).rejected:
                found[name] = text
    return found


@pytest.mark.parametrize("seed", range(10))
def test_each_authority_is_routed_as_by_a_table_of_its_own_rules(view: View, seed: int) -> None:
    seeded = random.Random(f"serving/{seed}")
    texts = route_sets(("shop", "pay"), seeded)
    view.apply(
        batch(
            *(
                change(Kind.ROUTES, name, text.encode(), at + 1)
                for at, (name, text) in enumerate(texts.items())
            )
        )
    )
    own = table(ROUTES, METHODS, MAX_DEADLINE)
    alone = {name: table(text, METHODS, MAX_DEADLINE) for name, text in texts.items()}

    routing = RoutesByAuthority(view, own)

    for _ in range(60):
        drawn = request(seeded)
        for name in ("shop", "pay", "elsewhere"):
            sent = replace(drawn, authority=name)
            expected = alone.get(name, own)
            assert routing.find(sent) == expected.find(sent)
            assert routing.explain(sent) == expected.explain(sent)
    assert routing.methods == own.methods


def with_view(harness: ProcessorHarness, view: View) -> ProcessorHarness:
    """Make the harness look up the view's routes before its own, and return the harness."""
    own = harness.processor.table
    assert isinstance(own, Table)
    harness.processor.table = RoutesByAuthority(view, own)
    return harness


def set_authority(message: Any, authority: str) -> None:
    """Set the authority of a ProcessingRequest's headers."""
    for header in message.request_headers.headers.headers:
        if header.key == ":authority":
            header.raw_value = authority.encode()


def responses_to(harness: ProcessorHarness, requests: list[tuple[str, str]]) -> list[str]:
    """Return the response that a proxy receives to each request, as text."""
    peer = harness.connect()
    responses = []
    for number, (path, authority) in enumerate(requests):
        stream = peer.open()
        message = request_headers_message(path, f"r{number}")
        set_authority(message, authority)
        peer.send_message(stream, message)
        responses.append(RESERVATION.sub("RESERVATION", str(stream.replies[0])))
        if stream.replies[0].HasField("request_headers"):
            peer.report(stream, 200)
    assert harness.is_idle()
    return responses


REQUESTS = [
    ("/look/1", "desk"),
    ("/store/k1", "desk"),
    ("/charge/x", "desk"),
    ("/none", "desk"),
    ("/look/2", "desk"),
]


def test_the_processor_responds_the_same_with_its_rules_in_a_view_as_in_the_settings() -> None:
    view = View(METHODS, 900 * MS)
    view.apply(batch(change(Kind.ROUTES, "desk", ROUTES.encode(), 1)))
    plain = ProcessorHarness()
    with_routes = ProcessorHarness()
    with_routes.processor.table = RoutesByAuthority(view, table("", startup().methods, 900 * MS))

    assert responses_to(with_routes, REQUESTS) == responses_to(plain, REQUESTS)


def test_a_change_applies_from_the_next_request_and_a_rejected_one_changes_nothing(view: View) -> None:
    harness = with_view(ProcessorHarness(), view)
    view.apply(batch(change(Kind.ROUTES, "desk", route_text("look", "/a"), 1)))
    first = responses_to(harness, [("/a", "desk"), ("/b", "desk")])

    view.apply(batch(change(Kind.ROUTES, "desk", route_text("look", "/b"), 2)))
    second = responses_to(harness, [("/a", "desk"), ("/b", "desk")])
    bad = view.apply(batch(change(Kind.ROUTES, "desk", b"route x {", 3)))

    assert "request_headers" in first[0]
    assert "immediate_response" in first[1]
    assert "immediate_response" in second[0]
    assert "request_headers" in second[1]
    assert bad.rejected
    assert responses_to(harness, [("/b", "desk")])[0] == second[1]


def test_a_tenants_quota_is_that_of_the_view_or_else_of_the_settings(view: View) -> None:
    view.apply(batch(change(Kind.TENANT, "t1", tenant_value(0.25), 1)))

    quotas = TenantQuotas(view, {"t1": 0.5, "t2": 0.75})

    assert (quotas.get("t1", 1.0), quotas.get("t2", 1.0), quotas.get("t3", 1.0)) == (0.25, 0.75, 1.0)
    assert "t3" not in quotas
    assert len(quotas) == 1
    with pytest.raises(TypeError):
        list(quotas)


def priority_weights(quotas: Mapping[str, float]) -> list[float]:
    """Return the priority weights of requests of three tenants in turn in a module with `quotas`."""
    module = DecisionModule(replace(startup(gateway_count=1), tenant_quotas=quotas), 7, 0)
    module.on_endpoint_list(0, [entry(1)], is_snapshot=True, is_poll_response=True)
    found = []
    for number in range(60):
        tenant = ("t1", "t2", "t3")[number % 3]
        rpc = f"r{number}"
        module.on_request(number * 500, rpc, "look", 50 * MS, None, tenant, None)
        active = module.requests.get(rpc)
        assert active is not None
        found.append(active.weight)
    return found


def test_priority_weights_are_the_same_with_the_views_quotas_as_with_a_dict(view: View) -> None:
    view.apply(batch(change(Kind.TENANT, "t1", tenant_value(0.05), 1)))
    view.apply(batch(change(Kind.TENANT, "t2", tenant_value(0.5), 2)))

    by_view = priority_weights(TenantQuotas(view, {}))

    assert by_view == priority_weights({"t1": 0.05, "t2": 0.5})
    assert by_view != priority_weights({"t1": 0.5, "t2": 0.05})


class Processor:
    """A real processor process with one version in its store, in a distribution whose relays do not run."""

    def __init__(self, folder: Path) -> None:
        self.port = free_port()
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config["known"]["endpoints"] = [
            {"name": "n1", "address": "127.0.0.1:7001", "status": "active", "release": 1, "zone": "a"}
        ]
        (folder / "c.json").write_text(json.dumps(config))
        (folder / "s.xml").write_text(SETTINGS.format(port=self.port, relay=free_port(), more=""))
        self.environ = {**os.environ, "LB_CONFIG": f"{folder}/c.json"}
        self._fill(folder)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "linenbridge", "processor", "-s", f"{folder}/s.xml"],
            env=self.environ,
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.events: list[str] = []
        assert self.process.stderr is not None
        while not self.events or self.events[-1] != "started":
            self.events.append(json.loads(self.process.stderr.readline())["event"])

    def _fill(self, folder: Path) -> None:
        methods = started(load(self.environ).settings).methods
        store = ViewStore(
            str(folder / "view.db"), fingerprint(method.name for method in methods), lambda *_, **__: None
        )
        view = View(methods, MAX_DEADLINE)
        store.open(view.load)
        view.apply(batch(change(Kind.ROUTES, "desk", route_text(methods[0].name, "/spread"), 1)))
        store.write(view.take_changed_pages())
        store.close()

    def is_routed(self, path: str, authority: str) -> bool:
        """Return whether the processor responds to a request with a route."""
        message = request_headers_message(path, f"r-{path}-{authority}")
        set_authority(message, authority)
        with grpc.insecure_channel(f"127.0.0.1:{self.port}") as channel:
            return next(iter(process_rpc(channel)(iter([message]), timeout=10))).HasField("request_headers")

    def end(self) -> int:
        """Stop the process and return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        self.process.communicate(timeout=10)
        return self.process.returncode


@pytest.fixture
def processor(tmp_path: Path) -> Iterator[Processor]:
    """Yield a running processor and stop it afterwards."""
    started_processor = Processor(tmp_path)
    try:
        yield started_processor
    finally:
        assert started_processor.end() == 0


def test_the_setting_compiled_routes_bounds_the_compiled_sets(tmp_path: Path) -> None:
    for attribute, expected in (("", 4 << 20), (' compiled-routes="100K"', 100 << 10)):
        (tmp_path / "s.xml").write_text(SETTINGS.format(port=1, relay=2, more=attribute))
        settings = distribution(read(str(tmp_path / "s.xml")))

        assert settings is not None
        view, store = open_view(settings, Methods(METHODS, MAX_DEADLINE), Log(io.BytesIO()))
        assert store is not None
        store.close()

        assert view.route_table.max_compiled_bytes == expected


def test_a_processor_with_the_distribution_role_relay_is_rejected(tmp_path: Path) -> None:
    text = SETTINGS.format(port=1, relay=2, more=' listen="127.0.0.1:2"').replace('"gateway"', '"relay"')
    (tmp_path / "view.db").mkdir()
    (tmp_path / "s.xml").write_text(text.replace('name="g1"', 'name="eu-1"'))

    with pytest.raises(ConfigurationError, match="a relay cannot have the element `processor`"):
        open_distributed_state(read(str(tmp_path / "s.xml")), *UNUSED)


def test_a_processor_serves_its_last_version_from_the_store_while_no_relay_answers(
    processor: Processor,
) -> None:
    assert "distribution.restored" in processor.events
    assert processor.is_routed("/spread/1", "desk")
    assert not processor.is_routed("/own", "desk")
    assert processor.is_routed("/own", "other")
    assert not processor.is_routed("/spread", "other")
