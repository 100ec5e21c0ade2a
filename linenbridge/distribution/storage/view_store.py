"""A view on disk: one file of an embedded store (SQLite by `apsw`), from which a restarted gateway serves its
last good version and asks its relay for what it missed only.

Owns the file and every transaction on it. Pages and the positions that they are at are written together or
not at all. Each row carries a sum over itself, and the state row the number of rows and the sum of their
sums, so that a row that is changed, lost or put back older is seen. What cannot be used is set aside: it
costs the bytes of a whole transfer, never a wrong answer, and never stops the gateway.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from hashlib import blake2b

import apsw
import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import range_of
from linenbridge.distribution.errors import ChangeRejected, ViewStoreError
from linenbridge.distribution.view.results import PageKind, StoredPage
from linenbridge.distribution.view.view import View

FORM = 1  # of the tables and of all pages; a file with another is set aside
CACHE_KB = 1024
SUM_BYTES = 8
MASK = (1 << 64) - 1
ASIDE = ".damaged"
COMPANIONS = ("-wal", "-shm")  # files that SQLite keeps beside its own
TABLES = """
create table if not exists page (
  kind integer, part integer, name text, number integer, body blob, sum blob,
  primary key (kind, part, name, number));
create table if not exists state (one integer primary key, words blob, sum blob);
"""
KEY = "where kind = ? and part = ? and name = ? and number = ?"
SELECT = "select kind, name, number, body, sum from page order by kind, part, name, number"
SELECT_SUM = f"select sum from page {KEY}"
DELETE = f"delete from page {KEY}"
INSERT = "insert or replace into page values (?, ?, ?, ?, ?, ?)"

# What says nothing against the file itself: no place for it, or somebody else has it.
LOST = (
    apsw.BusyError, apsw.LockedError, apsw.FullError, apsw.IOError, apsw.CantOpenError, apsw.ReadOnlyError,
    apsw.PermissionsError, apsw.NoMemError, OSError,
)  # fmt: skip
UNFIT = (apsw.Error, msgspec.MsgspecError, ValueError, TypeError, LookupError, ChangeRejected)

Say = Callable[..., None]
Load = Callable[[Iterator[StoredPage]], None]


def passed_over(pages: Iterator[StoredPage]) -> None:
    """All pages read and checked, none kept."""
    for _ in pages:
        pass


class State(Struct, array_like=True, frozen=True):
    """What the file holds: number of rows, the sum of their sums, and what its pages were checked against."""

    rows: int
    sums: int
    fingerprint: str


class _UnfitError(Exception):
    """The file does not hold what was written, or was written for other settings."""


class ViewStore:
    """One file. `say` writes a line of the log; `error` is why there is no store (any more), None while there
    is. `write` may be called from a thread of its own, one call at a time."""

    def __init__(self, path: str, fingerprint: str, say: Say) -> None:
        self.path, self.fingerprint, self.say = path, fingerprint, say
        self.connection: apsw.Connection | None = None
        self.state = State(0, 0, fingerprint)
        self.error: ViewStoreError | None = None

    def open(self, load: Load = passed_over) -> bool:
        """All pages of the last complete write go to `load`, as they are read: range by range. False where
        the file cannot be used; what has been loaded of it is to be let go then."""
        try:
            self._open(load)
        except LOST as error:
            self._lose(error)
            return False
        except (*UNFIT, _UnfitError) as error:
            self._set_aside(error)
            return False
        return True

    def _open(self, load: Load) -> None:
        connection = self.connection = apsw.Connection(self.path)
        connection.set_busy_timeout(0)
        connection.pragma("locking_mode", "exclusive")
        connection.pragma("cache_size", -CACHE_KB)
        form = connection.pragma("user_version")
        if form not in (0, FORM):
            raise _UnfitError(f"its form is {form}, this is {FORM}")
        load(self._read(connection) if form else iter(()))
        try:
            connection.pragma("journal_mode", "wal")
            connection.pragma("synchronous", "normal")
            with _transaction(connection):
                connection.execute(TABLES)
                connection.pragma("user_version", FORM)
                self._write_state(connection)
        except LOST as error:
            self._lose(error)  # What it holds is good; nothing more can be written.

    def _read(self, connection: apsw.Connection) -> Iterator[StoredPage]:
        """Every page; whether they are all, and of one time, is known in the end."""
        self.state = _read_state(connection)
        if self.state.fingerprint != self.fingerprint:
            raise _UnfitError("its routes were checked against other methods")
        rows = sums = 0
        for *row, found in connection.execute(SELECT):
            page = StoredPage(*row)
            if found != _sum(page):
                raise _UnfitError(f"row {page.kind}/{page.name}/{page.number} is not as it was written")
            rows += 1
            sums += int.from_bytes(found, "big")
            yield page
        if (rows, sums & MASK) != (self.state.rows, self.state.sums):
            raise _UnfitError(f"{rows} rows of {self.state.rows}, or one of them from another time")

    def write(self, pages: Sequence[StoredPage]) -> bool:
        """All of them or none; False where there is no store (any more). What fails once is left for this
        life: the file then still holds an earlier version, whole."""
        connection = self.connection
        if connection is None:
            return False
        try:
            with _transaction(connection):
                self._write(connection, pages)
        except (apsw.Error, OSError) as error:
            self._lose(error)
            return False
        return True

    def _write(self, connection: apsw.Connection, pages: Sequence[StoredPage]) -> None:
        rows, sums = self.state.rows, self.state.sums
        for page in pages:
            key = page.kind, _part(page), page.name, page.number
            before = connection.execute(SELECT_SUM, key).fetchall()
            rows += (page.body is not None) - len(before)
            sums -= sum(int.from_bytes(found, "big") for (found,) in before)
            if page.body is None:
                connection.execute(DELETE, key)
                continue
            own = _sum(page)
            sums += int.from_bytes(own, "big")
            connection.execute(INSERT, (*key, page.body, own))
        self.state = State(rows, sums & MASK, self.fingerprint)
        self._write_state(connection)

    def _write_state(self, connection: apsw.Connection) -> None:
        words = msgspec.msgpack.encode(self.state)
        connection.execute("insert or replace into state values (1, ?, ?)", (words, _sum_of(words)))

    def _set_aside(self, error: Exception) -> None:
        """The file cannot be used: it is kept under another name, in place of an earlier one, and a new one
        is begun."""
        self._close()
        self.state = State(0, 0, self.fingerprint)
        try:
            for ending in ("", *COMPANIONS):
                if os.path.exists(self.path + ending):
                    os.replace(self.path + ending, self.path + ASIDE + ending)
        except OSError as why:
            self._lose(why)
            return
        self.say("distribution.store_set_aside", path=self.path, error=f"{type(error).__name__}: {error}")
        try:
            self._open(passed_over)
        except (apsw.Error, OSError) as why:
            self._lose(why)

    def _lose(self, error: BaseException) -> None:
        self._close()
        self.error = ViewStoreError(f"{type(error).__name__}: {error}", self.path)
        self.say("distribution.store_lost", **self.error.fields())

    def _close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close(True)

    def close(self) -> None:
        """The end of this life."""
        self._close()


@contextmanager
def _transaction(connection: apsw.Connection) -> Iterator[None]:
    """All of it or nothing. A full disk has rolled back by itself."""
    connection.execute("begin immediate")
    try:
        yield
        connection.execute("commit")
    except BaseException:
        if connection.in_transaction:
            connection.execute("rollback")
        raise


def _read_state(connection: apsw.Connection) -> State:
    rows = connection.execute("select words, sum from state where one = 1").fetchall()
    if not rows or rows[0][1] != _sum_of(rows[0][0]):
        raise _UnfitError("the state is not as it was written")
    return msgspec.msgpack.decode(rows[0][0], type=State)


def _sum_of(words: bytes) -> bytes:
    return blake2b(words, digest_size=SUM_BYTES).digest()


def _part(page: StoredPage) -> int:
    """Pages that are kept together in memory are read together: those of one range."""
    return range_of(page.kind, page.name) if page.kind in (PageKind.ROUTES, PageKind.INSTANCE) else 0


def _sum(page: StoredPage) -> bytes:
    key = msgspec.msgpack.encode((page.kind, page.name, page.number))
    return _sum_of(key + (page.body or b""))


def fingerprint(methods: Iterable[str]) -> str:
    """What a view's packed routes depend on beside their text: the methods that they may name."""
    return blake2b("\n".join(sorted(methods)).encode(), digest_size=SUM_BYTES).hexdigest()


def restored(store: ViewStore, new_view: Callable[[], View]) -> View:
    """The view of the last life, or a new one where the store holds none that can be used."""
    view = new_view()
    return view if store.open(view.load) else new_view()
