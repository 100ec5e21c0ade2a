"""An acceptor's records on disk, in one file of an embedded store (SQLite by `apsw`), written before it
answers.

Owns the file and every transaction on it; each row carries a checksum. It must never repair or guess:
what can't be read is reported, and the acceptor recovers as one without records, or does not start
granting.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from zlib import crc32

import apsw

from linenbridge.fleet.leases.acceptor import StoredState
from linenbridge.fleet.leases.errors import StoreTorn, StoreUnusable
from linenbridge.fleet.leases.messages import SlotRecord

SCHEMA_VERSION = 1
UNUSABLE = (
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
TABLES = """
create table if not exists place (
  task text, place integer, term integer, holder text, closed integer, sum integer,
  primary key (task, place));
create table if not exists fact (name text primary key, value integer, sum integer);
"""


def _checksum(*fields: object) -> int:
    return crc32("\0".join(str(field) for field in fields).encode())


class AcceptorRecords:
    """One acceptor's file. Every call may raise StoreUnusable; `read` may raise StoreTorn too."""

    def __init__(self, path: str, acceptor: str) -> None:
        self.path, self.acceptor = path, acceptor
        try:
            self.connection = apsw.Connection(path)
            self.connection.set_busy_timeout(0)
            self._execute("pragma locking_mode=exclusive")
            self._execute("pragma journal_mode=wal")
            self._execute("pragma synchronous=full")
        except UNUSABLE as error:
            raise self._unusable(error) from None
        except apsw.Error as error:
            raise StoreTorn(f"{type(error).__name__}: {error}", path) from None

    def _execute(self, statement: str, values: Iterable = ()) -> list[tuple]:
        return list(self.connection.execute(statement, tuple(values)))

    def _unusable(self, error: BaseException) -> StoreUnusable:
        return StoreUnusable(f"{type(error).__name__}: {error}", self.path)

    def read(self) -> StoredState:
        """The content of the file. A new file is written to once, so that a disk that can't be written is
        noticed before anything is granted."""
        try:
            (version,), *_ = self._execute("pragma user_version")
            if version not in (0, SCHEMA_VERSION):
                raise StoreTorn(f"form {version} instead of {SCHEMA_VERSION}", self.path)
            if self._execute("pragma integrity_check") != [("ok",)]:
                raise StoreTorn("its pages don't fit together", self.path)
            with self.connection:
                self._execute(f"pragma user_version={SCHEMA_VERSION}")
                self.connection.execute(TABLES)
                self._execute(
                    "insert or replace into fact values ('opened', 1, ?)", (_checksum("opened", 1),)
                )
            facts, records = dict[str, int](), list[SlotRecord]()
            for name, value, found in self._execute("select name, value, sum from fact order by name"):
                self._check(found, name, value)
                facts[name] = value
            for *row, found in self._execute("select * from place order by task, place"):
                self._check(found, *row)
                records.append(SlotRecord(*row, 0))
        except UNUSABLE as error:
            raise self._unusable(error) from None
        except apsw.Error as error:
            raise StoreTorn(f"{type(error).__name__}: {error}", self.path) from None
        return StoredState(
            bool(facts.get("remembers", 0)),
            facts.get("settled", 0),
            facts.get("stamp", 0),
            facts.get("longest", 0),
            tuple(records),
        )

    def _check(self, found: int, *fields: object) -> None:
        if found != _checksum(*fields):
            raise StoreTorn(f"the row of {fields[0]} is not as it was written", self.path)

    def write(self, rows: list[tuple], facts: dict[str, int]) -> None:
        """Store rows and facts durably in one transaction, or raise StoreUnusable: then none of them is
        stored."""
        try:
            with self.connection:
                for row in rows:
                    self._execute(
                        "insert or replace into place values (?, ?, ?, ?, ?, ?)", (*row, _checksum(*row))
                    )
                for name, value in facts.items():
                    statement = "insert or replace into fact values (?, ?, ?)"
                    self._execute(statement, (name, value, _checksum(name, value)))
        except (*UNUSABLE, apsw.Error) as error:
            raise self._unusable(error) from None

    def close(self) -> None:
        self.connection.close()


class NoRecords:
    """For an acceptor without a disk: it recovers after each start as one without records."""

    def read(self) -> StoredState:
        return StoredState()

    def write(self, rows: list[tuple], facts: dict[str, int]) -> None:
        """Nothing is stored."""

    def close(self) -> None: ...


def open_records(path: str, acceptor: str) -> AcceptorRecords | NoRecords:
    """The acceptor's store; NoRecords if `path` is empty."""
    if not path:
        return NoRecords()
    folder = os.path.dirname(path)
    if folder and not os.path.isdir(folder):
        raise StoreUnusable(f"no folder {folder}", path)
    return AcceptorRecords(path, acceptor)
