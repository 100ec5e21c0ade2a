"""A candidate for a region's publisher on a reactor: a member of the fleet, the core, relays and authors.

Owns the wiring. The lease is looked at before each pull of decisions, so that one that was lost while the
process stood still sends nothing more. It must never decide: what the core says is carried out.
"""

from __future__ import annotations

import secrets
from random import Random
from typing import Any

from linenbridge.distribution.configuration import DistributionSettings, publishers_task
from linenbridge.distribution.decisions import Decision, Event, Send
from linenbridge.distribution.hosting.core_driver import Carrier, Core
from linenbridge.distribution.hosting.link_messages import PUBLISHER_TAKES, PUBLISHER_TAKES_OF_AUTHORS
from linenbridge.distribution.messages import Appended, Fetched, Prepared, Progress, Publish, Published
from linenbridge.distribution.log.replication import PublisherTiming
from linenbridge.distribution.log.publisher import Check, Publisher
from linenbridge.fleet.configuration import FleetTold
from linenbridge.peering import clock
from linenbridge.peering.connections import Links, WellFormedNames
from linenbridge.fleet.hosting.member import Member
from linenbridge.fleet.hosting.quorum_member import again
from linenbridge.logging.event_log import Log


class PublisherProcess:
    """One candidate; it publishes while it holds its region's task. `check` is asked of each value."""

    def __init__(
        self, settings: DistributionSettings, told: FleetTold, reactor: Any, log: Log, check: Check,
        random: Random,
    ) -> None:  # fmt: skip
        self.settings, self.reactor, self.log = settings, reactor, log
        self.task = publishers_task(settings.region)
        relays = settings.home.relays
        self.publisher = Publisher(
            settings.region, settings.name, tuple(relays), PublisherTiming(), random, check
        )
        self.authors = Links(
            settings.name, WellFormedNames(), reactor, log, self._heard_author,
            decoder=PUBLISHER_TAKES_OF_AUTHORS, connections=settings.authors,
        )  # fmt: skip
        self.relays = Links(
            settings.name, frozenset(relays), reactor, log, self._heard_relay, decoder=PUBLISHER_TAKES
        )
        self.carrier = Carrier(reactor, [self.publisher], self._carry_out, self._look_at_lease)
        self.member = Member(told, reactor, log, secrets.randbits(60), tasks_changed=self._tasks_changed)
        if settings.listen is None:
            raise ValueError("a publisher listens")
        self.port = reactor.listenTCP(settings.listen[1], self.authors, interface=settings.listen[0])
        for relay, address in relays.items():
            self.relays.dial(relay, address)
        log.event("distribution.started", role="publisher", name=settings.name, region=settings.region)
        self.carrier.turn()

    def _look_at_lease(self, now: int) -> None:
        held = self.member.holds(self.task)
        self.publisher.on_term(now, None if held is None else held[0])

    def _tasks_changed(self, task: str) -> None:
        if task == self.task:
            self.carrier.turn()

    def _heard_author(self, far: str, message: Publish) -> None:
        now = clock.now()
        self._look_at_lease(now)
        self.publisher.on_publish(now, far, message)
        self.carrier.turn()

    def _heard_relay(self, far: str, message: Any) -> None:
        now = clock.now()
        match message:
            case Prepared() if message.relay == far:
                self.publisher.on_prepared(now, message)
            case Fetched() if message.relay == far:
                self.publisher.on_fetched(now, message)
            case Appended() if message.relay == far:
                self.publisher.on_appended(now, message)
            case Progress() if message.follower == far:
                self.publisher.on_progress(now, far, message)
            case _:
                self.log.rarely("distribution.misnamed", "relay", far=far)
        self.carrier.turn()

    def _carry_out(self, core: Core, now: int, decision: Decision) -> None:
        match decision:
            case Send(to, Published() as answer):
                self.authors.say(to, answer)
            case Send(to, message):
                self.relays.say(to, message)
            case Event():
                self.log.event(decision.name, **decision.fields)

    def facts(self) -> dict[str, int]:
        """For the counters' line."""
        publisher = self.publisher
        return {
            **self.member.facts(),
            "authors": len(self.authors.to),
            "relays": len(self.relays.to),
            "epoch": publisher.epoch,
            "publishing": int(publisher.leading),
            "committed": publisher.log.committed,
            "entries": len(publisher.log),
        }

    def reload(self, path: str) -> None:
        """At SIGHUP: the fleet's part counts at once, the distribution's from the next start."""
        again(path, self.member, self.log)

    def close(self, closed: Any) -> None:
        """The lease is given back; `closed()` at the end."""
        self.port.stopListening()
        self.member.leave(lambda: self._close(closed))

    def _close(self, closed: Any) -> None:
        self.carrier.turn()
        self.carrier.close()
        self.authors.close()
        self.relays.close()
        closed()
