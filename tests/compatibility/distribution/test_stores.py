"""Stores that commit 4d24a08 wrote are opened, give back what was in them, and are written on as by it.

`data/region_log` holds the log of a region's relay, `data/view` a gateway's store of pages; `expected.json`
beside each is what the code of that commit read, and the tables that it left after further writes.
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
    """A structure from its fields in order, as the record holds them."""
    fields = msgspec.structs.fields(cls)
    assert len(row) == len(fields)
    return cls(*(decoded(value, field.type) for value, field in zip(row, fields, strict=True)))


def decoded(value: object, expected: type) -> object:
    """A field's value; lists that are empty in the record may be of types that cannot be decoded."""
    return [] if value == [] else msgspec.json.decode(json.dumps(value), type=expected)


def as_row(value: object) -> list:
    return json.loads(msgspec.json.encode(msgspec.structs.astuple(value)))


def as_array(value: object) -> list:
    return json.loads(msgspec.json.encode(value))


def tables_of(path: object) -> dict:
    """All that a file holds: its form, its tables as they were made, and their rows."""
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


# ---- a region's log --------------------------------------------------------------------------------------


def test_a_region_log_of_the_base_gives_back_what_was_in_it(region_log_folder, region_log_record):
    store = RelayLog(str(region_log_folder), region_log_record["region"])
    found = store.read()
    store.close()
    assert as_row(found) == region_log_record["kept"]


def test_a_replica_goes_on_from_a_region_log_of_the_base(region_log_folder, region_log_record):
    store = RelayLog(str(region_log_folder), region_log_record["region"])
    replica = Replica(region_log_record["region"], "eu-1", store.read(), Random(1), trusted=True)
    store.close()
    assert (replica.incarnation, replica.member) == (region_log_record["life"], region_log_record["member"])
    assert as_array(replica.next_decision(0).changes) == region_log_record["handed_on"]
    assert replica.next_decision(0) is None


def test_a_region_log_of_the_base_is_written_on_as_the_base_did(region_log_folder, region_log_record):
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


# ---- a gateway's view ------------------------------------------------------------------------------------


def content_of(view: View, record: dict) -> dict:
    """All that a view answers, as the record holds it."""
    regions = list(record["digests"])
    range_digests = {name: hashlib.sha256(view.range_digests(name)).hexdigest() for name in regions}
    rows = view.rejected()
    refused = [[row.region, *as_array(row.version), row.kind, row.name, row.reason] for row in rows]
    return {
        "positions": as_array(view.positions()),
        "digests": {region: view.digest(region) for region in regions},
        "range_digests": range_digests,
        "refused": sorted(refused),
        "tenants": {name: view.tenant_quota(name) for name in record["tenants"]},
        "instances": {
            service: sorted([list(one.entry), list(one.address)] for one in view.endpoints(service))
            for service in record["instances"]
        },
        "services": sorted(view.services()),
        "routes": {authority: methods_of(view, authority) for authority in record["routes"]},
    }


def methods_of(view: View, authority: str) -> list[str | None] | None:
    """The method that each path of an authority goes to; None where the view has no routes for it."""
    table = view.routes(authority)
    if table is None:
        return None
    rules = [table.find(Request(authority, path)) for path in PATHS]
    return [None if rule is None else rule.method for rule in rules]


def carry_out(view: View, row: list) -> None:
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
    """Opens a store of a view; its events go to `events`, and it is closed behind the test."""
    opened = []

    def opens(path: object) -> ViewStore:
        mark = fingerprint(method.name for method in METHODS)
        store = ViewStore(str(path), mark, lambda name, **fields: events.append((name, fields)))
        opened.append(store)
        return store

    yield opens
    for store in opened:
        store.close()


def test_the_methods_of_the_tests_are_those_of_the_record(view_record):
    assert sorted(method.name for method in METHODS) == view_record["methods"]
    assert fingerprint(method.name for method in METHODS) == view_record["fingerprint"]


def test_a_view_store_of_the_base_gives_back_what_was_in_it(view_path, view_record, open_store, events):
    view = restored(open_store(view_path), new_view)
    assert content_of(view, view_record["content"]) == view_record["content"]
    assert events == []


def test_a_view_store_of_the_base_is_written_on_as_the_base_did(view_path, view_record, open_store, events):
    store = open_store(view_path)
    view = restored(store, new_view)
    for row in view_record["goes_on"]:
        carry_out(view, row)
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
        carry_out(view, row)
        assert store.write(view.take_changed_pages())
    store.close()
    assert tables_of(tmp_path / "view.db") == view_record["tables"]
    assert events == []
