"""The seeded content of an installation as versioned changes: routes by service, tenants, instances, zones.

The same size and seed give the same changes. As in real installations, a few services have hundreds of
instances and most have only a few.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec
from msgspec import Struct

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
from linenbridge.interface import Idempotency, MILLISECOND, InstanceState, SECOND, Method

METHODS = (
    Method("read", Idempotency.IDEMPOTENT, "all", 0, SECOND, 1.0),
    Method("search", Idempotency.IDEMPOTENT, "all", 0, 2 * SECOND, 1.0),
    Method("write", Idempotency.IDEMPOTENT_BY_KEY, "zone", 5 * SECOND, SECOND, 2.0),
    Method("pay", Idempotency.NON_IDEMPOTENT, "all", 0, SECOND, 4.0),
)
LONGEST = 5_000 * MILLISECOND  # the longest deadline
EPOCH = 7
SEED = 1
REGIONS = ("ap-south", "ap-east", "eu-central", "eu-west", "us-east", "us-west")
ZONES = 19
SKEW = 1.6  # exponent of the Pareto distribution of service sizes
STEMS = (
    "orders",
    "catalog",
    "billing",
    "search",
    "users",
    "session",
    "ledger",
    "stock",
    "media",
    "mail",
    "quote",
    "rates",
    "offer",
    "basket",
    "audit",
    "report",
    "price",
    "geo",
    "trip",
    "seat",
)
VERBS = {
    "read": '("GET", "HEAD")',
    "search": '("GET", "POST")',
    "write": '("PUT", "PATCH")',
    "pay": '("POST")',
}
TAILS = (
    'tenant header("x-tenant") else "none"',
    'tenant header("x-tenant") else segment(2) key segment(4)',
    'tenant header("x-tenant") else "none" soft 250ms deadline header("grpc-timeout") grpc else 2s',
    'key header("x-request-key") deadline 800ms cost query("limit") ms else 3ms',
)

Key = tuple[int, str]


class Size(Struct, frozen=True):
    """The number of entries of each kind."""

    services: int = 8_900
    routes: int = 230_000
    tenants: int = 350_000
    instances: int = 200_000

    def scaled(self, share: float) -> Size:
        """Return a size with a share of each number, at least 1."""
        return Size(*(max(1, round(getattr(self, name) * share)) for name in self.__struct_fields__))


class Content:
    """The newest versions of an installation's keys. Each key belongs to one region."""

    def __init__(self, size: Size, seed: int) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.sequences = dict.fromkeys(REGIONS, 0)
        self.digests = dict.fromkeys(REGIONS, 0)
        self.current: dict[Key, int] = {}  # digests, by key
        self.services = [self._service(number) for number in range(size.services)]
        self.instances: list[str] = []

    def _service(self, number: int) -> str:
        return f"{STEMS[number % len(STEMS)]}-{number // len(STEMS):03d}.internal"

    def tenant(self, number: int) -> str:
        """Return the name of a tenant."""
        return f"tenant-{number:07x}"

    # ---- all keys, once each ----------------------------------------------------------------------

    def routes(self) -> Iterator[Change]:
        """Yield one change for each service, among which the routes of the size are divided."""
        for service, count in zip(self.services, self._parts(self.size.routes), strict=True):
            yield self.change(Kind.ROUTES, service, self._rules(service, count).encode())

    def tenants(self) -> Iterator[Change]:
        """Yield one change for each tenant."""
        for number in range(self.size.tenants):
            yield self.change(Kind.TENANT, self.tenant(number), self._share())

    def all_instances(self) -> Iterator[Change]:
        """Yield one change for each instance."""
        for service, count in zip(self.services, self._parts(self.size.instances), strict=True):
            for _ in range(count):
                name = f"{service}/{service[:-9]}-{self.random.getrandbits(40):010x}"
                self.instances.append(name)
                yield self.change(Kind.INSTANCE, name, self._instance())

    def _parts(self, total_count: int) -> list[int]:
        """Divide a total among the services, at least 1 each; most parts are small."""
        weights = [min(self.random.paretovariate(SKEW), 400.0) for _ in self.services]
        spare = total_count - len(weights)
        total = sum(weights)
        parts = [1 + int(spare * weight / total) for weight in weights]
        for number in range(total_count - sum(parts)):
            parts[number % len(parts)] += 1
        return parts

    # ---- single changes --------------------------------------------------------------------------

    def another_tenant(self) -> Change:
        """Return a change of a random tenant."""
        return self.change(Kind.TENANT, self.tenant(self.random.randrange(self.size.tenants)), self._share())

    def another_instance(self) -> Change:
        """Return a change of a random instance."""
        return self.change(Kind.INSTANCE, self.random.choice(self.instances), self._instance())

    def another_route_set(self, rules: int) -> Change:
        """Return a change of the rule set of a random service."""
        service = self.random.choice(self.services)
        return self.change(Kind.ROUTES, service, self._rules(service, rules).encode())

    def zone_changed(self) -> Change:
        """Return a change by which a zone is lost or back."""
        lost = bool(self.random.getrandbits(1))
        return self.change(Kind.ZONE, "zone-3", msgspec.msgpack.encode(ZoneValue(lost)))

    def change(self, kind: int, name: str, value: bytes) -> Change:
        """Return the next version of a key, at the next sequence of its region's log."""
        region = REGIONS[hash_of(name.partition("/")[0]) % len(REGIONS)]
        self.sequences[region] += 1
        made = sealed(region, Version(EPOCH, self.sequences[region]), kind, name, value)
        own = digest_of(made)
        self.digests[region] = (self.digests[region] + own - self.current.get((kind, name), 0)) % 2**64
        self.current[kind, name] = own
        return made

    # ---- values ----------------------------------------------------------------------------------

    def _share(self) -> bytes:
        share = self.random.choice((0.001, 0.002, 0.005, 0.01, self.random.random() / 100))
        return msgspec.msgpack.encode(TenantValue(share))

    def _instance(self) -> bytes:
        draw = self.random.randrange
        value = InstanceValue(
            300 + draw(4),
            f"zone-{draw(ZONES)}",
            f"rack-{draw(400):03d}",
            InstanceState.READY,
            self.random.choice((1.0, 1.0, 2.0, 0.5)),
            1_700_000_000_000 + draw(10**9),
            f"10.{draw(256)}.{draw(256)}.{draw(256)}",
            draw(8000, 9000),
        )
        return msgspec.msgpack.encode(value)

    def _rules(self, service: str, count: int) -> str:
        stem = service.partition("-")[0]
        return "\n".join(self._rule(stem, number) for number in range(min(count, 200)))

    def _rule(self, stem: str, number: int) -> str:
        method = self.random.choice(tuple(VERBS))
        path = f"/v{1 + number % 3}/{stem}/{self.random.choice(STEMS)}{number}/"
        when = f'path starts "{path}" and verb in {VERBS[method]}'
        if number % 5 == 0:
            when += f' and header("x-variant") is "{self.random.choice(STEMS)}"'
        return f'route {stem}-{number} {{ when {when}\n  method "{method}" {self.random.choice(TAILS)} }}'


def hash_of(name: str) -> int:
    """Return a hash of a name that is the same in every process."""
    return int.from_bytes(name.encode()[-12:], "big")


def path_of(rule_text: str, number: int) -> str:
    """Return a path that matches the rule with that number."""
    return rule_text.split('path starts "')[1 + number].partition('"')[0] + "x"
