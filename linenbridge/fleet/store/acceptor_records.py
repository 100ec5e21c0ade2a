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

from linenbridge.fleet.leases.acceptor import Kept
from linenbridge.fleet.leases.errors import StoreTorn, StoreUnusable
from linenbridge.fleet.leases.messages import PlaceRecord

FORM = 1
LOST = (
    apsw.BusyError, apsw.LockedError, apsw.FullError, apsw.IOError, apsw.CantOpenError, apsw.ReadOnlyError,
    apsw.PermissionsError, apsw.NoMemError, OSError,
)  # fmt: skip
TABLES = """
create table if not exists place (
  task text, place integer, term integer, holder text, closed integer, sum integer,
  primary key (task, place));
create table if not exists fact (name text primary key, value integer, sum integer);
"""


def _sum(*fields: object) -> int:
    return crc32("\0".join(str(field) for field in fields).encode())


class Promises:
    """One acceptor's file. Every call may raise StoreUnusable; `read` may raise StoreTorn too."""

    def __init__(self, path: str, acceptor: str) -> None:
        self.path, self.acceptor = path, acceptor
        try:
            self.connection = apsw.Connection(path)
            self.connection.set_busy_timeout(0)
            self._do("pragma locking_mode=exclusive")
            self._do("pragma journal_mode=wal")
            self._do("pragma synchronous=full")
        except LOST as error:
            raise self._unusable(error) from None
        except apsw.Error as error:
            raise StoreTorn(f"{type(error).__name__}: {error}", path) from None

    def _do(self, words: str, values: Iterable = ()) -> list[tuple]:
        return list(self.connection.execute(words, tuple(values)))

    def _unusable(self, error: BaseException) -> StoreUnusable:
        return StoreUnusable(f"{type(error).__name__}: {error}", self.path)

    def read(self) -> Kept:
        """The content of the file. A new file is written to once, so that a disk that can't be written is
        noticed before anything is granted."""
        try:
            (form,), *_ = self._do("pragma user_version")
            if form not in (0, FORM):
                raise StoreTorn(f"form {form} instead of {FORM}", self.path)
            if self._do("pragma integrity_check") != [("ok",)]:
                raise StoreTorn("its pages don't fit together", self.path)
            with self.connection:
                self._do(f"pragma user_version={FORM}")
                self.connection.execute(TABLES)
                self._do("insert or replace into fact values ('opened', 1, ?)", (_sum("opened", 1),))
            facts, places = dict[str, int](), list[PlaceRecord]()
            for name, value, found in self._do("select name, value, sum from fact order by name"):
                self._whole(found, name, value)
                facts[name] = value
            for *row, found in self._do("select * from place order by task, place"):
                self._whole(found, *row)
                places.append(PlaceRecord(*row, 0))
        except LOST as error:
            raise self._unusable(error) from None
        except apsw.Error as error:
            raise StoreTorn(f"{type(error).__name__}: {error}", self.path) from None
        return Kept(
            bool(facts.get("remembers", 0)), facts.get("settled", 0), facts.get("stamp", 0),
            facts.get("longest", 0), tuple(places),
        )  # fmt: skip

    def _whole(self, found: int, *fields: object) -> None:
        if found != _sum(*fields):
            raise StoreTorn(f"the row of {fields[0]} is not as it was written", self.path)

    def keep(self, rows: list[tuple], facts: dict[str, int]) -> None:
        """Store rows and facts durably in one transaction, or raise StoreUnusable: then none of them is
        stored."""
        try:
            with self.connection:
                for row in rows:
                    self._do("insert or replace into place values (?, ?, ?, ?, ?, ?)", (*row, _sum(*row)))
                for name, value in facts.items():
                    words = "insert or replace into fact values (?, ?, ?)"
                    self._do(words, (name, value, _sum(name, value)))
        except (*LOST, apsw.Error) as error:
            raise self._unusable(error) from None

    def close(self) -> None:
        self.connection.close()


class NoPromises:
    """For an acceptor without a disk: it recovers after each start as one without records."""

    def read(self) -> Kept:
        return Kept()

    def keep(self, rows: list[tuple], facts: dict[str, int]) -> None:
        """Nothing is stored."""

    def close(self) -> None: ...


def promises(path: str, acceptor: str) -> Promises | NoPromises:
    """The acceptor's store; NoPromises if `path` is empty."""
    if not path:
        return NoPromises()
    folder = os.path.dirname(path)
    if folder and not os.path.isdir(folder):
        raise StoreUnusable(f"no folder {folder}", path)
    return Promises(path, acceptor)
