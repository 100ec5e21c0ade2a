"""Views for tests, and their comparison with the model."""

from __future__ import annotations

import struct

import msgspec

from linenbridge.interface import InstanceState
from linenbridge.distribution.changes import InstanceValue, Kind, TenantValue, ZoneValue
from linenbridge.distribution.view.results import ViewLimits
from linenbridge.distribution.view.view import View
from linenbridge.routes.table import Request
from tests.distribution.view.model import Model
from tests.helpers import MS, startup

METHODS = startup().methods
LONGEST = 5_000 * MS
UNIX_OFFSET = -7
PATHS = ("/a", "/a/b", "/b")


def new_view(limits: ViewLimits | None = None) -> View:
    return View(METHODS, LONGEST, UNIX_OFFSET, limits)


def reloaded(view: View, pages: dict) -> View:
    """The view that a restart gives: `pages` is what earlier calls have stored."""
    for page in view.dirty():
        pages[page[:3]] = page
    fresh = new_view()
    fresh.load(sorted(page for page in pages.values() if page.body is not None))
    return fresh


def expected_entry(name: str, value: InstanceValue, lost: set[str]) -> tuple:
    state = InstanceState.REMOVED if value.zone in lost else value.state
    started = value.started * 1000 + UNIX_OFFSET
    entry = (name, value.build, value.zone, value.cell, state, value.size, started)
    return entry, (value.host, value.port)


def expected_service(model: Model, service: str) -> set[tuple]:
    lost = {
        name
        for name in model.names(Kind.ZONE)
        if msgspec.msgpack.decode(model.value(Kind.ZONE, name), type=ZoneValue).lost
    }
    found = set()
    for name in model.names(Kind.INSTANCE):
        own, _, instance = name.partition("/")
        if own == service:
            value = msgspec.msgpack.decode(model.value(Kind.INSTANCE, name), type=InstanceValue)
            found.add(expected_entry(instance, value, lost))
    return found


def check_equal(view: View, model: Model, names: dict[int, set[str]]) -> None:
    """Digests, positions, refusals and every look-up of `names`, by kind."""
    positions = {one.region: (one.epoch, one.sequence) for one in view.positions() if one.sequence}
    assert positions == {region: at for region, at in model.positions.items() if at[1]}
    for region in model.positions:
        assert view.digest(region) == model.digest(region)
        assert view.range_digests(region) == struct.pack(">1024Q", *model.ranges(region))
    assert {(r.region, r.kind, r.name, r.version.sequence) for r in view.refused()} == model.refused()
    for name in names.get(Kind.TENANT, ()):
        value = model.value(Kind.TENANT, name)
        share = None if value is None else msgspec.msgpack.decode(value, type=TenantValue).share
        assert view.tenant(name) == share
    for service in {name.partition("/")[0] for name in names.get(Kind.INSTANCE, ())}:
        assert {(tuple(one.entry), one.address) for one in view.listed(service)} == expected_service(
            model, service
        )
    for name in names.get(Kind.ROUTES, ()):
        check_routes(view, name, model.value(Kind.ROUTES, name))


def check_routes(view: View, authority: str, value: bytes | None) -> None:
    """The routes of the tests start with one path and name one method."""
    found = view.routes(authority)
    if value is None:
        assert found is None
        return
    words = value.decode().split('"')
    path, method = words[1], words[3]
    for asked in PATHS:
        answer = found.find(Request(authority, asked))
        assert (answer and answer.method) == (method if asked.startswith(path) else None)
