"""The store of dispatched requests: keeps the ids of non-idempotent requests across restarts of the process.

Owns one SQLite file (through `apsw`) and every transaction on it. An id is stored before its reservation is
sent, so that the next process finds it however this process ends. An error of the store never stops the
gateway: a damaged file is renamed and replaced, a file that cannot be used is left unchanged, and each case
is logged once. Without a store the reservation ledger relies on the attempt counts of the proxies alone.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b
from typing import TypeVar, cast

import apsw

SCHEMA_VERSION = 1  # a file with another version is renamed and replaced
ID_BYTES = 16
CACHE_MEGABYTES = 4
SWEEP_INTERVAL = 30.0  # seconds between deletions of expired ids

# Errors that do not indicate a damaged file: it cannot be accessed, the disk is full, or another process uses
# it.
UNAVAILABLE_ERRORS = (
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

POWER = "power"  # durability: persisted ids survive a loss of power
PROCESS = "process"  # durability: persisted ids survive an end of the process only


Result = TypeVar("Result")


def request_digest(request: str) -> str:
    """Return the stored form of a request id: a digest of fixed length."""
    return blake2b(request.encode("utf-8", "surrogatepass"), digest_size=ID_BYTES).hexdigest()


class ReservationStore:
    """The store in the file at `path`.

    `durability` is PROCESS or POWER. `log_event` writes a log line; `clock` returns Unix seconds.
    """

    def __init__(
        self,
        path: str,
        durability: str,
        log_event: Callable[..., None],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.path = path
        self.durability = durability
        self.log_event = log_event
        self.clock = clock
        self.connection: apsw.Connection | None = None
        self.swept_at = 0.0

    def open(self) -> bool:
        """Open the file and return whether the store is usable.

        A damaged file, or one whose tables have another version, is renamed with the time and replaced.
        """
        for _ in range(2):
            try:
                self._open()
                return True
            except UNAVAILABLE_ERRORS as error:
                self._disconnect(error)
                self.log_event("store.lost", path=self.path, error=f"{type(error).__name__}: {error}")
                return False
            except (apsw.Error, _WrongFormError) as error:
                self._disconnect(error)
                if not self._set_aside(error):
                    return False
        return False

    def _open(self) -> None:
        connection = self.connection = apsw.Connection(self.path)
        connection.set_busy_timeout(0)
        connection.pragma(
            "locking_mode", "exclusive"
        )  # two processes on one file would each miss the other's ids
        connection.pragma("journal_mode", "wal")
        connection.pragma("synchronous", "full" if self.durability == POWER else "normal")
        connection.pragma("cache_size", -CACHE_MEGABYTES * 1024)
        version = connection.pragma("user_version")
        if version not in (0, SCHEMA_VERSION):
            raise _WrongFormError(
                f"the tables have version {version}, this release requires version {SCHEMA_VERSION}"
            )
        with connection:
            connection.execute(
                "CREATE TABLE IF NOT EXISTS handed (id TEXT PRIMARY KEY, until REAL NOT NULL) WITHOUT ROWID"
            )
            connection.execute("CREATE INDEX IF NOT EXISTS by_time ON handed (until)")
            connection.pragma("user_version", SCHEMA_VERSION)
        if (found := connection.pragma("quick_check")) != "ok":
            raise apsw.CorruptError(str(found))

    def _set_aside(self, error: Exception) -> bool:
        damaged_path = f"{self.path}.damaged-{int(self.clock())}"
        try:
            os.replace(self.path, damaged_path)
            for suffix in ("-wal", "-shm"):
                if os.path.exists(self.path + suffix):
                    os.replace(self.path + suffix, damaged_path + suffix)
        except OSError as rename_error:
            self.log_event("store.lost", path=self.path, error=str(rename_error))
            return False
        self.log_event(
            "store.set_aside", path=self.path, now=damaged_path, error=f"{type(error).__name__}: {error}"
        )
        return True

    def _disconnect(self, error: Exception) -> None:
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        try:
            connection.close(True)
        except apsw.Error:
            self.log_event("store.close", error=str(error))

    @property
    def is_open(self) -> bool:
        """Whether the store is usable: it has been opened and has not failed since."""
        return self.connection is not None

    def load(self) -> Iterator[tuple[str, float]]:
        """Yield the stored ids that have not expired, each with its expiry in Unix seconds."""
        if self.connection is None:
            return

        def read(connection: apsw.Connection) -> list[tuple[str, float]]:
            query = "SELECT id, until FROM handed WHERE until > ? ORDER BY until"
            return cast(list[tuple[str, float]], connection.execute(query, (self.clock(),)).fetchall())

        yield from self._attempt(read) or ()

    def persist(self, ids: Iterable[tuple[str, float]]) -> bool:
        """Write ids with their expiry in one transaction; return False if the store is unusable."""
        rows = list(ids)

        def write(connection: apsw.Connection) -> bool:
            with connection:
                connection.executemany("INSERT OR REPLACE INTO handed VALUES (?, ?)", rows)
                if self.clock() - self.swept_at > SWEEP_INTERVAL:
                    self.swept_at = self.clock()
                    connection.execute("DELETE FROM handed WHERE until <= ?", (self.swept_at,))
            return True

        return bool(self._attempt(write))

    def delete(self, ids: Iterable[str]) -> None:
        """Delete ids of requests that certainly were not executed."""
        rows = [(one,) for one in ids]

        def write(connection: apsw.Connection) -> None:
            with connection:
                connection.executemany("DELETE FROM handed WHERE id = ?", rows)

        self._attempt(write)

    def _attempt(self, work: Callable[[apsw.Connection], Result]) -> Result | None:
        """Run `work` and return its result, or None if it fails.

        After an error this process does not use the store again: an incomplete record that seems complete
        would be worse than a logged loss of the store.
        """
        if self.connection is None:
            return None
        try:
            return work(self.connection)
        except (apsw.Error, OSError) as error:
            self._disconnect(error)
            self.log_event("store.lost", path=self.path, error=f"{type(error).__name__}: {error}")
            return None

    def close(self) -> None:
        """Close the file. The store is not usable afterwards."""
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.close(True)


class _WrongFormError(Exception):
    """The tables of the file have another version."""
