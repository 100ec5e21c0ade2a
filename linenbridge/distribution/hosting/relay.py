"""A relay on a reactor: its region's replica with its disk, the feed, and a follower of each other region.

Owns the wiring. The log is written by one thread at a time, in order, and answers leave after it. A message
counts only from whom it may come: appends from publishers that the settings name, a follower's words under
its own name. It must never decide: what the cores say is carried out.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.distribution.decisions import (
    Apply, Committed, Decision, Dial, Event, Disconnect, Persist, ReplaceRange, Send, SubtreeProgress,
)  # fmt: skip
from linenbridge.distribution.errors import RelayStoreError
from linenbridge.distribution.dissemination.feed import Feed, FeedSettings
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.hosting.core_driver import Carrier, Core
from linenbridge.distribution.hosting.follower_settings import (
    follower_settings,
    hear,
    relay_names,
    relay_places,
)
from linenbridge.distribution.hosting.link_messages import FOLLOWER_TAKES, RELAY_TAKES
from linenbridge.distribution.hosting.disk_writer import GroupWriter
from linenbridge.distribution.messages import Append, Digests, Fetch, Follow, Prepare, Progress
from linenbridge.distribution.log.replica import Replica
from linenbridge.distribution.storage.log_store import RelayLog
from linenbridge.peering import clock
from linenbridge.peering.connections import Links, WellFormedNames, later
from linenbridge.logging.event_log import Log

SPARE_CONNECTIONS = 64  # for relays of other regions and publishers, beside two for each follower
HEARTBEATS_BEYOND = 2  # a follower is let go when it has been silent so much longer than relays may be


class Relay:
    """One relay of `settings.region`. RelayStoreError where its disk cannot be used. A relay whose disk fails
    later on gets nothing newer for its followers: `broken` is called once, for the process to end."""

    def __init__(
        self, settings: DistributionSettings, reactor: Any, log: Log, random: Random,
        broken: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        self.settings, self.reactor, self.log = settings, reactor, log
        self._broken: Callable[[], None] | None = broken
        now = clock.now()
        self.disk = RelayLog(settings.store, settings.region)
        self.replica = Replica(
            settings.region, settings.name, self.disk.read(), random, trusted=settings.trusted
        )
        self.feed = Feed(
            settings.name, settings.region, list(settings.regions), _feed_settings(settings), random, now,
            relay_names(settings),
        )  # fmt: skip
        self.followers = {
            region: self._follower(region, random, now)
            for region in settings.regions
            if region != settings.region
        }
        self.region_of = {
            relay: region for region, found in settings.regions.items() for relay in found.relays
        }
        self.writer = GroupWriter[Persist](reactor, self.disk.persist, self._kept, self._not_kept)
        self.downstream = Links(
            settings.name, WellFormedNames(), reactor, log, self._heard_downstream, decoder=RELAY_TAKES,
            connections=2 * settings.followers + SPARE_CONNECTIONS, changed=self._downstream_changed,
        )  # fmt: skip
        self.upstream = Links(
            settings.name, relay_names(settings), reactor, log, self._heard_upstream, decoder=FOLLOWER_TAKES,
            changed=self._upstream_changed,
        )  # fmt: skip
        cores = [self.replica, *self.followers.values(), self.feed]
        self.carrier = Carrier(reactor, cores, self._carry_out, after=self._look_at_replica)
        if settings.listen is None:
            raise ValueError("a relay listens")
        self.port = reactor.listenTCP(settings.listen[1], self.downstream, interface=settings.listen[0])
        log.event("distribution.started", role="relay", name=settings.name, region=settings.region)
        self.carrier.turn()

    def _follower(self, region: str, random: Random, now: int) -> Follower:
        """Of another region. What the feed's tables hold is not kept on disk: it is asked for anew."""
        settings = self.settings
        return Follower(
            settings.name, region, relay_places(settings, [region]), [region], [],
            follower_settings(settings, settings.rate_between_regions), random, now, self.feed.range_digests,
        )  # fmt: skip

    # ---- links -------------------------------------------------------------------------------------------

    def _heard_downstream(self, far: str, message: Any) -> None:
        now = clock.now()
        match message:
            case Prepare() | Fetch() | Append():
                self._heard_publisher(now, far, message)
            case Follow() if message.follower == far:
                self.feed.on_follow(now, message)
            case Progress() if message.follower == far:
                self.feed.on_progress(now, message)
            case Digests():
                self.feed.on_digests(now, far, message)
            case _:
                self.log.rarely("distribution.misnamed", "follower", far=far, named=message.follower[:64])
        self.carrier.turn()

    def _heard_publisher(self, now: int, far: str, message: Prepare | Fetch | Append) -> None:
        if far not in self.settings.home.publishers:
            self.log.rarely("distribution.stranger", "publisher", far=far)
            return
        match message:
            case Prepare():
                self.replica.on_prepare(now, far, message)
            case Fetch():
                self.replica.on_fetch(now, far, message)
            case Append():
                self.replica.on_append(now, far, message)
        self.feed.on_publisher(now, self.replica.publisher)

    def _downstream_changed(self, far: str, up: bool) -> None:
        if not up:
            self.feed.on_lost(clock.now(), far)
            self.carrier.turn()

    def _heard_upstream(self, far: str, message: Any) -> None:
        follower = self.followers.get(self.region_of[far])
        if follower is not None:
            hear(follower, clock.now(), far, message)
            self.carrier.turn()

    def _upstream_changed(self, far: str, up: bool) -> None:
        follower = self.followers.get(self.region_of[far])
        if follower is not None:
            follower.on_link(clock.now(), far, up)
            self.carrier.turn()

    # ---- decisions ---------------------------------------------------------------------------------------

    def _carry_out(self, core: Core, now: int, decision: Decision) -> None:
        match decision:
            case Send():
                links = self.upstream if isinstance(core, Follower) else self.downstream
                links.say(decision.to, decision.message)
            case Persist():
                self.writer.put(decision)
            case Committed():
                settled = self.replica.log.purged_up_to
                self.feed.on_committed(now, decision.region, decision.changes, settled)
            case Apply():
                digest = self.feed.on_apply(now, decision)
                self.followers[decision.region].on_applied(now, decision.region, decision.upto, digest)
            case ReplaceRange():
                digest = self.feed.on_range(now, decision)
                self.followers[decision.region].on_applied(now, decision.region, decision.upto, digest)
            case SubtreeProgress():
                for follower in self.followers.values():
                    follower.on_progress_below(now, decision.summaries)
            case Dial():
                self.upstream.dial(decision.relay, self._address(decision.relay))
            case Disconnect():
                self.upstream.drop(decision.relay)
            case Event():
                self.log.event(decision.name, **decision.fields)

    def _look_at_replica(self) -> None:
        if self.replica.failed and self._broken is not None:
            broken, self._broken = self._broken, None
            later(self.reactor, broken)

    def _address(self, relay: str) -> tuple[str, int]:
        return self.settings.regions[self.region_of[relay]].relays[relay]

    def _kept(self, keeps: list[Persist]) -> None:
        now = clock.now()
        for keep in keeps:
            self.replica.on_persisted(now, keep.number)
            for send in keep.then:
                self.downstream.say(send.to, send.message)
        self.carrier.turn()

    def _not_kept(self, keeps: list[Persist], error: BaseException) -> None:
        if not isinstance(error, RelayStoreError):
            error = RelayStoreError(f"{type(error).__name__}: {error}", self.settings.store)
        self.replica.on_store_failed(clock.now(), error)
        self.carrier.turn()

    # ---- the process -------------------------------------------------------------------------------------

    def facts(self) -> dict[str, int]:
        """For the counters' line."""
        counters = self.feed.counters
        return {
            "followers": len(self.feed.sessions),
            "links": len(self.downstream.to),
            "epoch": self.replica.epoch,
            "member": int(self.replica.member),
            "committed": self.replica.log.committed,
            "entries": len(self.replica.log),
            "batches": counters.batches,
            "batches_encoded": counters.encoded,
            "ranges": counters.ranges,
            "bytes": counters.bytes,
            "refused_followers": counters.refused,
            "silent_followers": counters.silent,
        }

    def reload(self, path: str) -> None:
        """At SIGHUP: settings of the distribution count from the next start."""
        self.log.event("distribution.not_reloaded", path=path, do="restart the process to take them up")

    def close(self, closed: Callable[[], None]) -> None:
        """In order: no connection, then no turn, then the disk; `closed()` at the end."""
        self.port.stopListening()
        self.carrier.close()
        self.downstream.close()
        self.upstream.close()
        self.writer.close(lambda: self._close_disk(closed))

    def _close_disk(self, closed: Callable[[], None]) -> None:
        self.disk.close()
        closed()


def _feed_settings(settings: DistributionSettings) -> FeedSettings:
    return FeedSettings(
        gather=settings.gather, heartbeat=settings.heartbeat,
        silent=settings.silence + HEARTBEATS_BEYOND * settings.heartbeat, followers_most=settings.followers,
    )  # fmt: skip
