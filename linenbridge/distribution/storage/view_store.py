"""A gateway's view on disk: one SQLite file. A restarted gateway serves the last good version from it, and
requests from its relay only the changes since.

This module owns the file and every transaction on it. Pages and their positions are written in one
transaction. Each row has a checksum, and the state row contains the number of rows and the sum of their
checksums, so that a changed or lost row, or one replaced by an older one, is detected. A file that cannot be
used is set aside. The gateway then starts without it, at the cost of a complete transfer, and serves nothing
from a damaged file.
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

FORMAT_VERSION = 1  # of the tables and of all pages; a file with another version is set aside
CACHE_KB = 1024  # KiB of SQLite's page cache
CHECKSUM_BYTES = 8
SET_ASIDE_SUFFIX = ".damaged"
COMPANION_SUFFIXES = ("-wal", "-shm")  # of the files that SQLite writes beside the database
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

# Errors that do not mean a damaged file: the disk is full, for example, or another process has the file open.
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
# Errors that mean that the content of the file cannot be used.
UNUSABLE = (apsw.Error, msgspec.MsgspecError, ValueError, TypeError, LookupError, ChangeRejected)

WriteEvent = Callable[..., None]  # called with an event's name and fields
Load = Callable[[Iterator[StoredPage]], None]


def check_only(pages: Iterator[StoredPage]) -> None:
    """Read all pages, which checks them, without loading them."""
    for _ in pages:
        pass


class State(Struct, array_like=True, frozen=True):
    """The state row: the number of rows, the sum of their checksums, and the fingerprint of the methods that
    the pages were checked against."""

    row_count: int
    checksums: int
    fingerprint: str


class _UnusableStoreError(Exception):
    """The content of the file is damaged, or was written for other methods."""


class ViewStore:
    """The store of one view, in one file.

    `write_event` writes a log line. `error` is the reason why the gateway runs without a store; it is None
    while the store is in use. `write` may be called from another thread, one call at a time.
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
        read.

        Returns False if the file cannot be used; the caller then discards everything that was loaded.
        """
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
            raise _UnusableStoreError(
                f"the file has format version {version}; this release reads {FORMAT_VERSION}"
            )
        load(self._read(connection) if version else iter(()))
        try:
            connection.pragma("journal_mode", "wal")
            connection.pragma("synchronous", "normal")
            with _transaction(connection):
                connection.execute(TABLES)
                connection.pragma("user_version", FORMAT_VERSION)
                self._write_state(connection)
        except UNAVAILABLE as error:
            self._give_up(error)  # The loaded pages are good, but nothing can be written.

    def _read(self, connection: apsw.Connection) -> Iterator[StoredPage]:
        """Yield every page. Whether pages are missing or older than the others is known only at the end."""
        self.state = _read_state(connection)
        if self.state.fingerprint != self.fingerprint:
            raise _UnusableStoreError("the routes in the file were checked against other methods")
        row_count = 0
        checksums = 0
        for kind, name, number, body, checksum in connection.execute(SELECT_PAGES):
            page = StoredPage(kind, name, number, body)
            if checksum != _checksum_of_page(page):
                raise _UnusableStoreError(
                    f"row {page.kind}/{page.name}/{page.number} does not match its checksum"
                )
            row_count += 1
            checksums += int.from_bytes(checksum, "big")
            yield page
        if (row_count, checksums & DIGEST_MASK) != (self.state.row_count, self.state.checksums):
            raise _UnusableStoreError(
                f"{row_count} of {self.state.row_count} rows were read, or a row was replaced by an older one"
            )

    def write(self, pages: Sequence[StoredPage]) -> bool:
        """Write all pages in one transaction; return False if there is no store.

        After an error nothing more is written, so that the file holds a complete earlier version.
        """
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
        """Rename the unusable file, which replaces one that was set aside earlier, and start a new file."""
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
        """Close the store; the gateway runs without one."""
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
    """Commit all statements of the block, or roll all of them back. SQLite itself has rolled back if the disk
    is full."""
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
        raise _UnusableStoreError("the state is missing")
    encoded = cast("bytes", rows[0][0])
    if rows[0][1] != _checksum(encoded):
        raise _UnusableStoreError("the state does not match its checksum")
    return msgspec.msgpack.decode(encoded, type=State)


def _checksum(encoded: bytes) -> bytes:
    return blake2b(encoded, digest_size=CHECKSUM_BYTES).digest()


def _checksum_of_page(page: StoredPage) -> bytes:
    key = msgspec.msgpack.encode((page.kind, page.name, page.number))
    return _checksum(key + (page.body or b""))


def _part(page: StoredPage) -> int:
    """Return the range of a page, by which the pages are ordered: the pages of a range are together in
    memory, and so are read together. It is 0 for pages that belong to no range."""
    return range_of(page.kind, page.name) if page.kind in (PageKind.ROUTES, PageKind.INSTANCE) else 0


def fingerprint(methods: Iterable[str]) -> str:
    """Return a digest of the methods that routes may name. The packed routes of a view depend on them, and
    not only on the text of the routes."""
    return blake2b("\n".join(sorted(methods)).encode(), digest_size=CHECKSUM_BYTES).hexdigest()


def restored(store: ViewStore, new_view: Callable[[], View]) -> View:
    """Return the view that the store holds, or a new one if the store cannot be used."""
    view = new_view()
    return view if store.open(view.load) else new_view()
