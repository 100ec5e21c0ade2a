"""Run a member's acceptor on the reactor; one thread writes its records to disk, in order.

Owns the store and the thread. A message is passed on after all records that the acceptor had decided before
it: the message may depend on any of them. If the store fails, the acceptor grants nothing more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

from linenbridge.errors import ControlPlaneError
from linenbridge.fleet.configuration import FleetSettings
from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.decisions import Persist, Send
from linenbridge.fleet.leases.stored_state import StoredState
from linenbridge.fleet.store.acceptor_records import RecordStore, open_records
from linenbridge.logging.event_log import Log

INCARNATION_BITS = 52


class AcceptorHost:
    """An acceptor with its store.

    In the reactor's thread, `on_persisted(send)` is called with each message once the records before it are
    on disk, and `on_store_failed()` after a write has failed.
    """

    def __init__(
        self,
        settings: FleetSettings,
        reactor: Any,
        log: Log,
        incarnation: int,
        now: int,
        on_persisted: Callable[[Send], None],
        on_store_failed: Callable[[], None],
    ) -> None:
        """Read the store, then start the acceptor; it grants nothing if the store can't be used."""
        self.reactor = reactor
        self.log = log
        self.on_persisted = on_persisted
        self.on_store_failed = on_store_failed
        self.store: RecordStore = open_records("")
        failure, state = self._read(settings.store)
        self.acceptor = Acceptor(
            settings.member,
            settings.quorum,
            settings.timing,
            state,
            now,
            first_term=settings.first_term,
            trusted=settings.store_never_goes_back,
            incarnation=Random(incarnation).getrandbits(INCARNATION_BITS),
        )
        if failure:
            self.acceptor.on_store_failed(failure)
        self._writes = deque[list[Send]]()  # for each write in progress, the messages that wait for it
        self.pool = ThreadPool(1, 1, "acceptor records")
        self.pool.start()

    def _read(self, path: str) -> tuple[str, StoredState]:
        """Return the error's text (empty if none) and the stored state (without records on an error)."""
        without_records = self.store.read()
        try:
            self.store = open_records(path)
            return "", self.store.read()
        except ControlPlaneError as error:
            self.log.event("store.failed", **error.fields())
            return str(error), without_records

    def send(self, send: Send) -> None:
        """Pass on a message, after the writes that are in progress."""
        if self._writes:
            self._writes[-1].append(send)
        else:
            self.on_persisted(send)

    def persist(self, decision: Persist) -> None:
        """Write the records, then pass on the message that depends on them."""
        self._writes.append([] if decision.then is None else [decision.then])
        done = deferToThreadPool(
            self.reactor, self.pool, self.store.write, decision.records, self.acceptor.facts()
        )
        done.addCallbacks(self._on_written, self._on_write_failed)

    def _on_written(self, _: None) -> None:
        for send in self._writes.popleft():
            self.on_persisted(send)

    def _on_write_failed(self, failure: Failure) -> None:
        """Drop all messages that wait: they may depend on the records that were not written."""
        self._writes.popleft()
        for waiting in self._writes:
            waiting.clear()
        self.acceptor.on_store_failed(failure.getErrorMessage())
        self.on_store_failed()

    def close(self, on_closed: Callable[[], None]) -> None:
        """Finish the writes that are queued, close the store, then call `on_closed`.

        The reactor does not wait for the disk meanwhile.
        """
        done = deferToThreadPool(self.reactor, self.pool, self.store.close)
        done.addErrback(lambda failure: self.log.failed("closing the store", failure.value))
        done.addCallback(lambda _: self.pool.stop())
        done.addCallback(lambda _: on_closed())
