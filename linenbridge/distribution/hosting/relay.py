"""Hosts a relay: its region's replica with its disk, the feed, and a follower of each other region.

Owns two sets of connections: downstream (followers and publishers connect to the relay) and upstream (the
relay connects to relays of other regions). The log is written by one thread at a time, in order, and
responses are sent after the write. A message is accepted only from a peer that may send it: a publisher's
messages from publishers that the settings name, and a follower's messages under the follower's own name.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.distribution.decisions import (
    Apply,
    Committed,
    Decision,
    Dial,
    Event,
    Disconnect,
    Persist,
    ReplaceRange,
    Send,
    SubtreeProgress,
)
from linenbridge.distribution.dissemination.feed import Feed
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.dissemination.settings import FeedSettings
from linenbridge.distribution.errors import RelayStoreError
from linenbridge.distribution.hosting.core_driver import CoreDriver, StateMachine
from linenbridge.distribution.hosting.disk_writer import GroupWriter
from linenbridge.distribution.hosting.follower_settings import (
    deliver,
    follower_settings,
    relay_locations,
    relay_names,
)
from linenbridge.distribution.hosting.link_messages import FOLLOWER_DECODER, RELAY_DECODER
from linenbridge.distribution.log.replica import Replica
from linenbridge.distribution.messages import Append, Digests, Fetch, Follow, Prepare, Progress
from linenbridge.distribution.storage.log_store import RelayLog
from linenbridge.logging.event_log import Log
from linenbridge.peering import clock
from linenbridge.peering.connections import PeerConnections, WellFormedNames, call_soon

RESERVED_CONNECTIONS = 64  # for publishers and relays of other regions, in addition to two for each follower
EXTRA_SILENT_HEARTBEATS = 2  # heartbeats that a follower's timeout is longer than a relay's


class Relay:
    """One relay of `settings.region`; its constructor raises RelayStoreError if the disk cannot be used.

    A relay cannot continue after its disk fails: `on_disk_failed` is called once, and has to end the process.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        reactor: Any,
        log: Log,
        random: Random,
        on_disk_failed: Callable[[], None] = lambda: None,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.log = log
        self.on_disk_failed: Callable[[], None] | None = on_disk_failed
        now = clock.now()
        self.disk = RelayLog(settings.store, settings.region)
        self.replica = Replica(
            settings.region, settings.name, self.disk.read(), random, trusted=settings.trusted
        )
        self.feed = self._new_feed(random, now)
        self.followers = {
            region: self._new_follower(region, random, now)
            for region in settings.regions
            if region != settings.region
        }
        self.region_of = {
            relay: region for region, members in settings.regions.items() for relay in members.relays
        }
        self.writer = GroupWriter[Persist](
            reactor, self.disk.persist, self._on_persisted, self._on_persist_failed
        )
        self.downstream = self._new_downstream()
        self.upstream = self._new_upstream()
        state_machines: list[StateMachine] = [self.replica, *self.followers.values(), self.feed]
        self.driver = CoreDriver(reactor, state_machines, self._execute, on_turn_end=self._report_failed_disk)
        if settings.listen is None:
            raise ValueError("a relay has no address to listen on; add `listen` to the element distribution")
        self.port = reactor.listenTCP(settings.listen[1], self.downstream, interface=settings.listen[0])
        log.event("distribution.started", role="relay", name=settings.name, region=settings.region)
        self.driver.turn()

    def _new_feed(self, random: Random, now: int) -> Feed:
        settings = self.settings
        return Feed(
            settings.name,
            settings.region,
            list(settings.regions),
            _feed_settings(settings),
            random,
            now,
            relay_names(settings),
        )

    def _new_downstream(self) -> PeerConnections:
        """Return the connections of followers and publishers, which send their own names."""
        settings = self.settings
        return PeerConnections(
            settings.name,
            WellFormedNames(),
            self.reactor,
            self.log,
            self._on_downstream_message,
            decoder=RELAY_DECODER,
            max_connections=2 * settings.followers + RESERVED_CONNECTIONS,
            on_peer_changed=self._on_downstream_changed,
        )

    def _new_upstream(self) -> PeerConnections:
        """Return the connections to relays of other regions."""
        settings = self.settings
        return PeerConnections(
            settings.name,
            relay_names(settings),
            self.reactor,
            self.log,
            self._on_upstream_message,
            decoder=FOLLOWER_DECODER,
            on_peer_changed=self._on_upstream_changed,
        )

    def _new_follower(self, region: str, random: Random, now: int) -> Follower:
        """Return a follower of another region.

        The feed's log of that region is not on disk, so the follower starts from the beginning.
        """
        settings = self.settings
        return Follower(
            settings.name,
            region,
            relay_locations(settings, [region]),
            [region],
            [],
            follower_settings(settings, settings.rate_between_regions),
            random,
            now,
            self.feed.range_digests,
        )

    # ---- connections -----------------------------------------------------------------------------------

    def _on_downstream_message(self, peer: str, message: Any) -> None:
        now = clock.now()
        match message:
            case Prepare() | Fetch() | Append():
                self._on_publisher_message(now, peer, message)
            case Follow() if message.follower == peer:
                self.feed.on_follow(now, message)
            case Progress() if message.follower == peer:
                self.feed.on_progress(now, message)
            case Digests():
                self.feed.on_digests(now, peer, message)
            case _:
                self.log.event_sampled(
                    "distribution.name_mismatch", "follower", peer=peer, claimed_name=message.follower[:64]
                )
        self.driver.turn()

    def _on_publisher_message(self, now: int, peer: str, message: Prepare | Fetch | Append) -> None:
        if peer not in self.settings.home.publishers:
            self.log.event_sampled("distribution.unauthorized_peer", "publisher", peer=peer)
            return
        match message:
            case Prepare():
                self.replica.on_prepare(now, peer, message)
            case Fetch():
                self.replica.on_fetch(now, peer, message)
            case Append():
                self.replica.on_append(now, peer, message)
        self.feed.on_publisher(now, self.replica.publisher)

    def _on_downstream_changed(self, peer: str, *, connected: bool) -> None:
        if not connected:
            self.feed.on_lost(clock.now(), peer)
            self.driver.turn()

    def _on_upstream_message(self, peer: str, message: Any) -> None:
        follower = self.followers.get(self.region_of[peer])
        if follower is not None:
            deliver(follower, clock.now(), peer, message)
            self.driver.turn()

    def _on_upstream_changed(self, peer: str, *, connected: bool) -> None:
        follower = self.followers.get(self.region_of[peer])
        if follower is not None:
            follower.on_link(clock.now(), peer, connected=connected)
            self.driver.turn()

    # ---- decisions -------------------------------------------------------------------------------------

    def _execute(self, state_machine: StateMachine, now: int, decision: Decision) -> None:
        match decision:
            case Send():
                connections = self.upstream if isinstance(state_machine, Follower) else self.downstream
                connections.send(decision.to, decision.message)
            case Persist():
                self.writer.put(decision)
            case Committed():
                purged_sequence = self.replica.log.purged_up_to
                self.feed.on_committed(now, decision.region, decision.changes, purged_sequence)
            case Apply() | ReplaceRange():
                self._put_into_feed(now, decision)
            case SubtreeProgress():
                for follower in self.followers.values():
                    follower.on_progress_below(now, decision.summaries)
            case Dial():
                self.upstream.dial(decision.relay, self._address(decision.relay))
            case Disconnect():
                self.upstream.disconnect(decision.relay)
            case Event():
                self.log.event(decision.name, **decision.fields)

    def _put_into_feed(self, now: int, content: Apply | ReplaceRange) -> None:
        """Add content of another region to the feed, then report its position to that region's follower."""
        match content:
            case Apply():
                digest = self.feed.on_apply(now, content)
            case ReplaceRange():
                digest = self.feed.on_range(now, content)
        self.followers[content.region].on_applied(now, content.region, content.upto, digest)

    def _report_failed_disk(self) -> None:
        if self.replica.failed and self.on_disk_failed is not None:
            on_disk_failed, self.on_disk_failed = self.on_disk_failed, None
            call_soon(self.reactor, on_disk_failed)

    def _address(self, relay: str) -> tuple[str, int]:
        return self.settings.regions[self.region_of[relay]].relays[relay]

    def _on_persisted(self, persists: list[Persist]) -> None:
        now = clock.now()
        for persist in persists:
            self.replica.on_persisted(now, persist.number)
            for send in persist.then:
                self.downstream.send(send.to, send.message)
        self.driver.turn()

    def _on_persist_failed(self, _persists: list[Persist], error: BaseException) -> None:
        if not isinstance(error, RelayStoreError):
            error = RelayStoreError(f"{type(error).__name__}: {error}", self.settings.store)
        self.replica.on_store_failed(clock.now(), error)
        self.driver.turn()

    # ---- the process -----------------------------------------------------------------------------------

    def facts(self) -> dict[str, int]:
        """Return the relay's fields of the log line with counters."""
        counters = self.feed.counters
        return {
            "followers": len(self.feed.sessions),
            "connections": len(self.downstream.by_peer),
            "epoch": self.replica.epoch,
            "member": int(self.replica.member),
            "committed": self.replica.log.committed,
            "entries": len(self.replica.log),
            "batches": counters.batches,
            "batches_encoded": counters.encoded,
            "ranges": counters.ranges,
            "bytes": counters.bytes,
            "rejected_followers": counters.rejected,
            "silent_followers": counters.silent,
        }

    def reload(self, path: str) -> None:
        """On SIGHUP, log that settings of the distribution take effect at the next start."""
        self.log.event("distribution.not_reloaded", path=path, do="restart the process to apply the settings")

    def close(self, on_closed: Callable[[], None]) -> None:
        """Stop turns, close connections, close the disk after its last write, then call `on_closed`."""
        self.port.stopListening()
        self.driver.close()
        self.downstream.close()
        self.upstream.close()
        self.writer.close(lambda: self._close_disk(on_closed))

    def _close_disk(self, on_closed: Callable[[], None]) -> None:
        self.disk.close()
        on_closed()


def _feed_settings(settings: DistributionSettings) -> FeedSettings:
    return FeedSettings(
        batch_interval=settings.gather,
        heartbeat=settings.heartbeat,
        follower_timeout=settings.silence + EXTRA_SILENT_HEARTBEATS * settings.heartbeat,
        max_followers=settings.followers,
    )
