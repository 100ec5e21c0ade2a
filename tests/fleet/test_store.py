"""An acceptor's promises on disk: what is kept comes back, what is damaged, full or read-only is said."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import apsw
import pytest

from linenbridge.fleet.leases.acceptor import Acceptor, StoredState
from linenbridge.fleet.leases.errors import StoreTorn, StoreUnusable
from linenbridge.fleet.leases.messages import Acquire, LeaseRequest, SlotRecord
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.timing import LeaseTiming
from linenbridge.fleet.store.acceptor_records import AcceptorRecords, open_records

ROWS = [("sweep", 0, 7, "g1#1", 0), ("sweep", 1, 5, "g2#1", 5)]
FACTS = {"remembers": 1, "settled": 3, "stamp": 12, "longest": 9}


def test_what_is_kept_comes_back_and_a_new_file_remembers_nothing(tmp_path):
    path = str(tmp_path / "acceptor.db")
    store = AcceptorRecords(path, "g1")
    assert store.read() == StoredState()
    store.write(ROWS, FACTS)
    store.write([("sweep", 0, 8, "g2#2", 0)], {**FACTS, "stamp": 13})
    store.close()
    kept = AcceptorRecords(path, "g1").read()
    places = (SlotRecord("sweep", 0, 8, "g2#2", 0, 0), SlotRecord("sweep", 1, 5, "g2#1", 5, 0))
    assert kept == StoredState(True, 3, 13, 9, places)


def test_no_disk_is_no_memory():
    store = open_records("", "g1")
    store.write(ROWS, FACTS)
    assert store.read() == StoredState()


def test_a_promise_survives_a_kill_right_after_it(tmp_path):
    path = str(tmp_path / "acceptor.db")
    text = (
        "import os, sys; from linenbridge.fleet.store.acceptor_records import AcceptorRecords\n"
        f"store = AcceptorRecords(sys.argv[1], 'g1'); store.read()\n"
        f"store.write({ROWS!r}, {FACTS!r}); os.kill(os.getpid(), 9)"
    )
    root = Path(__file__).parents[2]
    assert subprocess.run([sys.executable, "-c", text, path], cwd=root).returncode == -9
    assert AcceptorRecords(path, "g1").read().revision == 12


def test_damage_is_said(tmp_path):
    path = str(tmp_path / "acceptor.db")
    store = AcceptorRecords(path, "g1")
    store.read()
    store.write(ROWS, FACTS)
    store.close()
    changed = apsw.Connection(path)
    changed.execute("update place set term = 3 where place = 0")
    changed.close()
    with pytest.raises(StoreTorn, match="not as it was written"):
        AcceptorRecords(path, "g1").read()
    (tmp_path / "noise.db").write_bytes(os.urandom(8192))
    with pytest.raises(StoreTorn):
        AcceptorRecords(str(tmp_path / "noise.db"), "g1").read()


def test_a_disk_that_takes_nothing_is_said_before_anything_is_promised(tmp_path):
    with pytest.raises(StoreUnusable, match="no folder"):
        open_records(str(tmp_path / "none" / "acceptor.db"), "g1")
    (tmp_path / "folder.db").mkdir()
    with pytest.raises(StoreUnusable):
        open_records(str(tmp_path / "folder.db"), "g1").read()
    first = AcceptorRecords(str(tmp_path / "acceptor.db"), "g1")
    first.read()
    with pytest.raises(StoreUnusable):
        AcceptorRecords(str(tmp_path / "acceptor.db"), "g1").read()


def test_a_full_disk_takes_the_acceptor_out_of_the_quorum(tmp_path):
    store = AcceptorRecords(str(tmp_path / "acceptor.db"), "a")
    store.read()
    (pages,) = store.connection.execute("pragma page_count").fetchone()
    store.connection.execute(f"pragma max_page_count={pages}")
    with pytest.raises(StoreUnusable) as full:
        store.write([(f"task-{n}", 0, 1, "x" * 60, 0) for n in range(500)], FACTS)
    quorum, timing = Quorum(1, ("a", "b", "c"), ("a", "b", "c")), LeaseTiming(100, 100, 10_000, 10)
    acceptor = Acceptor("a", quorum, timing, StoredState(True, 1, 0, 100, ()), 0, trusted=True)
    assert acceptor.grants()
    acceptor.on_store_failed(1, str(full.value))
    acceptor.on_request(2, LeaseRequest(1, "x#1", 1, 0, [Acquire("t", 0, 1, 100)], [], []))
    said = [d for d in iter(lambda: acceptor.next_decision(2), None) if d[0] == "say"]
    assert not acceptor.grants() and [word.code for _, _, word in said] == ["aside"]
