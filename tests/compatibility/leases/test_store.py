"""Acceptor stores of the base are opened, return their content and accept further writes."""

from __future__ import annotations

import shutil
from contextlib import closing
from pathlib import Path

import apsw
import pytest

from linenbridge.fleet.leases.messages import SlotRecord
from linenbridge.fleet.leases.stored_state import AcceptorFacts, StoredState
from linenbridge.fleet.store.acceptor_records import AcceptorRecords

FOLDER = Path(__file__).parent
SWEEP_0 = SlotRecord("sweep", 0, 7, "g1#1", 0, 0)
SWEEP_0_LATER = SlotRecord("sweep", 0, 8, "g2#2", 7, 0)
SWEEP_1 = SlotRecord("sweep", 1, 5, "g2#1", 5, 0)
SWEEP_1_LATER = SlotRecord("sweep", 1, 6, "g4#1", 5, 0)
OTHER = SlotRecord("räume", 63, 2**40, "g3#5f3a", 0, 0)
FACTS = AcceptorFacts(has_records=True, confirmed_generation=3, revision=13, max_lease=10_000_000)
CONTENT = {
    "closed.db": StoredState(FACTS, (OTHER, SWEEP_0_LATER, SWEEP_1)),
    "killed.db": StoredState(FACTS._replace(revision=12), (OTHER, SWEEP_0, SWEEP_1)),
}


@pytest.fixture
def base_store(tmp_path):
    """Return a function that copies a store of the base with its write-ahead log and returns the new path."""

    def copy(name: str) -> str:
        for path in FOLDER.glob(f"{name}*"):
            shutil.copy(path, tmp_path / path.name)
        return str(tmp_path / name)

    return copy


def tables(path: str) -> dict[str, list[tuple]]:
    """Return the schema version, the table definitions and all rows of a store, read directly with SQLite."""
    with closing(apsw.Connection(path)) as connection:
        return {
            "form": connection.execute("pragma user_version").fetchall(),
            "tables": connection.execute("select name, sql from sqlite_master order by name").fetchall(),
            "place": connection.execute("select * from place order by task, place").fetchall(),
            "fact": connection.execute("select * from fact order by name").fetchall(),
        }


@pytest.mark.parametrize("name", CONTENT)
def test_reading_a_store_of_the_base_returns_its_content(base_store, name):
    with closing(AcceptorRecords(base_store(name))) as store:
        assert store.read() == CONTENT[name]


@pytest.mark.parametrize("name", CONTENT)
def test_a_store_of_the_base_accepts_further_writes(base_store, name):
    path = base_store(name)
    facts = FACTS._replace(revision=14, confirmed_generation=4)
    with closing(AcceptorRecords(path)) as store:
        store.read()
        store.write([SWEEP_1_LATER], facts)

    with closing(AcceptorRecords(path)) as store:
        found = store.read()

    *before, _ = CONTENT[name].records
    assert found == StoredState(facts, (*before, SWEEP_1_LATER))


def test_a_new_store_with_the_same_records_has_the_same_tables_and_rows_as_that_of_the_base(
    base_store, tmp_path
):
    path = str(tmp_path / "new.db")
    with closing(AcceptorRecords(path)) as store:
        store.read()
        store.write([SWEEP_0_LATER, SWEEP_1, OTHER], FACTS)

    assert tables(path) == tables(base_store("closed.db"))
