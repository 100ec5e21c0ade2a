"""Costs of the view of `linenbridge/distribution/view`: changes, look-ups, memory and restart.

Every size counts the keys of one kind, spread over the services as in docs/capacity/size.toml.
Names, hosts, paths and times are derived from hashes, so that they compress no better than those of a real
installation. A few rule sets are checked once and reused for all services in turn; a change that is timed is
checked in full.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from functools import cache
from hashlib import blake2b
from pathlib import Path

import msgspec

from linenbridge.distribution.changes import (
    Change,
    InstanceValue,
    Kind,
    TenantValue,
    Version,
    ZoneValue,
    digest_of,
    sealed,
)
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.view import view as view_module
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.values import Value
from linenbridge.distribution.view.view import View
from linenbridge.interface import InstanceState
from linenbridge.routes.table import Request

from tests.scale.measure.costs import REPEATS, execution_mode, processor_time, result_and_size
from tests.scale.measure.routes import MAX_DEADLINE, METHODS, RULES_A_SERVICE, VERBS
from tests.scale.slopes import Slope, record, slope

MEASURED_BY = "tests.scale.measure.view"
REGION = "one"
ROUTES = "gateway: routes"
TENANTS = "gateway: tenants"
INSTANCES = "gateway: instance view"
ROUTE_SIZES = (2_300, 23_000, 230_000)
TENANT_SIZES = (3_500, 35_000, 350_000)
INSTANCE_SIZES = (2_000, 20_000, 200_000)
ALL_SIZES = (2_000, 20_000, 200_000)  # instances, with routes and tenants in proportion
INSTANCES_A_SERVICE = 22
ROUTES_AN_INSTANCE = 1.15
TENANTS_AN_INSTANCE = 1.75
ZONES = 19
BATCH = 256
TENANT_SHARE = 0.5
RULE_SETS = 64  # different rule sets
MONTH_MS = 30 * 86_400_000


class ChangeSource:
    """Seal changes with increasing versions."""

    def __init__(self) -> None:
        self.sequence = 0

    def seal(self, kind: Kind, name: str, value: bytes) -> Change:
        """Return a change with the next version."""
        self.sequence += 1
        return sealed(REGION, Version(1, self.sequence), kind, name, value)


def hashed(what: str, number: int) -> int:
    """Return a 64-bit hash of the arguments."""
    return int.from_bytes(blake2b(f"{what} {number}".encode(), digest_size=8).digest(), "big")


def resource(set_number: int, number: int) -> str:
    """Return the part of the path that is matched by one rule of a set."""
    return f"{hashed('resource', set_number * RULES_A_SERVICE + number) & 0xFFFFFFFFFF:010x}"


@cache
def rules(set_number: int, soft: int = 0) -> bytes:
    """Return one of the rule sets; its rules differ in path, verb, method and soft deadline.

    `soft` is the soft deadline of all rules in milliseconds; 0 gives each rule one of its own.
    """
    lines = []
    for number in range(RULES_A_SERVICE):
        hash_value = hashed("rule", set_number * RULES_A_SERVICE + number)
        lines.append(
            f'route r{resource(set_number, number)[:4]}-{number} {{ when authority is "{service(set_number)}"'
            f' and path starts "/v1/{resource(set_number, number)}/" and verb is "{VERBS[hash_value % 2]}"'
            f' method "{METHODS[hash_value % 3].name}" soft {soft or 50 + hash_value % 900}ms'
            f' tenant header("x-tenant") }}'
        )
    return "\n".join(lines).encode()


def service(number: int) -> str:
    """Return the authority of a service."""
    return f"service-{number:04d}.internal"


def instance_value(number: int, state: int = InstanceState.READY) -> bytes:
    """Return the encoded InstanceValue of an instance."""
    hash_value = hashed("instance", number)
    value = InstanceValue(
        363,
        f"zone-{hash_value % ZONES}",
        str(hash_value % 400),
        state,
        1.0,
        1_700_000_000_000 + hash_value % MONTH_MS,
        f"10.{hash_value >> 40 & 255}.{hash_value >> 48 & 255}.{hash_value >> 56}",
        20_000 + hash_value % 10_000,
    )
    return msgspec.msgpack.encode(value)


def instance_key(number: int) -> str:
    """Return the key of an instance's changes."""
    return f"{service(number // INSTANCES_A_SERVICE)}/i-{hashed('name', number) & 0xFFFFFFFF:08x}"


def route_changes(source: ChangeSource, count: int) -> Iterator[Change]:
    """Yield rule sets with about `count` rules in total."""
    for number in range(max(1, round(count / RULES_A_SERVICE))):
        yield source.seal(Kind.ROUTES, service(number), rules(number % RULE_SETS))


def tenant_changes(source: ChangeSource, count: int) -> Iterator[Change]:
    """Yield the changes of `count` tenants."""
    value = msgspec.msgpack.encode(TenantValue(TENANT_SHARE))
    for number in range(count):
        yield source.seal(Kind.TENANT, f"tenant-{number:07d}", value)


def instance_changes(source: ChangeSource, count: int) -> Iterator[Change]:
    """Yield the changes of `count` instances."""
    for number in range(count):
        yield source.seal(Kind.INSTANCE, instance_key(number), instance_value(number))


def all_changes(source: ChangeSource, count: int) -> Iterator[Change]:
    """Yield the changes of `count` instances, with routes and tenants in proportion."""
    yield from route_changes(source, round(count * ROUTES_AN_INSTANCE))
    yield from tenant_changes(source, round(count * TENANTS_AN_INSTANCE))
    yield from instance_changes(source, count)


def new_view() -> View:
    """Return an empty view."""
    return View(METHODS, MAX_DEADLINE)


def apply(view: View, changes: list[Change]) -> None:
    """Apply changes as one batch."""
    view.apply(Apply(REGION, changes[-1].version, changes))


@cache
def checked_rules(value: bytes) -> Value:
    """Return a rule set in the form that the view stores, checked."""
    return new_view().validator.checks.read(Kind.ROUTES, service(0), value)


def filled(changes: Iterator[Change]) -> View:
    """Return a view to which the changes were applied, in batches as a relay sends them."""
    view = new_view()
    batch: list[Change] = []
    for change in changes:
        batch.append(change)
        if change.kind == Kind.ROUTES:
            view.validator.ahead[digest_of(change)] = checked_rules(change.value)
        if len(batch) == BATCH:
            apply(view, batch)
            batch = []
    if batch:
        apply(view, batch)
    return view


def change_time(view: View, source: ChangeSource, kind: Kind, name: str, values: list[bytes]) -> float:
    """Return the microseconds to check and apply one change of a key, without the time to seal it."""
    calls = 20
    repeats = 5
    changes = iter([source.seal(kind, name, values[n % len(values)]) for n in range(calls * repeats)])
    return processor_time(lambda: apply(view, [next(changes)]), calls, repeats)


def route_look_up(view: View, number: int) -> Callable[[], None]:
    """Return a function that looks up a route in the rule set of a service."""
    set_number = number % RULE_SETS
    middle = RULES_A_SERVICE // 2
    verb = VERBS[hashed("rule", set_number * RULES_A_SERVICE + middle) % 2]
    authority = service(number)
    sent_authority = service(set_number)
    path = f"/v1/{resource(set_number, middle)}/7"

    def look_up() -> None:
        found = view.routes(authority)
        assert found is not None
        # The rules match the authority of the first service that has this rule set.
        assert found.find(Request(sent_authority, path, verb)) is not None

    return look_up


def route_costs(count: int) -> dict[str, float]:
    """Measure a view with `count` routes; return the costs by name."""
    source = ChangeSource()
    for set_number in range(RULE_SETS):
        # Fill the cache before the measurement, so that the memory of the view does not include the cache.
        checked_rules(rules(set_number))
    view, memory = result_and_size(lambda: filled(route_changes(source, count)))
    services = round(count / RULES_A_SERVICE)
    middle = service(services // 2)
    values = [rules(services // 2 % RULE_SETS, soft) for soft in (300, 0)]
    costs = {"one change": change_time(view, source, Kind.ROUTES, middle, values)}
    warm_look_up = route_look_up(view, services // 2)
    warm_look_up()
    costs["one look-up"] = processor_time(warm_look_up, 1_000)
    first_look_ups = iter([route_look_up(view, number) for number in range(services - 1)])
    costs["first look-up of a set"] = processor_time(
        lambda: next(first_look_ups)(), min(15, (services - 1) // REPEATS)
    )
    costs["memory of the table"] = memory
    return costs


def tenant_costs(count: int) -> dict[str, float]:
    """Measure a view with `count` tenants; return the costs by name."""
    source = ChangeSource()
    view, memory = result_and_size(lambda: filled(tenant_changes(source, count)))
    name = f"tenant-{count // 2:07d}"
    values = [msgspec.msgpack.encode(TenantValue(share)) for share in (0.25, 0.75)]
    return {
        "one change": change_time(view, source, Kind.TENANT, name, values),
        "one look-up": processor_time(lambda: view.tenant_quota(name), 1_000),
        "memory of tenants": memory,
    }


def instance_costs(count: int) -> dict[str, float]:
    """Measure a view with `count` instances; return the costs by name."""
    source = ChangeSource()
    view, memory = result_and_size(lambda: filled(instance_changes(source, count)))
    number = count // 2
    values = [instance_value(number, state) for state in (InstanceState.DRAINING, InstanceState.READY)]
    lost = [msgspec.msgpack.encode(ZoneValue(is_lost)) for is_lost in (True, False)]
    of_service = service(number // INSTANCES_A_SERVICE)
    return {
        "one change": change_time(view, source, Kind.INSTANCE, instance_key(number), values),
        "a zone lost": change_time(view, source, Kind.ZONE, "zone-1", lost),
        "a service's list": processor_time(lambda: view.instances(of_service), 100),
        "memory of the view": memory,
    }


def restart_time(count: int) -> float:
    """Return the microseconds of processor time to restore the view from its store after a restart.

    Raises RuntimeError if the store cannot be written.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = str(Path(folder) / "view.db")
        methods = fingerprint(method.name for method in METHODS)
        store = ViewStore(path, methods, lambda *_, **__: None)
        store.open()
        if not store.write(filled(all_changes(ChangeSource(), count)).take_changed_pages()):
            raise RuntimeError(f"the store could not be written: {store.error}")
        store.close()

        def restart() -> None:
            reopened = ViewStore(path, methods, lambda *_, **__: None)
            view = restored(reopened, new_view)
            assert view.positions()
            reopened.close()

        return processor_time(restart, 1, 3)


FORMS = {"memory of the table": "linear", "memory of tenants": "linear", "memory of the view": "linear"}


def _slopes(
    role: str, size: str, sizes: tuple[int, ...], measure: Callable[[int], dict[str, float]]
) -> list[Slope]:
    measured = [(count, measure(count)) for count in sizes]
    return [
        slope(
            FORMS.get(what, "constant"),
            [(count, costs[what]) for count, costs in measured],
            role=role,
            what=what,
            size=size,
            unit="bytes" if what in FORMS else "us",
            measured_by=MEASURED_BY,
            text=execution_mode(view_module),
            state="after",
        )
        for what in measured[0][1]
    ]


def rows() -> list[Slope]:
    """Measure the view at all sizes."""
    return [
        *_slopes(ROUTES, "routes", ROUTE_SIZES, route_costs),
        *_slopes(TENANTS, "tenants", TENANT_SIZES, tenant_costs),
        *_slopes(INSTANCES, "instances", INSTANCE_SIZES, instance_costs),
        slope(
            "linear",
            [(count, restart_time(count)) for count in ALL_SIZES],
            role="gateway: process",
            what="all tables from the store after a restart",
            size="instances",
            unit="us",
            measured_by=MEASURED_BY,
            text=execution_mode(view_module),
            state="after",
            note="with routes and tenants in proportion",
        ),
    ]


if __name__ == "__main__":
    record(rows())
