"""A real process that holds the tables: filled by a stream of changes, or restarted from its store.

`python -m tests.scale.tables.process fill STORE` reads frames from standard input; `... restart STORE SHARE`
looks up keys of the content with that share of the size. Each prints one JSON object. While the process is
filled it holds no content besides the view: its memory is the interpreter, the modules and the tables.
"""

from __future__ import annotations

import ctypes
import json
import os
import random
import sys
import time
from array import array
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import BinaryIO

import msgspec
from msgspec import Struct

from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.view import View
from linenbridge.routes.table import Request
from tests.scale.tables.content import LONGEST, METHODS, REGIONS, SEED, Content, Size

LOOKUPS = 20_000
FIRST_LOOKUPS = 1_000
COMPILED_SERVICES = 50  # services whose routes are looked up repeatedly and whose instances are in use
LENGTH_BYTES = 4
FILL = "fill"

Times = Iterable[float]


class Frame(Struct, array_like=True, frozen=True):
    """A batch or a whole range for the view; the costs of frames are grouped by `what`."""

    what: str
    batch: Apply | None = None
    content: ReplaceRange | None = None


def write_frame(stream: BinaryIO, frame: Frame) -> None:
    """Write one frame with its length."""
    encoded = msgspec.msgpack.encode(frame)
    stream.write(len(encoded).to_bytes(LENGTH_BYTES, "big") + encoded)


def read_frames(stream: BinaryIO) -> Iterator[Frame]:
    """Yield frames until the end of the stream."""
    while head := stream.read(LENGTH_BYTES):
        yield msgspec.msgpack.decode(stream.read(int.from_bytes(head, "big")), type=Frame)


def resident() -> int:
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def highest() -> int:
    """Return the peak resident memory of this process, in bytes."""
    with open("/proc/self/status") as file:
        line = next(line for line in file if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


def trim_heap() -> None:
    """Return free memory to the system, as far as the allocator can."""
    ctypes.CDLL(None).malloc_trim(0)


def open_view(path: str) -> tuple[ViewStore, View]:
    """Open a store and return it with the view restored from it."""
    store = ViewStore(path, fingerprint(method.name for method in METHODS), _print_event)
    return store, restored(store, lambda: View(METHODS, LONGEST))


def _print_event(name: str, **fields: object) -> None:
    print(name, fields, file=sys.stderr)


# ---- filling -----------------------------------------------------------------------------------------


def filled(path: str) -> dict:
    """Fill the tables from standard input and return the figures of this process."""
    base = resident()
    store, view = open_view(path)
    applying = defaultdict[str, array](_times)
    storing = defaultdict[str, array](_times)
    after_fill = 0
    for frame in read_frames(sys.stdin.buffer):
        if frame.what != FILL and not after_fill:
            after_fill = resident()
        applying[frame.what].append(processor_time(lambda frame=frame: apply_frame(view, frame)))
        storing[frame.what].append(processor_time(lambda: store.write(view.take_changed_pages())))
    figures = {
        "base": base,
        "filled": after_fill,
        "fill_s": (sum(applying.pop(FILL)) + sum(storing.pop(FILL))) / 1e6,
        "change": {what: spread(times) for what, times in applying.items()},
        "store": {what: spread(times) for what, times in storing.items()},
        "resident": resident(),
        "highest": highest(),
        "digests": {region: view.digest(region) for region in REGIONS},
    }
    store.close()
    return figures


def apply_frame(view: View, frame: Frame) -> None:
    """Apply one frame; raise SystemExit if a change is rejected."""
    found = view.replace(frame.content) if frame.batch is None else view.apply(frame.batch)
    if found.rejected:
        raise SystemExit(f"the view rejected a change: {found.rejected[0]}")


# ---- looking up --------------------------------------------------------------------------------------


def restarted(path: str, share: float) -> dict:
    """Restore the view from a store, look up its keys and return the figures of this process."""
    base = resident()
    store, view = open_view(path)
    content = Content(Size().scaled(share), SEED)
    first = content.services[0]
    answer = view.routes(first)
    if answer is None or view.tenant_quota(content.tenant(0)) is None or not view.instances(first):
        raise SystemExit(
            "the restored view has no routes, quota or instances for the first service and tenant"
        )
    figures: dict = {"answered_at": time.monotonic_ns(), "base": base}
    figures["restored"] = resident()
    trim_heap()
    figures["settled"] = resident()
    figures["lookup"] = time_lookups(view, content)
    figures["after_lookups"] = resident()
    figures["highest"] = highest()
    figures["digests"] = {region: view.digest(region) for region in REGIONS}
    figures["pages"] = page_bytes(view)
    store.close()
    return figures


def page_bytes(view: View) -> dict[str, int]:
    """Return the bytes of the packed pages, and the counted cost of the compiled route sets."""
    return {
        "tenants": sum(map(len, view.tenant_table.pages)),
        "routes": sum(map(len, view.route_table.buckets)),
        "instances": sum(map(len, view.instance_table.buckets)),
        "compiled": view.route_table.cost,
    }


def time_lookups(view: View, content: Content) -> dict[str, dict]:
    """Time random look-ups in each table, over all keys or over those in use."""
    chosen = random.Random(SEED)
    tenants = content.size.tenants
    names = (content.tenant(chosen.randrange(tenants)) for _ in range(LOOKUPS))
    figures = {"tenant": spread(processor_time(lambda name=name: view.tenant_quota(name)) for name in names)}
    unused = chosen.sample(content.services, min(FIRST_LOOKUPS, len(content.services)))
    requests = [(name, request_of(view, name, chosen)) for name in unused]
    view.route_table.clear()
    figures["routes cold"] = spread(look_up_time(view, *one) for one in requests)
    requests = requests[:COMPILED_SERVICES]
    used = unused[:COMPILED_SERVICES]
    for one in requests:
        look_up_time(view, *one)
    figures["routes compiled"] = spread(look_up_time(view, *chosen.choice(requests)) for _ in range(LOOKUPS))
    figures["service cold"] = spread(
        processor_time(lambda name=name: view.instances(name)) for name in unused
    )
    for name in used:
        view.use(name)
    entries = (chosen.choice(used) for _ in range(LOOKUPS))
    figures["instance in use"] = spread(
        processor_time(lambda name=name: view.instance_table.find(name)) for name in entries
    )
    return figures


def request_of(view: View, service: str, chosen: random.Random) -> Request:
    """Return a request that matches a random route of the service."""
    table = view.routes(service)
    rule = table.rules[chosen.randrange(len(table.rules))]
    starts, verbs, *headers = rule.when.parts
    wanted = {test.subject.name: test.operands[0] for test in headers}
    return Request(service, starts.operands[0] + "17", verbs.operands[0], "http", {"x-tenant": "t", **wanted})


def look_up_time(view: View, service: str, request: Request) -> float:
    """Return the microseconds of one look-up; raise SystemExit if no route matches."""
    fresh = Request(request.authority, request.path, request.verb, "http", request.headers)
    found: list[object] = []

    def look() -> None:
        table = view.routes(service)
        found.append(table and table.find(fresh))

    took = processor_time(look)
    if found[0] is None:
        raise SystemExit(f"no route of {service} matches {request.path}")
    return took


# ---- figures -----------------------------------------------------------------------------------------


def processor_time(call: Callable[[], object]) -> float:
    """Return the microseconds of this thread's processor time, as other processes share the machine."""
    began = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - began) / 1000


def _times() -> array:
    return array("d")


def spread(times: Times) -> dict[str, float]:
    """Return the median and the 99th percentile of times in microseconds, and their number."""
    ordered = sorted(array("d", times))
    return {"p50": ordered[len(ordered) // 2], "p99": ordered[len(ordered) * 99 // 100], "n": len(ordered)}


if __name__ == "__main__":
    what, store_path, *rest = sys.argv[1:]
    figures = filled(store_path) if what == "fill" else restarted(store_path, float(rest[0]))
    print(json.dumps(figures))
