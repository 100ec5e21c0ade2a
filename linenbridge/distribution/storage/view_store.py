"""A view on disk: one SQLite file, from which a restarted gateway serves its last good version and requests
from its relay only what it missed.

Owns the file and every transaction on it. Pages and the positions that they are at are written together or
not at all. Each row carries a checksum of itself, and the state row the number of rows and the sum of their
checksums, so that a row that is changed, lost or replaced by an older one is noticed. A file that cannot be
used is set aside: it costs the bytes of a complete transfer, never a wrong answer, and never stops the
gateway.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from hashlib import blake2b
from typing import cast

import apsw
import msgspec
from msgspec import Struct

from linenbridge.distribution.changes import DIGEST_MASK, range_of
from linenbridge.distribution.errors import ChangeRejected, ViewStoreError
from linenbridge.distribution.view.results import PageKind, StoredPage
from linenbridge.distribution.view.view import View

FORMAT_VERSION = 1  # of the tables and of all pages; a file with another is set aside
CACHE_KB = 1024  # KiB that SQLite may cache
CHECKSUM_BYTES = 8
SET_ASIDE_SUFFIX = ".damaged"
COMPANION_SUFFIXES = ("-wal", "-shm")  # of files that SQLite keeps beside its own
TABLES = """
create table if not exists page (
  kind integer, part integer, name text, number integer, body blob, sum blob,
  primary key (kind, part, name, number));
create table if not exists state (one integer primary key, words blob, sum blob);
"""
KEY = "where kind = ? and part = ? and name = ? and number = ?"
SELECT_PAGES = "select kind, name, number, body, sum from page order by kind, part, name, number"
SELECT_CHECKSUM = f"select sum from page {KEY}"
DELETE_PAGE = f"delete from page {KEY}"
INSERT_PAGE = "insert or replace into page values (?, ?, ?, ?, ?, ?)"

# Errors that say nothing against the file itself: there is no place for it, or another process has it.
UNAVAILABLE = (
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
# Errors of a file whose content cannot be used.
UNUSABLE = (apsw.Error, msgspec.MsgspecError, ValueError, TypeError, LookupError, ChangeRejected)

WriteEvent = Callable[..., None]  # an event's name and its fields
Load = Callable[[Iterator[StoredPage]], None]


def check_only(pages: Iterator[StoredPage]) -> None:
    """Read all pages, which checks them, and load none."""
    for _ in pages:
        pass


class State(Struct, array_like=True, frozen=True):
    """The state row: number of rows, the sum of their checksums, and what the pages were checked against."""

    row_count: int
    checksums: int
    fingerprint: str


class _UnusableStoreError(Exception):
    """The file does not hold what was written, or was written for other settings."""


class ViewStore:
    """One file.

    `write_event` writes a line of the log. `error` is why there is no store (any more), None while there is
    one. `write` may be called from another thread, one call at a time.
    """

    def __init__(self, path: str, fingerprint: str, write_event: WriteEvent) -> None:
        self.path = path
        self.fingerprint = fingerprint
        self.write_event = write_event
        self.connection: apsw.Connection | None = None
        self.state = State(0, 0, fingerprint)
        self.error: ViewStoreError | None = None

    def open(self, load: Load = check_only) -> bool:
        """Open the file and pass all pages of the last complete write to `load`, range by range, as they are
        read. False where the file cannot be used; what was loaded of it is to be discarded then."""
        try:
            self._open(load)
        except UNAVAILABLE as error:
            self._give_up(error)
            return False
        except (*UNUSABLE, _UnusableStoreError) as error:
            self._set_aside(error)
            return False
        return True

    def _open(self, load: Load) -> None:
        connection = apsw.Connection(self.path)
        self.connection = connection
        connection.set_busy_timeout(0)
        connection.pragma("locking_mode", "exclusive")
        connection.pragma("cache_size", -CACHE_KB)
        version = connection.pragma("user_version")
        if version not in (0, FORMAT_VERSION):
            raise _UnusableStoreError(f"its form is {version}, this is {FORMAT_VERSION}")
        load(self._read(connection) if version else iter(()))
        try:
            connection.pragma("journal_mode", "wal")
            connection.pragma("synchronous", "normal")
            with _transaction(connection):
                connection.execute(TABLES)
                connection.pragma("user_version", FORMAT_VERSION)
                self._write_state(connection)
        except UNAVAILABLE as error:
            self._give_up(error)  # What it holds is good; nothing more can be written.

    def _read(self, connection: apsw.Connection) -> Iterator[StoredPage]:
        """Every page. Only at the end is it known whether they are all, and of one time."""
        self.state = _read_state(connection)
        if self.state.fingerprint != self.fingerprint:
            raise _UnusableStoreError("its routes were checked against other methods")
        row_count = 0
        checksums = 0
        for kind, name, number, body, checksum in connection.execute(SELECT_PAGES):
            page = StoredPage(kind, name, number, body)
            if checksum != _checksum_of_page(page):
                raise _UnusableStoreError(
                    f"row {page.kind}/{page.name}/{page.number} is not as it was written"
                )
            row_count += 1
            checksums += int.from_bytes(checksum, "big")
            yield page
        if (row_count, checksums & DIGEST_MASK) != (self.state.row_count, self.state.checksums):
            raise _UnusableStoreError(
                f"{row_count} rows of {self.state.row_count}, or one of them from another time"
            )

    def write(self, pages: Sequence[StoredPage]) -> bool:
        """Write all pages or none; False where there is no store (any more). After an error nothing more is
        written: the file then still holds an earlier version as a whole."""
        connection = self.connection
        if connection is None:
            return False
        try:
            with _transaction(connection):
                self._write(connection, pages)
        except (apsw.Error, OSError) as error:
            self._give_up(error)
            return False
        return True

    def _write(self, connection: apsw.Connection, pages: Sequence[StoredPage]) -> None:
        row_count = self.state.row_count
        checksums = self.state.checksums
        for page in pages:
            key = (page.kind, _part(page), page.name, page.number)
            replaced = connection.execute(SELECT_CHECKSUM, key).fetchall()
            row_count += int(page.body is not None) - len(replaced)
            checksums -= sum(int.from_bytes(cast("bytes", checksum), "big") for (checksum,) in replaced)
            if page.body is None:
                connection.execute(DELETE_PAGE, key)
                continue
            checksum = _checksum_of_page(page)
            checksums += int.from_bytes(checksum, "big")
            connection.execute(INSERT_PAGE, (*key, page.body, checksum))
        self.state = State(row_count, checksums & DIGEST_MASK, self.fingerprint)
        self._write_state(connection)

    def _write_state(self, connection: apsw.Connection) -> None:
        encoded = msgspec.msgpack.encode(self.state)
        connection.execute("insert or replace into state values (1, ?, ?)", (encoded, _checksum(encoded)))

    def _set_aside(self, cause: Exception) -> None:
        """The file cannot be used: rename it, in place of an earlier one, and begin a new one."""
        self.close()
        self.state = State(0, 0, self.fingerprint)
        try:
            for suffix in ("", *COMPANION_SUFFIXES):
                if os.path.exists(self.path + suffix):
                    os.replace(self.path + suffix, self.path + SET_ASIDE_SUFFIX + suffix)
        except OSError as error:
            self._give_up(error)
            return
        self.write_event(
            "distribution.store_set_aside", path=self.path, error=f"{type(cause).__name__}: {cause}"
        )
        try:
            self._open(check_only)
        except (apsw.Error, OSError) as error:
            self._give_up(error)

    def _give_up(self, error: BaseException) -> None:
        """Go on without a store."""
        self.close()
        self.error = ViewStoreError(f"{type(error).__name__}: {error}", self.path)
        self.write_event("distribution.store_lost", **self.error.fields())

    def close(self) -> None:
        """Close the file."""
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.close(True)


@contextmanager
def _transaction(connection: apsw.Connection) -> Iterator[None]:
    """All of it or nothing. SQLite itself has rolled back where the disk is full."""
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
    if not rows:
        raise _UnusableStoreError("the state is not as it was written")
    encoded = cast("bytes", rows[0][0])
    if rows[0][1] != _checksum(encoded):
        raise _UnusableStoreError("the state is not as it was written")
    return msgspec.msgpack.decode(encoded, type=State)


def _checksum(encoded: bytes) -> bytes:
    return blake2b(encoded, digest_size=CHECKSUM_BYTES).digest()


def _checksum_of_page(page: StoredPage) -> bytes:
    key = msgspec.msgpack.encode((page.kind, page.name, page.number))
    return _checksum(key + (page.body or b""))


def _part(page: StoredPage) -> int:
    """Pages that are kept together in memory are read together: those of one range."""
    return range_of(page.kind, page.name) if page.kind in (PageKind.ROUTES, PageKind.INSTANCE) else 0


def fingerprint(methods: Iterable[str]) -> str:
    """What a view's packed routes depend on beside their text: the methods that they may name."""
    return blake2b("\n".join(sorted(methods)).encode(), digest_size=CHECKSUM_BYTES).hexdigest()


def restored(store: ViewStore, new_view: Callable[[], View]) -> View:
    """The view that the store holds, or a new one where it holds none that can be used."""
    view = new_view()
    return view if store.open(view.load) else new_view()
