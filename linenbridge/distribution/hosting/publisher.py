"""Hosts a candidate for its region's publisher: a member of the fleet, the state machine, and connections.

Owns the connections to relays and from change clients. The lease's term is read before each pull of
decisions, so that a process that lost the lease while it was paused sends nothing more to relays.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from random import Random
from typing import Any

from linenbridge.distribution.configuration import DistributionSettings, publishers_task
from linenbridge.distribution.decisions import Decision, Event, Send
from linenbridge.distribution.hosting.core_driver import CoreDriver, StateMachine
from linenbridge.distribution.hosting.link_messages import CHANGE_REQUEST_DECODER, PUBLISHER_DECODER
from linenbridge.distribution.log.publisher import Check, Publisher
from linenbridge.distribution.log.replication import PublisherTiming
from linenbridge.distribution.messages import Appended, Fetched, Prepared, Progress, Publish, Published
from linenbridge.fleet.configuration import FleetSettings
from linenbridge.fleet.hosting.member import Member
from linenbridge.fleet.hosting.quorum_member import reload_settings
from linenbridge.logging.event_log import Log
from linenbridge.peering import clock
from linenbridge.peering.connections import PeerConnections, WellFormedNames


class PublisherProcess:
    """A candidate that publishes while it holds its region's task. `check` validates each value."""

    def __init__(
        self,
        settings: DistributionSettings,
        fleet_settings: FleetSettings,
        reactor: Any,
        log: Log,
        check: Check,
        random: Random,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.log = log
        self.task = publishers_task(settings.region)
        relays = settings.home.relays
        self.publisher = Publisher(
            settings.region, settings.name, tuple(relays), PublisherTiming(), random, check
        )
        self.clients = self._new_clients()
        self.relays = PeerConnections(
            settings.name, frozenset(relays), reactor, log, self._on_relay_message, decoder=PUBLISHER_DECODER
        )
        self.driver = CoreDriver(reactor, [self.publisher], self._execute, self._refresh_term)
        self.member = Member(
            fleet_settings, reactor, log, secrets.randbits(60), on_task_changed=self._on_task_changed
        )
        if settings.listen is None:
            raise ValueError(
                "a publisher has no address to listen on; add `listen` to the element distribution"
            )
        self.port = reactor.listenTCP(settings.listen[1], self.clients, interface=settings.listen[0])
        for relay, address in relays.items():
            self.relays.dial(relay, address)
        log.event("distribution.started", role="publisher", name=settings.name, region=settings.region)
        self.driver.turn()

    def _new_clients(self) -> PeerConnections:
        """Return the connections of change clients, which choose their own names."""
        return PeerConnections(
            self.settings.name,
            WellFormedNames(),
            self.reactor,
            self.log,
            self._on_change_request,
            decoder=CHANGE_REQUEST_DECODER,
            max_connections=self.settings.authors,
        )

    def _refresh_term(self, now: int) -> None:
        lease = self.member.active_lease(self.task)
        term = None if lease is None else lease.term
        self.publisher.on_term(now, term)

    def _on_task_changed(self, task: str) -> None:
        if task == self.task:
            self.driver.turn()

    def _on_change_request(self, peer: str, message: Publish) -> None:
        now = clock.now()
        self._refresh_term(now)
        self.publisher.on_publish(now, peer, message)
        self.driver.turn()

    def _on_relay_message(self, peer: str, message: Any) -> None:
        now = clock.now()
        match message:
            case Prepared() if message.relay == peer:
                self.publisher.on_prepared(now, message)
            case Fetched() if message.relay == peer:
                self.publisher.on_fetched(now, message)
            case Appended() if message.relay == peer:
                self.publisher.on_appended(now, message)
            case Progress() if message.follower == peer:
                self.publisher.on_progress(now, peer, message)
            case _:
                self.log.event_sampled("distribution.name_mismatch", "relay", peer=peer)
        self.driver.turn()

    def _execute(self, _state_machine: StateMachine, _now: int, decision: Decision) -> None:
        match decision:
            case Send(to, Published() as response):
                self.clients.send(to, response)
            case Send(to, message):
                self.relays.send(to, message)
            case Event():
                self.log.event(decision.name, **decision.fields)

    def facts(self) -> dict[str, int]:
        """Return the publisher's fields of the log line with counters."""
        publisher = self.publisher
        return {
            **self.member.facts(),
            "change_clients": len(self.clients.by_peer),
            "relays": len(self.relays.by_peer),
            "epoch": publisher.epoch,
            "publishing": int(publisher.leading),
            "committed": publisher.log.committed,
            "entries": len(publisher.log),
        }

    def reload(self, path: str) -> None:
        """On SIGHUP, apply the fleet's settings; those of the distribution take effect at the next start."""
        reload_settings(path, self.member, self.log)

    def close(self, on_closed: Callable[[], None]) -> None:
        """Release the lease, close all connections, then call `on_closed`."""
        self.port.stopListening()
        self.member.leave(lambda: self._close(on_closed))

    def _close(self, on_closed: Callable[[], None]) -> None:
        self.driver.turn()
        self.driver.close()
        self.clients.close()
        self.relays.close()
        on_closed()
