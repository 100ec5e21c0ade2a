"""Creation of views for tests, and their comparison with the model."""

from __future__ import annotations

import os
import shutil
import struct
import tempfile
from collections.abc import Mapping
from typing import Any

import msgspec

from linenbridge.distribution.changes import Change, InstanceValue, Kind, TenantValue, ZoneValue
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.results import StoredPage, ViewLimits
from linenbridge.distribution.view.view import View
from linenbridge.interface import InstanceState
from linenbridge.routes.table import Request
from tests.distribution.view.model import (
    Model,
    batch,
    change,
    instance_value,
    route_text,
    tenant_value,
)
from tests.helpers import MS, startup

METHODS = startup().methods
MAX_DEADLINE = 5_000 * MS
UNIX_OFFSET = -7  # microseconds
PATHS = ("/a", "/a/b", "/b")
FINGERPRINT = fingerprint(method.name for method in METHODS)
SERVICES = 30  # in `content`

PageKey = tuple[int, str, int]  # kind, name, number


def new_view(limits: ViewLimits | None = None) -> View:
    """Return an empty view with the methods of the tests."""
    return View(METHODS, MAX_DEADLINE, UNIX_OFFSET, limits)


def reloaded(view: View, pages: dict[PageKey, StoredPage]) -> View:
    """Return the view after a restart; `pages` has the stored pages and gets the changed ones."""
    for page in view.take_changed_pages():
        pages[page.kind, page.name, page.number] = page
    fresh = new_view()
    fresh.load(sorted(page for page in pages.values() if page.body is not None))
    return fresh


# ---- changes -----------------------------------------------------------------------------------------


def routes_change(
    sequence: int, value: bytes, name: str = "shop", region: str = "eu", epoch: int = 1
) -> Change:
    """Return a change of an authority's routes."""
    return change(Kind.ROUTES, name, value, sequence, region, epoch)


def tenant_change(
    sequence: int, share: float, name: str = "t1", region: str = "eu", epoch: int = 1
) -> Change:
    """Return a change of a tenant's quota."""
    return change(Kind.TENANT, name, tenant_value(share), sequence, region, epoch)


def instance_change(sequence: int, name: str, region: str = "eu", **value: Any) -> Change:
    """Return a change of an instance; `value` has the arguments of `model.instance_value`."""
    return change(Kind.INSTANCE, name, instance_value(**value), sequence, region)


def method_of(view: View, authority: str = "shop", path: str = "/a") -> str | None:
    """Return the method that the view's routes give a request; None if no route matches."""
    table = view.routes(authority)
    found = None if table is None else table.find(Request(authority, path))
    return None if found is None else found.method


# ---- one version of a view, and its store ------------------------------------------------------------


class Incarnation:
    """One incarnation of a gateway's view with a store; `events` has its log lines."""

    def __init__(self, path: str, methods: str = FINGERPRINT) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []
        self.store = ViewStore(path, methods, lambda name, **fields: self.events.append((name, fields)))
        self.view: View = restored(self.store, new_view)

    def apply(self, one: Apply) -> bool:
        """Apply a batch, write the pages, and return whether they were stored."""
        self.view.apply(one)
        return self.store.write(self.view.take_changed_pages())

    def event_names(self) -> list[str]:
        """Return the event names of the log lines."""
        return [name for name, _ in self.events]


def content(first: int, share: float) -> Apply:
    """Return a batch from the sequence `first` on: routes, a quota `share`, an invalid tenant, and instances.

    The build of the instances is `first`.
    """
    changes = [
        change(Kind.ROUTES, "shop", route_text("look"), first),
        change(Kind.TENANT, "t1", tenant_value(share), first + 1),
        change(Kind.TENANT, "bad", b"\xc1", first + 2),
    ]
    changes += [
        change(Kind.INSTANCE, f"s{number}/i", instance_value(build=first), first + 3 + number)
        for number in range(SERVICES)
    ]
    return batch(*changes)


def has_content(view: View, first: int, share: float) -> bool:
    """Return whether the view has exactly the result of `content(first, share)`."""
    return (
        method_of(view) == "look"
        and view.tenant_quota("t1") == share
        and [one.name for one in view.rejected()] == ["bad"]
        and all(view.instances(f"s{number}")[0].build == first for number in range(SERVICES))
        and view.positions()[0].sequence == first + 2 + SERVICES
    )


def is_empty(view: View) -> bool:
    """Return whether the view has no position, and neither routes nor tenants of `content`."""
    return not view.positions() and view.routes("shop") is None and view.tenant_quota("t1") is None


def copy_after_kill(path: str) -> str:
    """Copy the store's files as a killed process leaves them, without a close; return the copy's path."""
    folder = tempfile.mkdtemp(dir=os.path.dirname(path))
    for ending in ("", "-wal"):
        if os.path.exists(path + ending):
            shutil.copy(path + ending, os.path.join(folder, "view.db" + ending))
    return os.path.join(folder, "view.db")


# ---- comparison with the model -----------------------------------------------------------------------


def expected_endpoint(name: str, value: InstanceValue, lost: set[str]) -> tuple[Any, ...]:
    """Return an endpoint's entry and address as plain tuples."""
    state = InstanceState.REMOVED if value.zone in lost else value.state
    started = value.started * 1000 + UNIX_OFFSET
    entry = (name, value.build, value.zone, value.cell, state, value.size, started)
    return entry, (value.host, value.port)


def expected_service(model: Model, service: str) -> set[tuple[Any, ...]]:
    """Return the endpoints of a service according to the model."""
    lost = {
        name
        for name in model.names(Kind.ZONE)
        if msgspec.msgpack.decode(model.value_in_force(Kind.ZONE, name), type=ZoneValue).lost
    }
    found = set()
    for name in model.names(Kind.INSTANCE):
        own, _, instance = name.partition("/")
        if own == service:
            packed = model.value_in_force(Kind.INSTANCE, name)
            value = msgspec.msgpack.decode(packed, type=InstanceValue)
            found.add(expected_endpoint(instance, value, lost))
    return found


def check_equal(view: View, model: Model, names: Mapping[int, set[str]]) -> None:
    """Compare digests, positions, rejections, and the look-ups of all `names` of each kind."""
    positions = {one.region: (one.epoch, one.sequence) for one in view.positions() if one.sequence}
    assert positions == {region: at for region, at in model.positions.items() if at[1]}
    for region in model.positions:
        assert view.digest(region) == model.digest(region)
        assert view.range_digests(region) == struct.pack(">1024Q", *model.ranges(region))
    rejected = {(one.region, one.kind, one.name, one.version.sequence) for one in view.rejected()}
    assert rejected == model.rejected()
    for name in names.get(Kind.TENANT, ()):
        value = model.value(Kind.TENANT, name)
        share = None if value is None else msgspec.msgpack.decode(value, type=TenantValue).share
        assert view.tenant_quota(name) == share
    for service in {name.partition("/")[0] for name in names.get(Kind.INSTANCE, ())}:
        found = {(tuple(one.entry), one.address) for one in view.endpoints(service)}
        assert found == expected_service(model, service)
    for name in names.get(Kind.ROUTES, ()):
        check_routes(view, name, model.value(Kind.ROUTES, name))


def check_routes(view: View, authority: str, value: bytes | None) -> None:
    """Compare the routes of an authority, a text as `model.route_text` returns it, for each of PATHS."""
    found = view.routes(authority)
    if value is None:
        assert found is None
        return
    assert found is not None
    prefix, method = value.decode().split('"')[1:4:2]
    for path in PATHS:
        answer = found.find(Request(authority, path))
        assert (answer and answer.method) == (method if path.startswith(prefix) else None)
