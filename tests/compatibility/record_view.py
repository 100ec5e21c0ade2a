"""Writes `data/view.json` and `data/view.db` with the code of commit 4d24a08, whose names it uses.

Run from the root of a checkout of 4d24a08: `PYTHONHASHSEED=0 PYTHONPATH=. python
PATH/TO/tests/compatibility/record_view.py PATH/TO/tests/compatibility/data`. The hash seed is part of the
record: the index of a packed set lists its prefixes in the order of a set of strings. Later versions do not
have these modules; the script is kept to document how the data were made.
"""

from __future__ import annotations

import json
import os
import sys
from base64 import b64encode
from hashlib import sha256
from pathlib import Path
from random import Random

import msgspec

from linenbridge.distribution.changes import (
    Change,
    InstanceValue,
    Kind,
    TenantValue,
    Version,
    ZoneValue,
    range_of,
    sealed,
)
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.errors import ChangeRefused
from linenbridge.distribution.view.store import ViewStore, fingerprint
from linenbridge.distribution.view.values import ValueChecks
from linenbridge.distribution.view.view import View
from linenbridge.routes.table import Request
from tests.distribution.view.test_routes import request, rules
from tests.helpers import MS, startup

COMMIT = "4d24a08"
SEED = 20_260_000
REGIONS = ("ap", "eu", "us")
SERVICES = ("shop", "pay", "grün.internal", "many")
TENANTS = 300
MANY = 200  # instances of the last service, enough to split its pages
FULL_PAGE = 48  # the most instances of a service with one page
LONGEST = 5_000 * MS
UNIX_OFFSET = -7
METHODS = startup().methods


def pack(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


def text(data: bytes) -> str:
    return b64encode(data).decode()


def version(found: Version) -> list[int]:
    return [found.epoch, found.sequence]


def instance(seeded: Random, service: str) -> bytes:
    return pack(
        InstanceValue(
            seeded.choice((0, 1, 2, 9_007_199_254_740_991)),
            seeded.choice(("z1", "z2", "ü")),
            seeded.choice(("c1", "c2")),
            seeded.randrange(3),
            seeded.choice((0.5, 1.0, 3.25)),
            seeded.choice((0, 1_700_000_000_000 + seeded.randrange(10**6))),
            f"10.0.0.{seeded.randrange(256)}",
            seeded.randrange(1, 65_536),
        )
    )


def routes(seeded: Random) -> bytes:
    checks = ValueChecks(METHODS, LONGEST)
    while True:
        made = rules(seeded).encode()
        if not checks(Kind.ROUTES, "any", made):
            return made


BAD = (
    (Kind.ROUTES, "shop", b"\xff"),
    (Kind.ROUTES, "pay", b"route a {"),
    (Kind.ROUTES, "new", b'route a { when always method "unknown" }'),
    (Kind.ROUTES, "s" * 257, b"route a {"),
    (Kind.TENANT, "t1", b"\xc1"),
    (Kind.TENANT, "t2", pack(TenantValue(1.01))),
    (Kind.TENANT, "t3", pack([1])),
    (Kind.TENANT, "t4", pack(TenantValue(0.5)) + b"\x00"),
    (Kind.INSTANCE, "shop", pack(InstanceValue(1, "z", "c", 1, 1.0, 1, "h", 1))),
    (Kind.INSTANCE, "shop/i1", pack(InstanceValue(1, "z", "c", 3, 1.0, 1, "h", 1))),
    (Kind.INSTANCE, "shop/i2", pack(InstanceValue(-1, "z", "c", 1, 1.0, 1, "h", 1))),
    (Kind.INSTANCE, "shop/i3", pack(InstanceValue(1, "z" * 257, "c", 1, 1.0, 1, "h", 1))),
    (Kind.INSTANCE, "shop/i4", pack(InstanceValue(1, "z", "c", 1, 0.0, 1, "h", 1))),
    (Kind.INSTANCE, "shop/i5", pack(InstanceValue(1, "z", "c", 1, 1.0, 1, "", 1))),
    (Kind.INSTANCE, "shop/i6", pack(InstanceValue(1, "z", "c", 1, 1.0, 1, "h", 65_536))),
    (Kind.ZONE, "z1", b"\x90"),
    (9, "x", b"x"),
)


def draft(seeded: Random) -> tuple[int, str, bytes]:
    """Return a key and its new value; one in eight is a deletion, one in twelve an invalid value."""
    if seeded.randrange(12) == 0:
        return seeded.choice(BAD)
    kind = seeded.choice((Kind.ROUTES, Kind.TENANT, Kind.TENANT, Kind.INSTANCE, Kind.INSTANCE, Kind.ZONE))
    service = seeded.choice(SERVICES)
    match kind:
        case Kind.ROUTES:
            name, value = service, routes(seeded)
        case Kind.TENANT:
            name, value = f"t{seeded.randrange(TENANTS)}", pack(TenantValue(seeded.random()))
        case Kind.INSTANCE:
            name, value = f"{service}/i{seeded.randrange(20)}", instance(seeded, service)
        case _:
            name, value = seeded.choice(("z1", "z2", "ü")), pack(ZoneValue(seeded.random() < 0.5))
    return kind, name, b"" if seeded.randrange(8) == 0 else value


class Recorder:
    """Applies the changes of a publisher to a view and records both."""

    def __init__(self, store: ViewStore) -> None:
        self.seeded = Random(SEED)
        self.store = store
        self.view = View(METHODS, LONGEST, UNIX_OFFSET)
        self.heads = dict.fromkeys(REGIONS, Version(1, 0))
        self.content: dict[str, dict[tuple[int, str], Change]] = {region: {} for region in REGIONS}
        self.steps: list[dict] = []

    def publish(self, region: str, drafts: list[tuple[int, str, bytes]]) -> list[Change]:
        made = {}
        for kind, name, value in drafts:
            head = self.heads[region] = Version(self.heads[region].epoch, self.heads[region].sequence + 1)
            made[kind, name] = sealed(region, head, kind, name, value)
        self.content[region].update(made)
        return list(made.values())

    def apply(self, region: str, drafts: list[tuple[int, str, bytes]]) -> None:
        changes = self.publish(region, drafts)
        self.seeded.shuffle(changes)
        upto = self.heads[region]
        applied = self.view.apply(Apply(region, upto, changes))
        self.record(
            {"input": "apply", "region": region, "upto": version(upto), "changes": text(pack(changes))},
            applied,
        )

    def replace(self, region: str, number: int, *, final: bool) -> None:
        changes = [
            one
            for one in self.content[region].values()
            if one.value and range_of(one.kind, one.name) == number
        ]
        upto = self.heads[region]
        applied = self.view.replace(ReplaceRange(region, upto, number, changes, final))
        step = {"input": "replace", "region": region, "upto": version(upto), "range": number, "final": final}
        self.record({**step, "changes": text(pack(changes))}, applied)

    def record(self, step: dict, applied) -> None:
        pages = self.view.dirty()
        assert self.store.write(pages)
        services = {
            service: sorted([*one.entry, *one.address] for one in changed)
            for service, changed in applied.instances.items()
        }
        result = {
            "upto": version(applied.upto),
            "digest": applied.digest,
            "applied": applied.taken,
            "skipped": applied.passed,
            "routes": applied.routes,
            "tenants": applied.tenants,
            "zones": applied.zones,
            "instances": services,
            "rejected": [
                [one.region, version(one.version), one.kind, one.name, one.reason] for one in applied.refused
            ],
        }
        kinds = [[page.kind, page.name, page.number, page.body and text(page.body)] for page in pages]
        digests = sha256(self.view.range_digests(applied.region)).hexdigest()
        self.steps.append({**step, "result": result, "pages": kinds, "range_digests": digests})

    def run(self) -> None:
        seeded = self.seeded
        self.apply(
            "eu", [(Kind.TENANT, f"t{n}", pack(TenantValue(1 / (n + 3)))) for n in range(0, TENANTS, 3)]
        )
        self.apply("eu", [(Kind.INSTANCE, f"many/i{n}", instance(seeded, "many")) for n in range(MANY)])
        self.apply("us", [(Kind.INSTANCE, f"edge/i{n}", instance(seeded, "edge")) for n in range(FULL_PAGE)])
        self.apply("us", [(Kind.INSTANCE, f"edge/i{FULL_PAGE}", instance(seeded, "edge"))])
        self.view.use("shop")
        for number in range(14):
            region = seeded.choice(REGIONS)
            self.apply(region, [draft(seeded) for _ in range(seeded.randrange(1, 9))])
            if number == 7:
                self.heads["eu"] = Version(2, self.heads["eu"].sequence)
        self.apply("ap", list(BAD))
        self.publish("eu", [draft(seeded) for _ in range(30)])
        used = sorted({range_of(kind, name) for kind, name in self.content["eu"]})
        chosen = seeded.sample(used, 12)
        for number in chosen:
            self.replace("eu", number, final=False)
        self.apply("us", [draft(seeded) for _ in range(5)])
        self.replace("eu", chosen[0], final=True)
        self.add_and_delete()
        self.apply("eu", [(Kind.INSTANCE, f"many/i{n}", b"") for n in range(0, MANY, 2)])

    def add_and_delete(self) -> None:
        """Add valid and invalid keys that only one region has, and delete them."""
        keys = [
            (Kind.ROUTES, "solo", routes(self.seeded)),
            (Kind.INSTANCE, "solo/i1", instance(self.seeded, "solo")),
            (Kind.ZONE, "solo", pack(ZoneValue(True))),
            *BAD[:3],
        ]
        self.apply("us", keys)
        self.apply("us", [(kind, name, b"") for kind, name, _ in keys])

    def look_ups(self) -> dict:
        seeded = Random(SEED + 1)
        requests = [request(seeded) for _ in range(30)]
        return {
            "instances": {
                name: sorted([*one.entry, *one.address] for one in self.view.listed(name))
                for name in SERVICES
            },
            "tenants": {f"t{n}": self.view.tenant(f"t{n}") for n in range(TENANTS)},
            "positions": sorted([one.region, one.epoch, one.sequence] for one in self.view.positions()),
            "rejected": [
                [r.region, version(r.version), r.kind, r.name, r.reason] for r in self.view.refused()
            ],
            "routes": [self.route(name, one) for name in (*SERVICES, "none") for one in requests],
        }

    def route(self, authority: str, sent: Request) -> list:
        table = self.view.routes(authority)
        found = table and table.find(sent)
        question = [sent.authority, sent.path, sent.verb, sent.scheme, sent.headers, sent.attributes]
        return [authority, question, found and msgspec.structs.astuple(found)]


def values() -> list:
    """Return each value with the reason of its rejection, or with the encoding of the decoded value."""
    seeded, checks, found = Random(SEED + 2), ValueChecks(METHODS, LONGEST), []
    drafts = [*BAD, *(draft(seeded) for _ in range(60))]
    drafts += [(Kind.ZONE, "z", pack(ZoneValue(True))), (Kind.TENANT, "", pack(TenantValue(0.5)))]
    drafts += [(Kind.ROUTES, "shop", b"#" * 48_001), (Kind.INSTANCE, "/i", b"\x90"), (Kind.LOG, "l", b"")]
    for kind, name, value in drafts:
        try:
            read = checks.read(kind, name, value)
            outcome = {"read": text(read if isinstance(read, bytes) else pack(read))}
        except ChangeRefused as error:
            outcome = {"rejected": error.what, "where": error.where}
        found.append([int(kind), name, text(value), outcome])
    return found


def main(folder: Path) -> None:
    if os.environ.get("PYTHONHASHSEED") != "0":
        raise SystemExit("run it with PYTHONHASHSEED=0")
    path = folder / "view.db"
    path.unlink(missing_ok=True)
    store = ViewStore(str(path), fingerprint(method.name for method in METHODS), print)
    assert store.open()
    recorder = Recorder(store)
    recorder.run()
    store.close()
    head = {"commit": COMMIT, "seed": SEED, "longest": LONGEST, "unix_offset": UNIX_OFFSET, "in_use": "shop"}
    record = {**head, "steps": recorder.steps, "look_ups": recorder.look_ups(), "values": values()}
    (folder / "view.json").write_text(json.dumps(record, ensure_ascii=False) + "\n")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
