"""Store an acceptor's records in one SQLite file (by `apsw`), written before the acceptor replies.

Owns the file and every transaction on it; each row has a checksum. A file that can't be read is reported and
never repaired: its acceptor grants nothing. After a restart without the file the acceptor recovers as one
without records. The names of tables, columns and facts are those of earlier versions.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol
from zlib import crc32

import apsw

from linenbridge.fleet.leases.errors import StoreTorn, StoreUnusable
from linenbridge.fleet.leases.messages import SlotRecord
from linenbridge.fleet.leases.stored_state import AcceptorFacts, StoredState

SCHEMA_VERSION = 1
TABLES = """
create table if not exists place (
  task text, place integer, term integer, holder text, closed integer, sum integer,
  primary key (task, place));
create table if not exists fact (name text primary key, value integer, sum integer);
"""
WRITE_RECORD = "insert or replace into place values (?, ?, ?, ?, ?, ?)"
WRITE_FACT = "insert or replace into fact values (?, ?, ?)"
FACT_NAMES = ("remembers", "settled", "stamp", "longest")  # stored names of AcceptorFacts' fields, in order
OPENED_FACT = "opened"  # a fact that is written at each start, to detect a disk that can't be written
# Errors caused by the disk, the file system or another process; any other SQLite error means a damaged file.
UNUSABLE_ERRORS = (
    apsw.BusyError,
    apsw.LockedError,
    apsw.FullError,
    apsw.IOError,
    apsw.CantOpenError,
    apsw.ReadOnlyError,
    apsw.PermissionsError,
    apsw.NoMemError,
    OSError,
)


class RecordStore(Protocol):
    """A store of an acceptor's records."""

    def read(self) -> StoredState:
        """Return the stored records and facts."""
        ...

    def write(self, records: Iterable[SlotRecord], facts: AcceptorFacts) -> None:
        """Store records and facts durably."""
        ...

    def close(self) -> None:
        """Release the store."""
        ...


class AcceptorRecords:
    """The SQLite file of one acceptor.

    Every method may raise StoreUnusable; opening and reading may raise StoreTorn too.
    """

    def __init__(self, path: str) -> None:
        """Open the file under an exclusive lock; create it if it does not exist."""
        self.path = path
        with self._errors():
            self.connection = apsw.Connection(path)
            self.connection.set_busy_timeout(0)
            self._execute("pragma locking_mode=exclusive")
            self._execute("pragma journal_mode=wal")
            self._execute("pragma synchronous=full")

    def read(self) -> StoredState:
        """Return the content of the file.

        The file is written to first, so that a disk that can't be written is detected before anything is
        granted.
        """
        with self._errors():
            ((version,),) = self._execute("pragma user_version")
            if version not in (0, SCHEMA_VERSION):
                raise StoreTorn(f"the schema version is {version}, supported is {SCHEMA_VERSION}", self.path)
            if self._execute("pragma integrity_check") != [("ok",)]:
                raise StoreTorn("SQLite's integrity check has failed", self.path)
            with self.connection:
                self._execute(f"pragma user_version={SCHEMA_VERSION}")
                self.connection.execute(TABLES)
                self._write_fact(OPENED_FACT, 1)
            return StoredState(self._read_facts(), tuple(self._read_records()))

    def write(self, records: Iterable[SlotRecord], facts: AcceptorFacts) -> None:
        """Store records and facts durably in one transaction, or raise StoreUnusable: then none is stored."""
        try:
            with self.connection:
                for record in records:
                    row = (record.task, record.slot, record.term, record.holder, record.relinquished_term)
                    self._execute(WRITE_RECORD, (*row, _checksum(*row)))
                for name, value in zip(FACT_NAMES, facts, strict=True):
                    self._write_fact(name, int(value))
        except (*UNUSABLE_ERRORS, apsw.Error) as error:
            raise self._unusable(error) from error

    def close(self) -> None:
        """Close the file."""
        self.connection.close()

    @contextmanager
    def _errors(self) -> Iterator[None]:
        """Convert SQLite's errors to StoreUnusable or StoreTorn."""
        try:
            yield
        except UNUSABLE_ERRORS as error:
            raise self._unusable(error) from error
        except apsw.Error as error:
            raise StoreTorn(f"{type(error).__name__}: {error}", self.path) from error

    def _unusable(self, error: BaseException) -> StoreUnusable:
        return StoreUnusable(f"{type(error).__name__}: {error}", self.path)

    def _execute(self, statement: str, values: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        return list(self.connection.execute(statement, values))

    def _write_fact(self, name: str, value: int) -> None:
        self._execute(WRITE_FACT, (name, value, _checksum(name, value)))

    def _read_facts(self) -> AcceptorFacts:
        found = dict[str, int]()
        for name, value, checksum in self._execute("select name, value, sum from fact order by name"):
            self._verify(checksum, name, value)
            found[name] = value
        has_records, *numbers = (found.get(name, 0) for name in FACT_NAMES)
        return AcceptorFacts(bool(has_records), *numbers)

    def _read_records(self) -> Iterator[SlotRecord]:
        for row in self._execute("select * from place order by task, place"):
            task, slot, term, holder, relinquished_term, checksum = row
            self._verify(checksum, *row[:-1])
            yield SlotRecord(task, slot, term, holder, relinquished_term, remaining=0)

    def _verify(self, checksum: int, *fields: object) -> None:
        if checksum != _checksum(*fields):
            raise StoreTorn(f"the row of {fields[0]} does not match its checksum", self.path)


class NoRecords:
    """The store of an acceptor without a disk, which recovers after each start as one without records."""

    def read(self) -> StoredState:
        """Return no records."""
        return StoredState()

    def write(self, records: Iterable[SlotRecord], facts: AcceptorFacts) -> None:
        """Store nothing."""

    def close(self) -> None:
        """Do nothing: there is no file to close."""


def open_records(path: str) -> RecordStore:
    """Return the acceptor's store; NoRecords if `path` is empty."""
    if not path:
        return NoRecords()
    directory = os.path.dirname(path)
    if directory and not os.path.isdir(directory):
        raise StoreUnusable(f"the directory {directory} does not exist", path)
    return AcceptorRecords(path)


def _checksum(*fields: object) -> int:
    """Return the CRC-32 of a row's values as text, as earlier versions computed it."""
    return crc32("\0".join(str(value) for value in fields).encode())
