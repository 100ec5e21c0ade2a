"""Pages, digests, look-ups and values of a view equal those of the base, commit 4d24a08, byte for byte.

`record_view.py` has written `data/view.json` and `data/view.db` with that commit. The record has the changes
as bytes on the wire, so the tests also cover decoding them.
"""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import zlib
from base64 import b64decode, b64encode
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec
import pytest

from linenbridge.distribution.changes import Change, Kind, Version
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.results import ApplyResult, Endpoint, PageKind, RejectedChange, StoredPage
from linenbridge.distribution.view.rules import COMPRESSION_DICTIONARY
from linenbridge.distribution.view.values import ValueChecks
from linenbridge.distribution.view.view import View
from linenbridge.routes.table import Request
from tests.helpers import startup

ROOT = Path(__file__).parents[2]
DATA = Path(__file__).parent / "data"
RECORD = json.loads((DATA / "view.json").read_text())
METHODS = startup().methods
STEPS_BEFORE_USE = 4  # inputs before `View.use` is called
MAX_DEADLINE = RECORD["longest"]  # microseconds


def new_view() -> View:
    """Return an empty view with the limits of the record."""
    return View(METHODS, MAX_DEADLINE, RECORD["unix_offset"])


def apply_step(view: View, step: dict[str, Any]) -> ApplyResult:
    """Apply one recorded input, with its changes decoded from the recorded bytes."""
    changes = msgspec.msgpack.decode(b64decode(step["changes"]), type=list[Change])
    upto = Version(*step["upto"])
    if step["input"] == "apply":
        return view.apply(Apply(step["region"], upto, changes))
    return view.replace(ReplaceRange(step["region"], upto, step["range"], changes, step["final"]))


def endpoint_row(one: Endpoint) -> list[Any]:
    """Return an endpoint in the format of the record."""
    entry = one.entry
    return [
        entry.instance,
        entry.build,
        entry.zone,
        entry.cell,
        entry.state,
        entry.size,
        entry.started_at,
        *one.address,
    ]


def version_row(version: Version) -> list[int]:
    """Return a version in the format of the record."""
    return [version.epoch, version.sequence]


def rejection_row(one: RejectedChange) -> list[Any]:
    """Return a rejected change in the format of the record."""
    return [one.region, version_row(one.version), one.kind, one.name, one.reason]


def result_row(applied: ApplyResult) -> dict[str, Any]:
    """Return a result in the format of the record."""
    return {
        "upto": version_row(applied.upto),
        "digest": applied.digest,
        "applied": applied.applied,
        "skipped": applied.skipped,
        "routes": applied.routes,
        "tenants": applied.tenants,
        "zones": applied.zones,
        "instances": {
            service: sorted(map(endpoint_row, changed)) for service, changed in applied.instances.items()
        },
        "rejected": list(map(rejection_row, applied.rejected)),
    }


def recorded_pages(step: dict[str, Any]) -> list[StoredPage]:
    """Return the recorded pages of a step."""
    return [
        StoredPage(kind, name, number, None if body is None else b64decode(body))
        for kind, name, number, body in step["pages"]
    ]


def page_key(page: StoredPage) -> tuple[int, str, int]:
    """Return the key of a page: its kind, name and number."""
    return page.kind, page.name, page.number


def content_of(page: StoredPage) -> object:
    """Return the body of a page, decoded if it is a page of routes, as the order of its index varies."""
    if page.kind != PageKind.ROUTES or page.body is None:
        return page.body
    records = msgspec.msgpack.decode(page.body)
    for record in records:
        record[-1] = unpacked_rules(record[-1])
    return records


def unpacked_rules(packed: bytes) -> object:
    """Return the decoded content of a packed set of routes: its index (a dict) and its rules."""
    unpacker = zlib.decompressobj(zdict=COMPRESSION_DICTIONARY)
    return msgspec.msgpack.decode(unpacker.decompress(packed) + unpacker.flush())


def view_after_all_steps() -> View:
    """Return the view after all recorded inputs, without checking their results."""
    view = new_view()
    for number, step in enumerate(RECORD["steps"]):
        if number == STEPS_BEFORE_USE:
            view.use(RECORD["in_use"])
        apply_step(view, step)
    return view


def print_pages() -> None:
    """Print the pages of each step as JSON in the format of the record.

    A test calls it in another process, which has the hash seed of the record.
    """
    view = new_view()
    found = []
    for step in RECORD["steps"]:
        apply_step(view, step)
        found.append(
            [
                [page.kind, page.name, page.number, page.body and b64encode(page.body).decode()]
                for page in view.take_changed_pages()
            ]
        )
    print(json.dumps(found))


def check_look_ups(view: View) -> None:
    """Check all recorded look-ups, which were made after all inputs."""
    expected = RECORD["look_ups"]
    found = {name: sorted(map(endpoint_row, view.endpoints(name))) for name in expected["instances"]}
    assert found == expected["instances"]
    assert {name: view.tenant_quota(name) for name in expected["tenants"]} == expected["tenants"]
    positions = sorted([one.region, one.epoch, one.sequence] for one in view.positions())
    assert positions == expected["positions"]
    assert list(map(rejection_row, view.rejected())) == expected["rejected"]
    for authority, request, answer in expected["routes"]:
        table = view.routes(authority)
        found_rpc = None if table is None else table.find(Request(*request))
        assert (None if found_rpc is None else list(msgspec.structs.astuple(found_rpc))) == answer


def test_the_record_covers_every_kind_of_page_and_of_result() -> None:
    steps = RECORD["steps"]

    kinds = {page[0] for step in steps for page in step["pages"]}
    deleted = {page[0] for step in steps for page in step["pages"] if page[3] is None}

    assert kinds == set(PageKind)
    assert {PageKind.ROUTES, PageKind.INSTANCE, PageKind.ZONE, PageKind.REJECTION} <= deleted
    assert {step["input"] for step in steps} == {"apply", "replace"}
    assert any(step["result"]["digest"] is None for step in steps)
    assert any(step["result"]["instances"] for step in steps)
    assert any(page[2] > 2 for step in steps for page in step["pages"] if page[0] == Kind.INSTANCE)


def test_results_digests_and_pages_of_each_input_equal_those_of_the_base() -> None:
    view = new_view()

    for number, step in enumerate(RECORD["steps"]):
        if number == STEPS_BEFORE_USE:
            view.use(RECORD["in_use"])
        applied = apply_step(view, step)

        assert result_row(applied) == step["result"], f"step {number}"
        pages = view.take_changed_pages()
        assert list(map(page_key, pages)) == list(map(page_key, recorded_pages(step))), f"step {number}"
        assert list(map(content_of, pages)) == list(map(content_of, recorded_pages(step))), f"step {number}"
        digests = view.range_digests(step["region"])
        assert sha256(digests).hexdigest() == step["range_digests"], f"step {number}"

    check_look_ups(view)


def test_each_page_equals_that_of_the_base_byte_for_byte() -> None:
    """Compare in a process with the hash seed of the record.

    The index of a packed set of routes has the order of a set of strings, which depends on the hash seed.
    """
    program = "from tests.compatibility.test_view import print_pages; print_pages()"
    environment = {**os.environ, "PYTHONHASHSEED": "0"}

    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, cwd=ROOT, env=environment
    )

    found = json.loads(process.stdout)
    for number, step in enumerate(RECORD["steps"]):
        assert found[number] == step["pages"], f"step {number}"
    assert len(found) == len(RECORD["steps"])


def test_look_ups_after_loading_the_pages_of_the_base_equal_those_of_the_base() -> None:
    pages = {page[:3]: page for step in RECORD["steps"] for page in recorded_pages(step)}
    stored = sorted(page for page in pages.values() if page.body is not None)
    view = new_view()

    view.load(stored)

    check_look_ups(view)
    assert view.take_changed_pages() == []


@pytest.mark.parametrize("number", range(len(RECORD["values"])))
def test_a_value_is_read_or_rejected_as_by_the_base(number: int) -> None:
    kind, name, value, expected = RECORD["values"][number]
    checks = ValueChecks(METHODS, MAX_DEADLINE)

    if "rejected" in expected:
        with pytest.raises(ChangeRejected) as caught:
            checks.read(kind, name, b64decode(value))
        assert {"rejected": caught.value.what, "where": caught.value.where} == expected
    else:
        read = checks.read(kind, name, b64decode(value))
        if isinstance(read, bytes):
            assert unpacked_rules(read) == unpacked_rules(b64decode(expected["read"]))
        else:
            assert msgspec.msgpack.encode(read) == b64decode(expected["read"])
    assert checks(kind, name, b64decode(value)) == expected.get("rejected", "")


def opened(path: Path, events: list[str]) -> tuple[ViewStore, View]:
    """Open the store at `path` and restore its view; the names of logged events are added to `events`."""
    mark = fingerprint(method.name for method in METHODS)
    store = ViewStore(str(path), mark, lambda name, **_: events.append(name))
    return store, restored(store, new_view)


def test_a_store_of_the_base_is_restored_and_accepts_further_changes(tmp_path: Path) -> None:
    events: list[str] = []
    path = Path(shutil.copy(DATA / "view.db", tmp_path / "view.db"))

    store, view = opened(path, events)
    check_look_ups(view)
    reference = view_after_all_steps()
    reference.take_changed_pages()
    result = apply_to_both(view, reference)
    written = store.write(view.take_changed_pages())
    store.close()
    store, again = opened(path, events)
    store.close()

    assert written
    assert events == []
    assert again.digest("ap") == result.digest == reference.digest("ap")
    assert again.tenant_quota("t1") == reference.tenant_quota("t1") == 0.125
    assert again.range_digests("eu") == reference.range_digests("eu")


def apply_to_both(view: View, reference: View) -> ApplyResult:
    """Apply one more change of region `ap` to the restored view and to the reference view."""
    head = next(one for one in view.positions() if one.region == "ap")
    upto = Version(head.epoch, head.sequence + 1)
    value = msgspec.msgpack.encode([0.125])
    content = Apply("ap", upto, [Change("ap", upto.epoch, upto.sequence, Kind.TENANT, "t1", value)])
    reference.apply(content)
    return view.apply(content)
