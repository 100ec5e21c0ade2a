"""A relay's log on disk: one SQLite file, written before the relay responds.

This module owns the file and every transaction on it. Each entry has its publisher's checksum. The state has
a checksum of its own, and contains the number of entries and the sum of their checksums. Nothing is repaired:
a file that cannot be read completely is an error, and the relay starts only once the operator has emptied the
folder.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any
from zlib import crc32

import apsw
import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import Change, intact
from linenbridge.distribution.decisions import Persist
from linenbridge.distribution.errors import RelayStoreError
from linenbridge.distribution.log.replica import StoredLog

FORMAT_VERSION = 1  # of the tables and of the state
FILE_NAME = "log.db"
TABLES = """
create table if not exists entry (
  sequence integer primary key, epoch integer, kind integer, name text, value blob, checksum integer);
create table if not exists state (one integer primary key, words blob, sum integer);
"""
INSERT_ENTRY = "insert into entry values (?, ?, ?, ?, ?, ?)"
DELETE_BEHIND = "delete from entry where sequence > ? returning checksum"
DELETE_ENTRY = "delete from entry where sequence = ? returning checksum"

Row = tuple[Any, ...]  # of a table; the types vary by column


class State(Struct, array_like=True, frozen=True):
    """The state row: `entries` is the number of entries, and `checksums` the sum of their checksums."""

    region: str = ""
    incarnation: int = 0
    epoch: int = 0
    publisher: str = ""
    committed: int = 0
    entries: int = 0
    checksums: int = 0
    purged_up_to: int = 0


class RelayLog:
    """The file of one relay of a region, in a folder that exists.

    Every method raises RelayStoreError if the file cannot be read or written.
    """

    def __init__(self, folder: str, region: str) -> None:
        self.region = region
        self.path = os.path.join(folder, FILE_NAME)
        if not os.path.isdir(folder):
            raise RelayStoreError(f"folder {folder} does not exist", self.path)
        self._state = State(region)
        try:
            self._connection = apsw.Connection(self.path)
            self._connection.set_busy_timeout(0)
            self._execute("pragma locking_mode=exclusive")
            self._execute("pragma journal_mode=wal")
            self._execute("pragma synchronous=full")
        except (apsw.Error, OSError) as error:
            raise self._failed(error) from error

    def read(self) -> StoredLog:
        """Return the content of the file; that of a new file is empty.

        The file is also written to once, so that a disk that cannot be written is an error before the relay
        promises anything.
        """
        try:
            self._check_format()
            with self._transaction():
                self._execute(f"pragma user_version={FORMAT_VERSION}")
                self._connection.execute(TABLES)
                self._read_state()
                self._write_state()
            changes = self._read_entries()
        except (apsw.Error, OSError) as error:
            raise self._failed(error) from error
        state = self._state
        return StoredLog(
            state.incarnation, state.epoch, state.publisher, state.committed, changes, state.purged_up_to
        )

    def persist(self, writes: Sequence[Persist]) -> None:
        """Write all of the given decisions, in order, in one transaction."""
        before = self._state
        try:
            with self._transaction():
                for write in writes:
                    self._write(write)
                self._write_state()
        except (apsw.Error, OSError) as error:
            self._state = before
            raise self._failed(error) from error

    def close(self) -> None:
        """Close the file."""
        self._connection.close()

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """Commit all statements of the block, or roll all of them back. SQLite itself has rolled back if the
        disk is full."""
        self._execute("begin immediate")
        try:
            yield
            self._execute("commit")
        except BaseException:
            if self._connection.in_transaction:
                self._execute("rollback")
            raise

    def _execute(self, statement: str, values: Iterable[object] = ()) -> list[Row]:
        return list(self._connection.execute(statement, tuple(values)))

    def _failed(self, error: BaseException) -> RelayStoreError:
        return RelayStoreError(f"{type(error).__name__}: {error}", self.path)

    def _check_format(self) -> None:
        (version,), *_ = self._execute("pragma user_version")
        if version not in (0, FORMAT_VERSION):
            raise RelayStoreError(
                f"the file has format version {version}; this release reads {FORMAT_VERSION}", self.path
            )
        if self._execute("pragma integrity_check") != [("ok",)]:
            raise RelayStoreError("the integrity check of SQLite failed", self.path)

    # ---- reading -----------------------------------------------------------------------------------------

    def _read_state(self) -> None:
        rows = self._execute("select words, sum from state where one = 1")
        if not rows:
            return
        encoded, checksum = rows[0]
        if crc32(encoded) != checksum:
            raise RelayStoreError("the state does not match its checksum", self.path)
        self._state = msgspec.msgpack.decode(encoded, type=State)
        if self._state.region != self.region:
            raise RelayStoreError(
                f"the file is the log of region {self._state.region}, not of {self.region}", self.path
            )

    def _read_entries(self) -> list[Change]:
        changes = list[Change]()
        checksums = 0
        rows = self._connection.execute("select * from entry order by sequence")
        for sequence, epoch, kind, name, value, checksum in rows:
            change = Change(self.region, epoch, sequence, kind, name, value, checksum)
            if not intact(change):
                raise RelayStoreError(f"entry {sequence} does not match its checksum", self.path)
            changes.append(change)
            checksums += checksum
        if (len(changes), checksums) != (self._state.entries, self._state.checksums):
            raise RelayStoreError(
                f"{len(changes)} of {self._state.entries} entries were read, or an entry was replaced",
                self.path,
            )
        return changes

    # ---- writing -----------------------------------------------------------------------------------------

    def _write(self, write: Persist) -> None:
        removed = list[Row]()
        if write.truncate_after is not None:
            removed += self._execute(DELETE_BEHIND, [write.truncate_after])
        for change in write.changes:
            row = (change.sequence, change.epoch, change.kind, change.name, change.value, change.checksum)
            self._execute(INSERT_ENTRY, row)
        for sequence in write.superseded:
            removed += self._execute(DELETE_ENTRY, [sequence])
        checksums_added = sum(change.checksum for change in write.changes)
        checksums_removed = sum(row[0] for row in removed)
        self._state = State(
            region=self.region,
            incarnation=write.incarnation,
            epoch=write.epoch,
            publisher=write.publisher,
            committed=write.committed,
            entries=self._state.entries + len(write.changes) - len(removed),
            checksums=self._state.checksums + checksums_added - checksums_removed,
            purged_up_to=write.purged_up_to,
        )

    def _write_state(self) -> None:
        encoded = msgspec.msgpack.encode(self._state)
        self._execute("insert or replace into state values (1, ?, ?)", [encoded, crc32(encoded)])
