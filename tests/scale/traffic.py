"""The changes that a scale test publishes: the first content of the tables, and changes at the size's rates.

This module has no I/O; the same seed and shape give the same changes. The rates are those of
docs/capacity/size.toml (configuration changes and restarts a day, spread evenly), times a factor.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

import msgspec

from linenbridge.distribution.changes import InstanceValue, Kind, TenantValue, ZoneValue
from linenbridge.interface import InstanceState

DAY = 86_400  # seconds
SECOND = 1_000_000
# From docs/capacity/size.toml.
CHANGES_A_DAY = 68_000
RESTARTS_A_DAY = 72_000
RESTART_STEPS = (
    InstanceState.DRAINING,
    InstanceState.REMOVED,
    InstanceState.READY,
)  # the states of an instance during a restart; InstanceState.REMOVED deletes its key
ROUTE_CHANGE_SHARE = 0.7  # share of the configuration changes that change routes; the rest change tenants

_encode = msgspec.msgpack.encode


@dataclass(frozen=True)
class Shape:
    """The size of one region's tables. Each region has zones with names of its own."""

    services: int = 4
    instances: int = 5  # of each service
    tenants: int = 20
    zones: int = 3
    rules: int = 3  # of each set of routes


@dataclass(frozen=True)
class Request:
    """A change that a change client requests `at` microseconds after its start."""

    at: int
    region: str
    kind: int
    name: str
    value: bytes


def service(region: str, number: int) -> str:
    """Return the authority of a service; its name contains its region."""
    return f"s{number}.{region}.internal"


def routes(mark: str, rules: int) -> bytes:
    """Return the text of a set of rules that all have `mark` as their tenant."""
    lines = [
        f'route r{number} {{ when path is "/{number}" method "look" tenant "{mark}" }}'
        for number in range(rules)
    ]
    return "\n".join(lines).encode()


def _instance(zone: str, state: int, build: int, started: int) -> bytes:
    return _encode(InstanceValue(build, zone, "c1", state, 1.0, started, "127.0.0.1", 9))


def first_content(shape: Shape, regions: list[str]) -> Iterator[Request]:
    """Yield one change for each key of the tables."""
    for region in regions:
        for number in range(shape.services):
            name = service(region, number)
            yield Request(0, region, Kind.ROUTES, name, routes("m0", shape.rules))
            for instance in range(shape.instances):
                zone = f"{region}-{instance % shape.zones}"
                yield Request(
                    0,
                    region,
                    Kind.INSTANCE,
                    f"{name}/i{instance}",
                    _instance(zone, InstanceState.READY, 1, 0),
                )
        for tenant in range(shape.tenants):
            yield Request(0, region, Kind.TENANT, f"t{tenant}.{region}", _encode(TenantValue(0.01)))


def steady(seed: int, shape: Shape, regions: list[str], seconds: float, factor: float = 1.0) -> list[Request]:
    """Return the changes of `seconds` at the size's rates, times `factor`, in order of time.

    A restart of an instance is three changes half a second apart: draining, removed, ready.
    """
    random = Random(f"steady {seed} {factor}")
    requests = list[Request]()
    for number in range(round(CHANGES_A_DAY / DAY * seconds * factor)):
        at = round(random.uniform(0, seconds) * SECOND)
        requests.append(
            _configuration(random, shape, random.choice(regions), at, f"m{seed}-{factor:g}-{number}")
        )
    for number in range(round(RESTARTS_A_DAY / DAY * seconds * factor)):
        at = round(random.uniform(0, seconds) * SECOND)
        region = random.choice(regions)
        name = service(region, random.randrange(shape.services))
        instance = random.randrange(shape.instances)
        zone = f"{region}-{instance % shape.zones}"
        for step, state in enumerate(RESTART_STEPS):
            value = b"" if state == InstanceState.REMOVED else _instance(zone, state, 1, number + 1)
            requests.append(
                Request(at + step * SECOND // 2, region, Kind.INSTANCE, f"{name}/i{instance}", value)
            )
    return sorted(requests, key=lambda request: request.at)


def _configuration(random: Random, shape: Shape, region: str, at: int, mark: str) -> Request:
    if random.random() < ROUTE_CHANGE_SHARE:
        name = service(region, random.randrange(shape.services))
        return Request(at, region, Kind.ROUTES, name, routes(mark, shape.rules))
    tenant = f"t{random.randrange(shape.tenants)}.{region}"
    return Request(at, region, Kind.TENANT, tenant, _encode(TenantValue(random.random())))


def zone(region: str, number: int, at: int, lost: bool) -> Request:
    """Return the one change by which a whole zone is lost or back."""
    return Request(at, region, Kind.ZONE, f"{region}-{number}", _encode(ZoneValue(lost)))
