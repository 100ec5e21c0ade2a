"""A relay's log on disk: one file of an embedded store, written before the relay answers.

Owns the file and every transaction on it. Each entry carries its publisher's checksum, the state one over
itself, and the state says how many entries there are and what their checksums add up to. It must never repair
or guess: what cannot be read whole is said, and the relay starts with an emptied folder or not at all.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from zlib import crc32

import apsw
import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import Change, intact
from linenbridge.distribution.decisions import Persist
from linenbridge.distribution.errors import RelayStoreError
from linenbridge.distribution.log.replica import StoredLog

FORM = 1
FILE_NAME = "log.db"
TABLES = """
create table if not exists entry (
  sequence integer primary key, epoch integer, kind integer, name text, value blob, checksum integer);
create table if not exists state (one integer primary key, words blob, sum integer);
"""
_INSERT = "insert into entry values (?, ?, ?, ?, ?, ?)"


class State(Struct, array_like=True, frozen=True):
    """What is kept beside the entries: `entries` is their number, `checksums` the sum of theirs."""

    region: str = ""
    incarnation: int = 0
    epoch: int = 0
    publisher: str = ""
    committed: int = 0
    entries: int = 0
    checksums: int = 0
    purged_up_to: int = 0


class RelayLog:
    """The file of one relay of a region, in a folder that is there. Every call may raise RelayStoreError."""

    def __init__(self, folder: str, region: str) -> None:
        self.region, self.path = region, os.path.join(folder, FILE_NAME)
        if not os.path.isdir(folder):
            raise RelayStoreError(f"no folder {folder}", self.path)
        self._state = State(region)
        try:
            self._connection = apsw.Connection(self.path)
            self._connection.set_busy_timeout(0)
            self._do("pragma locking_mode=exclusive")
            self._do("pragma journal_mode=wal")
            self._do("pragma synchronous=full")
        except (apsw.Error, OSError) as error:
            raise self._failed(error) from None

    def read(self) -> StoredLog:
        """What the file holds. A new one holds nothing; it is written to once, so that a disk that takes
        nothing is seen before anything is promised."""
        try:
            self._check_form()
            with self._transaction():
                self._do(f"pragma user_version={FORM}")
                self._connection.execute(TABLES)
                self._read_state()
                self._write_state()
            changes = self._read_entries()
        except (apsw.Error, OSError) as error:
            raise self._failed(error) from None
        state = self._state
        return StoredLog(
            state.incarnation, state.epoch, state.publisher, state.committed, changes, state.purged_up_to
        )

    def persist(self, writes: Sequence[Persist]) -> None:
        """All of them on disk in one transaction, in order, or nothing of them."""
        before = self._state
        try:
            with self._transaction():
                for write in writes:
                    self._write(write)
                self._write_state()
        except (apsw.Error, OSError) as error:
            self._state = before
            raise self._failed(error) from None

    def close(self) -> None:
        self._connection.close()

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """All of it or nothing. A full disk has rolled back by itself."""
        self._do("begin immediate")
        try:
            yield
            self._do("commit")
        except BaseException:
            if self._connection.in_transaction:
                self._do("rollback")
            raise

    def _do(self, words: str, values: Iterable = ()) -> list[tuple]:
        return list(self._connection.execute(words, tuple(values)))

    def _failed(self, error: BaseException) -> RelayStoreError:
        return RelayStoreError(f"{type(error).__name__}: {error}", self.path)

    def _check_form(self) -> None:
        (form,), *_ = self._do("pragma user_version")
        if form not in (0, FORM):
            raise RelayStoreError(f"form {form} instead of {FORM}", self.path)
        if self._do("pragma integrity_check") != [("ok",)]:
            raise RelayStoreError("its pages do not fit together", self.path)

    # ---- reading -----------------------------------------------------------------------------------------

    def _read_state(self) -> None:
        rows = self._do("select words, sum from state where one = 1")
        if not rows:
            return
        words, found = rows[0]
        if crc32(words) != found:
            raise RelayStoreError("the state is not as it was written", self.path)
        self._state = msgspec.msgpack.decode(words, type=State)
        if self._state.region != self.region:
            raise RelayStoreError(f"it is the log of {self._state.region}, not of {self.region}", self.path)

    def _read_entries(self) -> list[Change]:
        changes, checksums = list[Change](), 0
        rows = self._connection.execute("select * from entry order by sequence")
        for sequence, epoch, kind, name, value, checksum in rows:
            change = Change(self.region, epoch, sequence, kind, name, value, checksum)
            if not intact(change):
                raise RelayStoreError(f"entry {sequence} is not as it was written", self.path)
            changes.append(change)
            checksums += checksum
        if (len(changes), checksums) != (self._state.entries, self._state.checksums):
            raise RelayStoreError(f"it has {len(changes)} entries of {self._state.entries}", self.path)
        return changes

    # ---- writing -----------------------------------------------------------------------------------------

    def _write(self, write: Persist) -> None:
        count, checksums = 0, 0
        if write.truncate_after is not None:
            gone = self._do("delete from entry where sequence > ? returning checksum", [write.truncate_after])
            count, checksums = count - len(gone), checksums - sum(row[0] for row in gone)
        for change in write.changes:
            row = (change.sequence, change.epoch, change.kind, change.name, change.value, change.checksum)
            self._do(_INSERT, row)
            count, checksums = count + 1, checksums + change.checksum
        for sequence in write.superseded:
            gone = self._do("delete from entry where sequence = ? returning checksum", [sequence])
            count, checksums = count - len(gone), checksums - sum(row[0] for row in gone)
        state = self._state
        self._state = State(
            self.region, write.incarnation, write.epoch, write.publisher, write.committed,
            state.entries + count, state.checksums + checksums, write.purged_up_to,
        )  # fmt: skip

    def _write_state(self) -> None:
        words = msgspec.msgpack.encode(self._state)
        self._do("insert or replace into state values (1, ?, ?)", [words, crc32(words)])
