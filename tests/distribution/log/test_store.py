"""A relay's log on disk: written entries are read back; a damaged, full or read-only file is an error."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from random import Random

import apsw
import pytest

from linenbridge.distribution.changes import Kind, Version, sealed
from linenbridge.distribution.decisions import Persist, Send
from linenbridge.distribution.errors import RelayStoreError
from linenbridge.distribution.messages import Append, Prepare
from linenbridge.distribution.log.replica import StoredLog, Replica
from linenbridge.distribution.storage.log_store import FILE_NAME, RelayLog
from tests.distribution.log.explored import LogScenario, LogWorld
from tests.distribution.log.schedules import DELETIONS

SEED = 3  # of a walk in which entries are replaced and tombstones purged
ENTRIES = [sealed("north", Version(1, n), Kind.TENANT, f"t{n}", b"%d" % n) for n in range(1, 6)]


def persist(number: int, **fields: object) -> Persist:
    defaults = {
        "truncate_after": None,
        "changes": [],
        "epoch": 1,
        "committed": 0,
        "publisher": "p",
        "incarnation": 7,
    }
    return Persist(number, **{**defaults, **fields})


def opened(folder: Path) -> RelayLog:
    store = RelayLog(str(folder), "north")
    store.read()
    return store


def test_written_entries_are_read_back_and_a_new_file_is_empty(tmp_path):
    store = RelayLog(str(tmp_path), "north")
    assert store.read() == StoredLog()
    store.persist(
        [persist(1, changes=ENTRIES[:3]), persist(2, truncate_after=2, changes=ENTRIES[3:], epoch=2)]
    )
    store.persist([persist(3, committed=4, superseded=[1], epoch=2)])
    store.close()
    stored = RelayLog(str(tmp_path), "north").read()
    assert stored == StoredLog(7, 2, "p", 4, [ENTRIES[1], *ENTRIES[3:]])


def test_entries_survive_a_kill_right_after_the_write(tmp_path):
    text = (
        "import os, sys; from tests.distribution.log.test_store import *\n"
        "store = opened(sys.argv[1])\n"
        "store.persist([persist(1, changes=ENTRIES)]); os.kill(os.getpid(), 9)"
    )
    root = Path(__file__).parents[3]
    assert subprocess.run([sys.executable, "-c", text, str(tmp_path)], cwd=root).returncode == -9
    assert RelayLog(str(tmp_path), "north").read().changes == ENTRIES


DAMAGES = {
    "a value": ("update entry set value = x'00' where sequence = 2", "entry 2 does not match its checksum"),
    "a lost entry": ("delete from entry where sequence = 5", "4 of 5 entries"),
    "the epoch": ("update state set words = x'9600'", "the state does not match its checksum"),
    "the format version": ("pragma user_version=9", "format version 9; this release reads 1"),
}


@pytest.mark.parametrize("damage", DAMAGES)
def test_damage_is_an_error_that_names_the_damage(tmp_path, damage):
    store = opened(tmp_path)
    store.persist([persist(1, changes=ENTRIES)])
    store.close()
    statement, message = DAMAGES[damage]
    changed = apsw.Connection(str(tmp_path / FILE_NAME))
    changed.execute(statement)
    changed.close()
    with pytest.raises(RelayStoreError, match=message):
        RelayLog(str(tmp_path), "north").read()


def test_a_corrupt_file_a_file_of_another_region_and_a_file_in_use_are_errors(tmp_path):
    (tmp_path / FILE_NAME).write_bytes(os.urandom(8192))
    with pytest.raises(RelayStoreError):
        RelayLog(str(tmp_path), "north").read()
    (tmp_path / FILE_NAME).unlink()
    store = opened(tmp_path)
    with pytest.raises(RelayStoreError):
        RelayLog(str(tmp_path), "north").read()
    store.close()
    with pytest.raises(RelayStoreError, match="the log of region north, not of south"):
        RelayLog(str(tmp_path), "south").read()


def test_a_disk_that_cannot_be_written_is_an_error_before_anything_is_promised(tmp_path):
    with pytest.raises(RelayStoreError, match=r"folder .*/none does not exist"):
        RelayLog(str(tmp_path / "none"), "north")
    (tmp_path / "taken" / FILE_NAME).mkdir(parents=True)
    with pytest.raises(RelayStoreError):
        RelayLog(str(tmp_path / "taken"), "north").read()


def test_a_full_disk_stores_nothing_of_a_failed_write_and_silences_the_relay(tmp_path):
    store = opened(tmp_path)
    store.persist([persist(1, changes=ENTRIES[:2])])
    (pages,) = store._connection.execute("pragma page_count").fetchone()
    store._connection.execute(f"pragma max_page_count={pages}")
    large = [sealed("north", Version(1, n), Kind.TENANT, f"t{n}", b"x" * 4_000) for n in range(3, 60)]
    with pytest.raises(RelayStoreError, match="FullError") as full:
        store.persist([persist(2, changes=large)])
    store._connection.execute("pragma max_page_count=1000000")
    store.persist([persist(2, changes=ENTRIES[2:3])])
    store.close()
    assert RelayLog(str(tmp_path), "north").read().changes == ENTRIES[:3]
    replica = Replica("north", "a", StoredLog(7, 1, "p", 0, ENTRIES), Random(1), trusted=True)
    replica.on_prepare(1, "q", Prepare("north", 2))
    replica.on_store_failed(1, full.value)
    replica.on_prepare(1, "q", Prepare("north", 3))
    replica.on_append(1, "q", Append("north", 3, ENTRIES[-1].version, 5, []))
    left = list(iter(lambda: replica.next_decision(1), None))
    assert not any(isinstance(decision, Send | Persist) for decision in left)
    assert left[-1].name == "distribution.store_failed"
    assert "empty the store" in left[-1].fields["do"]


def test_a_disk_restored_to_an_earlier_state_starts_a_new_incarnation(tmp_path):
    """Unless the settings assure that the disk never goes back, no start trusts the disk's content."""
    folder, copy = tmp_path / "now", tmp_path / "copy"
    folder.mkdir()
    store = opened(folder)
    store.persist([persist(1, changes=ENTRIES[:2], committed=2)])
    store.close()
    shutil.copytree(folder, copy)
    store = opened(folder)
    store.persist([persist(2, changes=ENTRIES[2:], committed=5, epoch=3)])
    store.close()
    stored = opened(copy).read()
    assert stored.epoch == 1
    assert len(stored.changes) == 2
    replica = Replica("north", "a", stored, trusted=False, random=Random(2))
    assert replica.incarnation != stored.incarnation
    assert not replica.member
    assert Replica("north", "a", stored, trusted=True, random=Random(2)).incarnation == stored.incarnation


def test_a_disk_that_became_read_only_is_an_error(tmp_path):
    store = opened(tmp_path)
    store._connection.execute("pragma query_only=1")
    with pytest.raises(RelayStoreError, match="ReadOnlyError"):
        store.persist([persist(1, changes=ENTRIES)])


class RecordedWorld(LogWorld):
    """A world that records the writes of relay b."""

    def __init__(self, scenario: LogScenario) -> None:
        self.written: list[Persist] = []
        super().__init__(scenario)

    def _write(self, name: str, machine: Replica, write: Persist) -> None:
        if name == "b":
            self.written.append(write)
        super()._write(name, machine, write)


def test_the_file_equals_the_disk_of_an_explored_world(tmp_path):
    """The walk has faults; its Persist decisions include truncations and purged tombstones."""
    faults = ("partition_pair", "partition_pair", "partition_pair", "next_term", "restart")
    scenario = replace(DELETIONS, ticks=120, publish_at=tuple(range(1, 120)), faults=faults, slow_disks=True)
    world, random = RecordedWorld(scenario), Random(SEED)
    while not world.over():
        options = world.choices()
        world.take(random.choice(options) if random.random() < 0.3 else options[0])
    store = opened(tmp_path)
    for first in range(0, len(world.written), 3):
        store.persist(world.written[first : first + 3])
    store.close()
    stored = RelayLog(str(tmp_path), "north").read()
    assert stored == world.disks["b"][-1]
    assert stored.purged_up_to > 0
    assert any(write.truncate_after is not None for write in world.written)
