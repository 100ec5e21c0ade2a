"""The store of dispatched requests under kills, torn writes, a full disk, damage and concurrent opening."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from linenbridge.processor.store import ReservationStore, request_digest
from tests.peer_script import seeded_random

NOW = 1_000_000.0


class LoggedEvents(list):
    """The names of the logged events, in order."""

    def __call__(self, event: str, **_fields: object) -> None:
        self.append(event)


def opened(path: Path, logged: LoggedEvents | None = None, clock=lambda: NOW) -> ReservationStore:
    store = ReservationStore(str(path), "process", logged if logged is not None else LoggedEvents(), clock)
    store.open()
    return store


def test_a_persisted_id_is_loaded_until_it_expires_or_is_deleted(tmp_path):
    store = opened(tmp_path / "a.db")
    assert store.persist([(request_digest("one"), NOW + 5), (request_digest("two"), NOW + 50)])
    store.delete([request_digest("gone")])
    store.close()
    again = opened(tmp_path / "a.db", clock=lambda: NOW + 10)
    assert [one for one, _ in again.load()] == [request_digest("two")]
    again.delete([request_digest("two")])
    assert not list(again.load())


PERSIST_UNTIL_KILLED = """
import sys
from linenbridge.processor.store import ReservationStore, request_digest
store = ReservationStore(sys.argv[1], "process", lambda *a, **f: None, lambda: 1_000_000.0)
store.open()
n = 0
while True:
    store.persist([(request_digest(str(n)), 2_000_000.0)])
    print(n, flush=True)
    n += 1
"""


def test_no_persisted_id_is_lost_when_the_process_is_killed(tmp_path):
    chance = seeded_random(3)
    for round_ in range(4):
        path = tmp_path / f"{round_}.db"
        process = subprocess.Popen(
            [sys.executable, "-c", PERSIST_UNTIL_KILLED, str(path)], stdout=subprocess.PIPE, text=True
        )
        last = -1
        for _ in range(chance.randint(1, 300)):
            last = int(process.stdout.readline())
        process.kill()
        process.wait()
        process.stdout.close()
        loaded = {one for one, _ in opened(path).load()}
        assert {request_digest(str(n)) for n in range(last + 1)} <= loaded


def test_a_torn_write_leaves_earlier_persisted_ids_intact(tmp_path):
    """A power loss may cut the write-ahead log; cuts at every 97th byte of the second write are tested."""
    complete = tmp_path / "complete.db"
    store = opened(complete)
    store.persist([(request_digest("first"), NOW + 50)])
    before = os.path.getsize(f"{complete}-wal")
    store.persist([(request_digest("second"), NOW + 50)])
    log = Path(f"{complete}-wal").read_bytes()
    assert len(log) > before
    for length in range(before, len(log), 97):
        torn = tmp_path / "torn.db"
        shutil.copy(complete, torn)
        Path(f"{torn}-wal").write_bytes(log[:length])
        logged = LoggedEvents()
        found = opened(torn, logged)
        names = {one for one, _ in found.load()}
        assert request_digest("first") in names
        assert names <= {request_digest("first"), request_digest("second")}
        assert not logged
        found.close()
    store.close()


def test_a_damaged_file_is_set_aside_and_replaced(tmp_path):
    for seed in range(20):
        chance, path = seeded_random(seed), tmp_path / f"{seed}.db"
        store = opened(path)
        store.persist([(request_digest(str(n)), NOW + 50) for n in range(200)])
        store.close()
        data = bytearray(path.read_bytes())
        start = chance.randrange(0, max(1, len(data) - 600))
        data[start : start + 600] = chance.randbytes(600)
        path.write_bytes(data)
        logged = LoggedEvents()
        found = opened(path, logged)
        assert found.is_open
        assert found.persist([(request_digest("new"), NOW + 50)])
        names = {one for one, _ in found.load()}
        assert request_digest("new") in names
        found.close()
    path = tmp_path / "noise.db"
    path.write_bytes(b"no database at all" * 400)
    logged = LoggedEvents()
    assert opened(path, logged).is_open
    assert logged == ["store.set_aside"]
    assert any("damaged" in name for name in os.listdir(tmp_path))


def test_a_full_disk_closes_the_store_with_one_log_line(tmp_path):
    logged = LoggedEvents()
    store = opened(tmp_path / "full.db", logged)
    store.connection.pragma("max_page_count", 8)
    persisted = 0
    while store.persist([(request_digest(f"{persisted}/{n}"), NOW + 50) for n in range(50)]):
        persisted += 1
        assert persisted < 1_000
    assert logged == ["store.lost"]
    assert not store.is_open
    assert not store.persist([(request_digest("after"), NOW + 50)])
    assert len(list(opened(tmp_path / "full.db").load())) == persisted * 50


def test_a_missing_folder_is_logged_as_lost_and_another_version_as_set_aside(tmp_path):
    logged = LoggedEvents()
    assert not opened(tmp_path / "none" / "a.db", logged).is_open
    assert logged == ["store.lost"]
    store = opened(tmp_path / "b.db")
    store.connection.pragma("user_version", 99)
    store.close()
    logged = LoggedEvents()
    assert opened(tmp_path / "b.db", logged).is_open
    assert logged == ["store.set_aside"]


def test_a_store_that_is_open_elsewhere_is_not_opened_again(tmp_path):
    first = opened(tmp_path / "a.db")
    first.persist([(request_digest("one"), NOW + 50)])
    logged = LoggedEvents()
    assert not opened(tmp_path / "a.db", logged).is_open
    assert logged == ["store.lost"]
    assert first.persist([(request_digest("two"), NOW + 50)])


@pytest.mark.parametrize("durability", ["process", "power"])
def test_ids_are_persisted_with_either_durability(tmp_path, durability):
    store = ReservationStore(str(tmp_path / "a.db"), durability, LoggedEvents(), lambda: NOW)
    assert store.open()
    assert store.persist([(request_digest("one"), NOW + 1)])
