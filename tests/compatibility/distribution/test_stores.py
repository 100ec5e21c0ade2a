"""Stores of commit 4d24a08 are opened, return their content, and change on further writes as at that commit.

`data/region_log` is the region log of a relay, `data/view` the view store of a gateway. `expected.json` of
each has the content that the code of that commit read, and the tables after further writes.
"""

from __future__ import annotations

import hashlib
import json
from random import Random

import apsw
import msgspec
import pytest

from linenbridge.distribution.decisions import Apply, Persist, ReplaceRange
from linenbridge.distribution.log.replica import StoredLog, Replica
from linenbridge.distribution.storage.log_store import RelayLog
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.view import View
from linenbridge.routes.table import Request
from tests.distribution.view.helpers import METHODS, new_view

PATHS = ("/a", "/a/b", "/b")


def typed(cls: type, row: list) -> object:
    """Return a struct from its recorded fields, which are in the order of their definition."""
    fields = msgspec.structs.fields(cls)
    assert len(row) == len(fields)
    return cls(*(decoded(value, field.type) for value, field in zip(row, fields, strict=True)))


def decoded(value: object, expected: type) -> object:
    """Return the value of a field. An empty list is not decoded: its type may not be decodable."""
    return [] if value == [] else msgspec.json.decode(json.dumps(value), type=expected)


def as_row(value: object) -> list:
    return json.loads(msgspec.json.encode(msgspec.structs.astuple(value)))


def as_array(value: object) -> list:
    return json.loads(msgspec.json.encode(value))


def tables_of(path: object) -> dict:
    """Return the schema version, the table definitions and all rows of a store."""
    connection = apsw.Connection(str(path))
    names = [
        row[0]
        for row in connection.execute("select name from sqlite_master where type = 'table' order by name")
    ]
    found = {
        "form": connection.pragma("user_version"),
        "tables": [
            list(row)
            for row in connection.execute(
                "select name, sql from sqlite_master where sql is not null order by name"
            )
        ],
        "rows": {name: rows_of(connection, name) for name in names},
    }
    connection.close()
    return found


def rows_of(connection: apsw.Connection, table: str) -> list[list]:
    order = "" if table == "state" else "order by 1, 2, 3, 4"
    rows = connection.execute(f"select * from {table} {order}")
    return [[value.hex() if isinstance(value, bytes) else value for value in row] for row in rows]


# ---- region log ------------------------------------------------------------------------------------------


def test_reading_a_region_log_of_the_base_returns_its_content(region_log_folder, region_log_record):
    store = RelayLog(str(region_log_folder), region_log_record["region"])
    found = store.read()
    store.close()
    assert as_row(found) == region_log_record["kept"]


def test_a_replica_recovers_from_a_region_log_of_the_base(region_log_folder, region_log_record):
    store = RelayLog(str(region_log_folder), region_log_record["region"])
    replica = Replica(region_log_record["region"], "eu-1", store.read(), Random(1), trusted=True)
    store.close()
    assert (replica.incarnation, replica.member) == (region_log_record["life"], region_log_record["member"])
    assert as_array(replica.next_decision(0).changes) == region_log_record["handed_on"]
    assert replica.next_decision(0) is None


def test_further_writes_to_a_region_log_of_the_base_result_in_the_same_tables(
    region_log_folder, region_log_record
):
    store = RelayLog(str(region_log_folder), region_log_record["region"])
    store.read()
    store.persist([typed(Persist, row) for row in region_log_record["goes_on"]])
    store.close()
    assert tables_of(region_log_folder / "log.db") == region_log_record["content_after"]
    again = RelayLog(str(region_log_folder), region_log_record["region"])
    found = again.read()
    again.close()
    assert as_row(found) == region_log_record["kept_after"]


def test_a_new_region_log_has_the_tables_and_rows_of_the_base(tmp_path, region_log_record):
    store = RelayLog(str(tmp_path), region_log_record["region"])
    assert store.read() == StoredLog()
    store.persist([typed(Persist, row) for row in region_log_record["keeps"]])
    store.close()
    assert tables_of(tmp_path / "log.db") == region_log_record["content"]


# ---- view store -----------------------------------------------------------------------------------------


def content_of(view: View, record: dict) -> dict:
    """Return the results of all look-ups of a view in the format of the record."""
    regions = list(record["digests"])
    range_digests = {name: hashlib.sha256(view.range_digests(name)).hexdigest() for name in regions}
    rows = view.rejected()
    rejected_rows = [[row.region, *as_array(row.version), row.kind, row.name, row.reason] for row in rows]
    return {
        "positions": as_array(view.positions()),
        "digests": {region: view.digest(region) for region in regions},
        "range_digests": range_digests,
        "refused": sorted(rejected_rows),
        "tenants": {name: view.tenant_quota(name) for name in record["tenants"]},
        "instances": {
            service: sorted([list(one.entry), list(one.address)] for one in view.endpoints(service))
            for service in record["instances"]
        },
        "services": sorted(view.services()),
        "routes": {authority: methods_of(view, authority) for authority in record["routes"]},
    }


def methods_of(view: View, authority: str) -> list[str | None] | None:
    """Return the method of each path of an authority, or None if the view has no routes for the authority."""
    table = view.routes(authority)
    if table is None:
        return None
    rules = [table.find(Request(authority, path)) for path in PATHS]
    return [None if rule is None else rule.method for rule in rules]


def apply_input(view: View, row: list) -> None:
    name, *fields = row
    if name == "Apply":
        view.apply(typed(Apply, fields))
    else:
        view.replace(typed(ReplaceRange, fields))


@pytest.fixture
def events() -> list[tuple[str, dict]]:
    return []


@pytest.fixture
def open_store(events):
    """Return a function that opens a view store, which adds its log events to `events`.

    The stores are closed after the test.
    """
    opened = []

    def open_path(path: object) -> ViewStore:
        mark = fingerprint(method.name for method in METHODS)
        store = ViewStore(str(path), mark, lambda name, **fields: events.append((name, fields)))
        opened.append(store)
        return store

    yield open_path
    for store in opened:
        store.close()


def test_the_methods_and_their_fingerprint_equal_those_of_the_record(view_record):
    assert sorted(method.name for method in METHODS) == view_record["methods"]
    assert fingerprint(method.name for method in METHODS) == view_record["fingerprint"]


def test_restoring_a_view_store_of_the_base_returns_its_content(view_path, view_record, open_store, events):
    view = restored(open_store(view_path), new_view)
    assert content_of(view, view_record["content"]) == view_record["content"]
    assert events == []


def test_further_changes_to_a_view_store_of_the_base_result_in_the_same_tables(
    view_path, view_record, open_store, events
):
    store = open_store(view_path)
    view = restored(store, new_view)
    for row in view_record["goes_on"]:
        apply_input(view, row)
        assert store.write(view.take_changed_pages())
    store.close()
    assert tables_of(view_path) == view_record["tables_after"]
    again = restored(open_store(view_path), new_view)
    assert content_of(again, view_record["content_after"]) == view_record["content_after"]
    assert events == []


def test_a_new_view_store_has_the_tables_and_rows_of_the_base(tmp_path, view_record, open_store, events):
    store = open_store(tmp_path / "view.db")
    view = restored(store, new_view)
    for row in view_record["batches"]:
        apply_input(view, row)
        assert store.write(view.take_changed_pages())
    store.close()
    assert tables_of(tmp_path / "view.db") == view_record["tables"]
    assert events == []
