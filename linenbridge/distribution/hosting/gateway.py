"""A gateway on a reactor: a follower of relays, its view, and the view's store. No front, no thread.

Owns the wiring, and the queue of what is to come into force: sets of routes are checked in short steps with
turns of the reactor between, then all of one batch comes into force in one turn, between two requests. Many
can share a process, each under its own name. It must never decide: what the core says is carried out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from linenbridge.distribution.changes import Change, Kind, Position
from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.distribution.decisions import Apply, Decision, Dial, Event, Disconnect, ReplaceRange, Send
from linenbridge.distribution.errors import ViewStoreError
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.hosting.core_driver import Carrier, Core
from linenbridge.distribution.hosting.follower_settings import (
    follower_settings,
    hear,
    relay_names,
    relay_places,
)
from linenbridge.distribution.hosting.methods import Methods
from linenbridge.distribution.hosting.link_messages import FOLLOWER_TAKES
from linenbridge.distribution.hosting.disk_writer import GroupWriter
from linenbridge.distribution.view.results import Applied, StoredPage, ViewLimits
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.view import View
from linenbridge.peering import clock
from linenbridge.peering.connections import Links
from linenbridge.logging.event_log import Log

STORE_EVERY = 1.0  # seconds between two writes of the view's pages


class Gateway:
    """`view` is what it has in force, from its store where it was restored. `applied` is told of each change
    of it, right after."""

    def __init__(
        self, settings: DistributionSettings, reactor: Any, log: Log, view: View, random: Random,
        store: ViewStore | None = None, applied: Callable[[Applied], None] = lambda applied: None,
    ) -> None:  # fmt: skip
        self.settings, self.reactor, self.log, self.view = settings, reactor, log, view
        self.applied = applied
        self.follower = Follower(
            settings.name, settings.region, relay_places(settings, list(settings.regions)),
            list(settings.regions), view.positions(), follower_settings(settings, settings.rate), random,
            clock.now(), view.range_digests,
        )  # fmt: skip
        self.links = Links(
            settings.name, relay_names(settings), reactor, log, self._heard, decoder=FOLLOWER_TAKES,
            changed=self._link_changed,
        )  # fmt: skip
        self.pages = None if store is None else StoredPages(reactor, log, view, store)
        self.queue: deque[Apply | ReplaceRange] = deque()
        self.unchecked: deque[Change] = deque()  # sets of routes of the queue's first
        self.steps: Iterator[None] = iter(())  # of the check of one of them
        self.closed = False
        self.carrier = Carrier(reactor, [self.follower], self._carry_out)
        log.event("distribution.started", role="gateway", name=settings.name, region=settings.region)
        self.carrier.turn()

    # ---- links -------------------------------------------------------------------------------------------

    def _heard(self, far: str, message: Any) -> None:
        hear(self.follower, clock.now(), far, message)
        self.carrier.turn()

    def _link_changed(self, far: str, up: bool) -> None:
        self.follower.on_link(clock.now(), far, up)
        self.carrier.turn()

    # ---- decisions ---------------------------------------------------------------------------------------

    def _carry_out(self, core: Core, now: int, decision: Decision) -> None:
        match decision:
            case Send():
                self.links.say(decision.to, decision.message)
            case Apply() | ReplaceRange():
                self._enqueue(decision)
            case Dial():
                address = self.settings.relay_address(decision.relay)
                if address is not None:
                    self.links.dial(decision.relay, address)
            case Disconnect():
                self.links.drop(decision.relay)
            case Event():
                self.log.event(decision.name, **decision.fields)

    # ---- what comes into force ---------------------------------------------------------------------------

    def _enqueue(self, content: Apply | ReplaceRange) -> None:
        self.queue.append(content)
        if len(self.queue) == 1:
            self._begin_first()

    def _begin_first(self) -> None:
        """Only checks of routes take long enough to be spread over turns."""
        changes = self.queue[0].changes
        self.unchecked = deque(change for change in changes if change.kind == Kind.ROUTES and change.value)
        self._step()

    def _step(self) -> None:
        if self.closed or not self.queue:
            return
        if self._checks_more():
            self.reactor.callLater(0, self._step)
            return
        self._put_in_force(self.queue[0])
        self.queue.popleft()
        if self.queue:
            self.reactor.callLater(0, self._begin_first)

    def _checks_more(self) -> bool:
        """One step of the checks, a millisecond or so; False once all are done."""
        for _ in self.steps:
            return True
        if not self.unchecked:
            return False
        self.steps = self.view.examining(self.unchecked.popleft())
        return True

    def _put_in_force(self, content: Apply | ReplaceRange) -> None:
        view = self.view
        applied = view.apply(content) if isinstance(content, Apply) else view.replace(content)
        self.follower.on_applied(clock.now(), applied.region, applied.upto, applied.digest)
        self._tell(applied)
        self.applied(applied)
        if self.pages is not None:
            self.pages.changed()
        self.carrier.turn()

    def _tell(self, applied: Applied) -> None:
        for refused in applied.refused:
            self.log.event("distribution.refused_change", **refused.error().fields())
        if applied.taken:
            place = {"region": applied.region, "epoch": applied.upto.epoch, "sequence": applied.upto.sequence}
            self.log.event("distribution.in_force", changes=applied.taken, **place)

    # ---- the process -------------------------------------------------------------------------------------

    def facts(self) -> dict[str, int]:
        """For the counters' line."""
        counters, view = self.follower.counters, self.view
        return {
            "following": int(self.follower.following),
            "sessions": counters.sessions,
            "batches": counters.batches,
            "ranges": counters.ranges,
            "passed_over": counters.passed_over,
            "gaps": counters.gaps,
            "spoilt": counters.spoilt,
            "digests_differed": counters.differed,
            "relays_lost": counters.lost,
            "relays_silent": counters.silences,
            "changes_taken": view.counts["taken"],
            "changes_refused": view.counts["refused"],
            "keys_refused": len(view.refused()),
        }

    def reload(self, path: str) -> None:
        """At SIGHUP: settings of the distribution count from the next start."""
        self.log.event("distribution.not_reloaded", path=path, do="restart the process to take them up")

    def close(self, closed: Callable[[], None] = lambda: None) -> None:
        """In order: links, then turns, then the last pages on disk; `closed()` at the end."""
        self.closed = True
        self.carrier.close()
        self.links.close()
        if self.pages is None:
            closed()
        else:
            self.pages.close(closed)


class StoredPages:
    """Brings a view's changed pages to its store, every now and then and all of them together."""

    def __init__(self, reactor: Any, log: Log, view: View, store: ViewStore) -> None:
        self.reactor, self.log, self.view, self.store = reactor, log, view, store
        self.writer = GroupWriter[list[StoredPage]](reactor, self._write, self._done, self._failed)
        self.timer: Any = None

    def changed(self) -> None:
        """The view has changed."""
        if self.timer is None and self.store.error is None:
            self.timer = self.reactor.callLater(STORE_EVERY, self._put)

    def _put(self) -> None:
        self.timer = None
        if self.store.error is None:
            self.writer.put(self.view.dirty())

    def _write(self, groups: list[list[StoredPage]]) -> None:
        for pages in groups:
            self.store.write(pages)

    def _done(self, groups: list[list[StoredPage]]) -> None:
        """The store says itself what went wrong."""

    def _failed(self, groups: list[list[StoredPage]], error: BaseException) -> None:
        self.log.failed("distribution.store", error)
        if self.store.error is None:
            self.store.error = ViewStoreError(f"{type(error).__name__}: {error}", self.store.path)

    def close(self, closed: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self._put()
        self.writer.close(lambda: self._close_store(closed))

    def _close_store(self, closed: Callable[[], None]) -> None:
        self.store.close()
        closed()


def open_view(
    settings: DistributionSettings, methods: Methods, log: Log, unix_offset: int = 0
) -> tuple[View, ViewStore | None]:
    """The view of the last life where the settings name a store that holds one, else a new one. `unix_offset`
    is the view's."""

    limits = ViewLimits(compiled_bytes=settings.compiled_routes)

    def new_view() -> View:
        return View(methods.methods, methods.longest, unix_offset, limits)

    if not settings.store:
        return new_view(), None
    store = ViewStore(settings.store, fingerprint(method.name for method in methods.methods), log.event)
    view = restored(store, new_view)
    log.event("distribution.restored", positions=[_plain(position) for position in view.positions()])
    return view, store


def _plain(position: Position) -> dict[str, object]:
    return {"region": position.region, "epoch": position.epoch, "sequence": position.sequence}
