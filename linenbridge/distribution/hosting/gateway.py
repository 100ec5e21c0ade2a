"""Runs the gateway's side of the distribution: a follower of relays, its view, and the view's store.

Owns the connections to relays, and connects the follower, the queue of content to check, and the writer of
the view's pages. A gateway has no thread of its own, so that many gateways with different names can share a
process.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from linenbridge.distribution.changes import Position
from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.distribution.decisions import Apply, Decision, Dial, Event, Disconnect, ReplaceRange, Send
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.hosting.apply_queue import ApplyQueue, Content
from linenbridge.distribution.hosting.core_driver import CoreDriver, StateMachine
from linenbridge.distribution.hosting.follower_settings import (
    deliver,
    follower_settings,
    relay_locations,
    relay_names,
)
from linenbridge.distribution.hosting.link_messages import FOLLOWER_DECODER
from linenbridge.distribution.hosting.methods import Methods
from linenbridge.distribution.hosting.page_writer import ViewPageWriter
from linenbridge.distribution.storage.view_store import ViewStore, fingerprint, restored
from linenbridge.distribution.view.results import ApplyResult, ViewLimits
from linenbridge.distribution.view.view import View
from linenbridge.logging.event_log import Log
from linenbridge.peering import clock
from linenbridge.peering.connections import PeerConnections


class Gateway:
    """Follows relays and keeps `view` up to date; `store` holds the view's pages.

    Calls `on_applied` after each change of the view, in the same turn of the reactor.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        reactor: Any,
        log: Log,
        view: View,
        random: Random,
        store: ViewStore | None = None,
        on_applied: Callable[[ApplyResult], None] = lambda _applied: None,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.log = log
        self.view = view
        self.on_applied = on_applied
        self.follower = self._new_follower(random)
        self.connections = PeerConnections(
            settings.name,
            relay_names(settings),
            reactor,
            log,
            self._on_message,
            decoder=FOLLOWER_DECODER,
            on_peer_changed=self._on_connection_changed,
        )
        self.page_writer = None if store is None else ViewPageWriter(reactor, log, view, store)
        self.apply_queue = ApplyQueue(reactor, view, self._put_in_force)
        self.driver = CoreDriver(reactor, [self.follower], self._execute)
        log.event("distribution.started", role="gateway", name=settings.name, region=settings.region)
        self.driver.turn()

    def _new_follower(self, random: Random) -> Follower:
        """Return a follower of all regions that starts from the positions of the view."""
        settings = self.settings
        regions = list(settings.regions)
        return Follower(
            settings.name,
            settings.region,
            relay_locations(settings, regions),
            regions,
            self.view.positions(),
            follower_settings(settings, settings.rate),
            random,
            clock.now(),
            self.view.range_digests,
        )

    # ---- connections -----------------------------------------------------------------------------------

    def _on_message(self, peer: str, message: Any) -> None:
        deliver(self.follower, clock.now(), peer, message)
        self.driver.turn()

    def _on_connection_changed(self, peer: str, *, connected: bool) -> None:
        self.follower.on_link(clock.now(), peer, connected=connected)
        self.driver.turn()

    # ---- decisions -------------------------------------------------------------------------------------

    def _execute(self, _state_machine: StateMachine, _now: int, decision: Decision) -> None:
        match decision:
            case Send():
                self.connections.send(decision.to, decision.message)
            case Apply() | ReplaceRange():
                self.apply_queue.put(decision)
            case Dial():
                address = self.settings.relay_address(decision.relay)
                if address is not None:
                    self.connections.dial(decision.relay, address)
            case Disconnect():
                self.connections.disconnect(decision.relay)
            case Event():
                self.log.event(decision.name, **decision.fields)

    # ---- content ---------------------------------------------------------------------------------------

    def _put_in_force(self, content: Content) -> None:
        match content:
            case Apply():
                applied = self.view.apply(content)
            case ReplaceRange():
                applied = self.view.replace(content)
        self.follower.on_applied(clock.now(), applied.region, applied.upto, applied.digest)
        self._log_applied(applied)
        self.on_applied(applied)
        if self.page_writer is not None:
            self.page_writer.on_changed()
        self.driver.turn()

    def _log_applied(self, applied: ApplyResult) -> None:
        for rejected in applied.rejected:
            self.log.event("distribution.rejected_change", **rejected.error().fields())
        if applied.applied:
            self.log.event(
                "distribution.in_force",
                changes=applied.applied,
                region=applied.region,
                epoch=applied.upto.epoch,
                sequence=applied.upto.sequence,
            )

    # ---- the process -----------------------------------------------------------------------------------

    def facts(self) -> dict[str, int]:
        """Return the gateway's fields of the log line with counters."""
        counters = self.follower.counters
        view = self.view
        return {
            "following": int(self.follower.following),
            "sessions": counters.sessions,
            "batches": counters.batches,
            "ranges": counters.ranges,
            "skipped": counters.ignored,
            "gaps": counters.gaps,
            "corrupt": counters.malformed,
            "digests_differed": counters.digest_mismatches,
            "relays_lost": counters.lost,
            "relays_silent": counters.silent,
            "changes_applied": view.counters.applied,
            "changes_rejected": view.counters.rejected,
            "keys_rejected": len(view.rejected()),
        }

    def reload(self, path: str) -> None:
        """On SIGHUP, log that settings of the distribution take effect at the next start."""
        self.log.event("distribution.not_reloaded", path=path, do="restart the process to apply the settings")

    def close(self, on_closed: Callable[[], None] = lambda: None) -> None:
        """Stop the follower and its connections, write the changed pages, then call `on_closed`.

        Content in the queue that is not yet checked is dropped, and the follower decides nothing more.
        """
        self.apply_queue.close()
        self.driver.close()
        self.connections.close()
        if self.page_writer is None:
            on_closed()
        else:
            self.page_writer.close(on_closed)


class OpenedView(NamedTuple):
    """A view, and the store from which it was restored; `store` is None if the settings name no store."""

    view: View
    store: ViewStore | None


def open_view(settings: DistributionSettings, methods: Methods, log: Log, unix_offset: int = 0) -> OpenedView:
    """Open the view that an earlier process has stored, or an empty view if none is stored.

    `unix_offset` is added to the gateway's clock to get Unix time, in microseconds.
    """
    limits = ViewLimits(max_compiled_bytes=settings.compiled_routes)

    def new_view() -> View:
        return View(methods.methods, methods.max_deadline, unix_offset, limits)

    if not settings.store:
        return OpenedView(new_view(), None)
    store = ViewStore(settings.store, fingerprint(method.name for method in methods.methods), log.event)
    view = restored(store, new_view)
    log.event(
        "distribution.restored", positions=[_position_fields(position) for position in view.positions()]
    )
    return OpenedView(view, store)


def _position_fields(position: Position) -> dict[str, object]:
    return {"region": position.region, "epoch": position.epoch, "sequence": position.sequence}
