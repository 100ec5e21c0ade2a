"""One real process that holds the tables: filled change by change, or restarted from its store.

`python -m tests.scale.tables.process fill STORE SHARE` and `... restart STORE SHARE`; prints one JSON object.
"""

from __future__ import annotations

import ctypes
import json
import os
import random
import sys
import time
from collections.abc import Callable, Iterable, Iterator

from linenbridge.distribution.changes import Change, Version
from linenbridge.distribution.decisions import Apply
from linenbridge.distribution.view.store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.view import View
from linenbridge.routes.table import Request
from tests.scale.tables.content import EPOCH, LONGEST, METHODS, REGIONS, Content, Size

SEED = 1
BATCH = 100  # changes that come into force together while the tables are filled
LOOKUPS, CHANGES, SET_CHANGES = 20_000, 3_000, 100
COMPILED_SERVICES = 50  # whose routes are asked for again and again, and whose instances are in use
RULES = 26

Times = list[float]


def resident() -> int:
    """Bytes of this process in memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def highest() -> int:
    """The most bytes that this process had in memory."""
    with open("/proc/self/status") as file:
        line = next(line for line in file if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


def give_back() -> None:
    """Free memory goes back to the system, as far as the allocator can give it."""
    ctypes.CDLL(None).malloc_trim(0)


def new_view() -> View:
    return View(METHODS, LONGEST)


def opened(path: str) -> tuple[ViewStore, View]:
    store = ViewStore(path, fingerprint(method.name for method in METHODS), _told)
    return store, restored(store, new_view)


def _told(name: str, **fields: object) -> None:
    print(name, fields, file=sys.stderr)


# ---- filling -----------------------------------------------------------------------------------------


def batches(changes: Iterable[Change]) -> Iterator[Apply]:
    """Changes of one region at a time, as they come from a relay."""
    waiting: dict[str, list[Change]] = {region: [] for region in REGIONS}
    for change in changes:
        found = waiting[change.region]
        found.append(change)
        if len(found) == BATCH:
            yield Apply(change.region, change.version, found)
            waiting[change.region] = []
    for region, found in waiting.items():
        if found:
            yield Apply(region, found[-1].version, found)


def fill(view: View, store: ViewStore, changes: Iterable[Change]) -> float:
    """All changes into the view and the store; processor seconds of the view for it."""
    spent = 0
    for batch in batches(changes):
        began = time.thread_time_ns()
        applied = view.apply(batch)
        spent += time.thread_time_ns() - began
        if applied.refused:
            raise SystemExit(f"refused: {applied.refused[0]}")
        store.write(view.dirty())
    return spent / 1e9


def filled(path: str, share: float) -> dict:
    """The figures of a process whose tables were filled."""
    content = Content(Size().scaled(share), SEED)
    store, view = opened(path)
    told: dict = {"size": {name: getattr(content.size, name) for name in content.size.__struct_fields__}}
    told["base"] = before = resident()
    for name, changes in (
        ("tenants", content.tenants()), ("instances", content.all_instances()), ("routes", content.routes())
    ):  # fmt: skip
        told[f"fill_{name}_s"] = fill(view, store, changes)
    give_back()
    told["filled"] = resident() - before  # The generator's own lists are in it too.
    told["change"] = changed(view, store, content)
    told["equal"] = all(view.digest(region) == content.digests[region] for region in REGIONS)
    told["content"] = {"digests": content.digests, "instances": content.instances[:50]}
    store.close()
    told["file"] = os.path.getsize(path)
    return told


def changed(view: View, store: ViewStore, content: Content) -> dict[str, dict]:
    """What one change costs, of each kind, and its write to the store."""
    told = {}
    makers: tuple[tuple[str, Callable[[], Change], int], ...] = (
        ("tenant", content.another_tenant, CHANGES),
        ("instance", content.another_instance, CHANGES),
        ("routes", lambda: content.another_route_set(RULES), SET_CHANGES),
        ("zone", lambda: content.lost_zone(bool(random.getrandbits(1))), 20),
    )
    for name, make, count in makers:
        applying, storing = [], []
        for _ in range(count):
            change = make()
            batch = Apply(change.region, Version(EPOCH, change.sequence), [change])
            applying.append(processor_time(lambda batch=batch: view.apply(batch)))
            storing.append(processor_time(lambda: store.write(view.dirty())))
        told[name], told[f"{name} stored"] = spread(applying), spread(storing)
    return told


# ---- looking up --------------------------------------------------------------------------------------


def restarted(path: str, share: float) -> dict:
    """The figures of a process that serves from its store."""
    base = resident()
    store, view = opened(path)
    content = Content(Size().scaled(share), SEED)
    first = content.services[0]
    answer = view.routes(first)
    if answer is None or view.tenant(content.tenant(0)) is None or not view.instances(first):
        raise SystemExit("the store holds nothing")
    told: dict = {"answered_at": time.monotonic_ns(), "base": base}
    give_back()
    told["restored"] = resident()
    told["lookup"] = looked_up(view, content)
    told["after_lookups"], told["highest"] = resident(), highest()
    told["digests"] = {region: view.digest(region) for region in REGIONS}
    told["compiled_bytes"] = view.by_authority.cost
    store.close()
    return told


def looked_up(view: View, content: Content) -> dict[str, dict]:
    """Look-ups of each table, at random over all of it or over what is in use."""
    chosen = random.Random(SEED)
    names = [content.tenant(chosen.randrange(content.size.tenants)) for _ in range(LOOKUPS)]
    told = {"tenant": spread([processor_time(lambda name=name: view.tenant(name)) for name in names])}
    cold = chosen.sample(content.services, min(2_000, len(content.services)))
    requests = [(name, request_of(view, name, chosen)) for name in cold]
    view.by_authority.clear()
    told["routes cold"] = spread([asked(view, *one) for one in requests])
    used = requests[:COMPILED_SERVICES]
    for one in used:
        asked(view, *one)
    told["routes compiled"] = spread([asked(view, *chosen.choice(used)) for _ in range(LOOKUPS)])
    told["service cold"] = spread([processor_time(lambda name=name: view.instances(name)) for name in cold])
    for name in cold[:COMPILED_SERVICES]:
        view.use(name)
    entries = [chosen.choice(cold[:COMPILED_SERVICES]) for _ in range(LOOKUPS)]
    told["instance in use"] = spread(
        [processor_time(lambda name=name: view.by_service.find(name)) for name in entries]
    )
    return told


def request_of(view: View, service: str, chosen: random.Random) -> Request:
    """A request that one of the service's routes takes."""
    table = view.routes(service)
    rule = table.rules[chosen.randrange(len(table.rules))]
    starts, verbs, *headers = rule.when.parts
    wanted = {test.subject.name: test.words[0] for test in headers}
    return Request(service, starts.words[0] + "17", verbs.words[0], "http", {"x-tenant": "t", **wanted})


def asked(view: View, service: str, request: Request) -> float:
    fresh = Request(request.authority, request.path, request.verb, "http", request.headers)
    found: list[object] = []

    def look() -> None:
        table = view.routes(service)
        found.append(table and table.find(fresh))

    took = processor_time(look)
    if found[0] is None:
        raise SystemExit(f"no route of {service} takes {request.path}")
    return took


# ---- figures -----------------------------------------------------------------------------------------


def processor_time(call: Callable[[], object]) -> float:
    """Microseconds of this thread's processor time: others share the machine."""
    began = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - began) / 1000


def spread(times: Times) -> dict[str, float]:
    """The median and the 99th in a hundred, in microseconds."""
    ordered = sorted(times)
    return {"p50": ordered[len(ordered) // 2], "p99": ordered[len(ordered) * 99 // 100], "n": len(ordered)}


if __name__ == "__main__":
    what, store_path, part = sys.argv[1:]
    print(json.dumps({"fill": filled, "restart": restarted}[what](store_path, float(part))))
