"""An acceptor's records on disk: writes are read back; a damaged, full or unusable store is reported."""

from __future__ import annotations

import os
import subprocess
import sys
from contextlib import closing
from pathlib import Path

import apsw
import pytest

from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.decisions import Send
from linenbridge.fleet.leases.errors import StoreTorn, StoreUnusable
from linenbridge.fleet.leases.messages import Acquire, LeaseRequest, SlotRecord
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.stored_state import AcceptorFacts, StoredState
from linenbridge.fleet.leases.timing import LeaseTiming
from linenbridge.fleet.store.acceptor_records import AcceptorRecords, open_records

SWEEP_0 = SlotRecord("sweep", 0, 7, "g1#1", 0, 0)
SWEEP_1 = SlotRecord("sweep", 1, 5, "g2#1", 5, 0)
FACTS = AcceptorFacts(has_records=True, confirmed_generation=3, revision=12, max_lease=9)
KILLED_AFTER_WRITE_SCRIPT = f"""
import os, signal, sys
from linenbridge.fleet.leases.messages import SlotRecord
from linenbridge.fleet.leases.stored_state import AcceptorFacts
from linenbridge.fleet.store.acceptor_records import AcceptorRecords

store = AcceptorRecords(sys.argv[1])
store.read()
store.write({[SWEEP_0, SWEEP_1]!r}, {FACTS!r})
os.kill(os.getpid(), signal.SIGKILL)
"""


@pytest.fixture
def path(tmp_path):
    """Return the path of a store that does not exist yet."""
    return str(tmp_path / "acceptor.db")


def read(path: str) -> StoredState:
    """Open a store, read it and close it."""
    with closing(AcceptorRecords(path)) as store:
        return store.read()


def test_a_new_store_has_no_records(path):
    assert read(path) == StoredState()


def test_the_last_write_of_each_record_and_fact_is_read_back(path):
    later = SlotRecord("sweep", 0, 8, "g2#2", 0, 0)
    with closing(AcceptorRecords(path)) as store:
        store.read()
        store.write([SWEEP_0, SWEEP_1], FACTS)
        store.write([later], FACTS._replace(revision=13))

    assert read(path) == StoredState(FACTS._replace(revision=13), (later, SWEEP_1))


def test_without_a_path_nothing_is_stored():
    store = open_records("")
    store.write([SWEEP_0, SWEEP_1], FACTS)
    assert store.read() == StoredState()


def test_a_record_survives_a_kill_right_after_the_write(path):
    root = Path(__file__).parents[2]
    process = subprocess.run([sys.executable, "-c", KILLED_AFTER_WRITE_SCRIPT, path], cwd=root, check=False)
    assert process.returncode == -9
    assert read(path).facts.revision == 12


def test_a_changed_row_is_reported_as_damage(path):
    with closing(AcceptorRecords(path)) as store:
        store.read()
        store.write([SWEEP_0, SWEEP_1], FACTS)
    with closing(apsw.Connection(path)) as changed:
        changed.execute("update place set term = 3 where place = 0")

    with pytest.raises(StoreTorn, match="does not match its checksum"):
        read(path)


def test_a_file_of_random_bytes_is_reported_as_damage(tmp_path):
    (tmp_path / "noise.db").write_bytes(os.urandom(8192))
    with pytest.raises(StoreTorn):
        read(str(tmp_path / "noise.db"))


def test_a_store_in_a_missing_folder_is_unusable(tmp_path):
    with pytest.raises(StoreUnusable, match=r"the directory .*none does not exist"):
        open_records(str(tmp_path / "none" / "acceptor.db"))


def test_a_store_whose_path_is_a_folder_is_unusable(tmp_path):
    (tmp_path / "folder.db").mkdir()
    with pytest.raises(StoreUnusable):
        open_records(str(tmp_path / "folder.db")).read()


def test_a_store_that_another_acceptor_has_open_is_unusable(path):
    with closing(AcceptorRecords(path)) as first:
        first.read()
        with pytest.raises(StoreUnusable):
            AcceptorRecords(path).read()


def test_a_full_disk_is_reported_and_no_part_of_the_write_is_stored(path):
    with closing(AcceptorRecords(path)) as store:
        store.read()
        (pages,) = store.connection.execute("pragma page_count").fetchone()
        store.connection.execute(f"pragma max_page_count={pages}")
        records = [SlotRecord(f"task-{number}", 0, 1, "x" * 60, 0, 0) for number in range(500)]
        with pytest.raises(StoreUnusable):
            store.write(records, FACTS)

    assert read(path) == StoredState()


def test_an_acceptor_whose_store_failed_grants_nothing():
    quorum = Quorum(1, ("a", "b", "c"), ("a", "b", "c"))
    timing = LeaseTiming(100, 100, 10_000, 10)
    stored = StoredState(AcceptorFacts(True, 1, 0, 100))
    acceptor = Acceptor("a", quorum, timing, stored, 0, trusted=True)
    assert acceptor.grants()

    acceptor.on_store_failed("FullError: database or disk is full")
    acceptor.on_request(2, LeaseRequest(1, "x#1", 1, 0, [Acquire("t", 0, 1, 100)], [], []))

    decisions = list(iter(lambda: acceptor.next_decision(2), None))
    replies = [decision.message for decision in decisions if isinstance(decision, Send)]
    assert not acceptor.grants()
    assert [reply.code for reply in replies] == ["aside"]
