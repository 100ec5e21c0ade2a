"""The client of one change: sends the change to its region's publisher and collects the responses.

Owns the connections to the candidates and selects the candidate: the client tries the next one when a
candidate is not the publisher, or when its connection is lost before it has accepted the change. Sending a
change twice is harmless, since the same value is published again. A change that some candidate may have
stored is never reported as rejected.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from linenbridge.distribution.configuration import Region
from linenbridge.distribution.errors import NotPublisher, PublisherBusy
from linenbridge.distribution.hosting.link_messages import CHANGE_CLIENT_DECODER
from linenbridge.distribution.messages import Publish, Published
from linenbridge.logging.event_log import Log
from linenbridge.peering.connections import PeerConnections

RETRY_DELAY = 0.3  # seconds before the change is sent to the next candidate
NEXT_CANDIDATE_CODES = frozenset((NotPublisher.code, PublisherBusy.code))


@dataclass
class Outcome:
    """The final responses to a change, and whether a candidate may have stored it without confirming it."""

    accepted: Published | None = None
    in_force: Published | None = None
    rejected: Published | None = None
    maybe_accepted: bool = False


class ChangeClient:
    """Sends `change` until a candidate has accepted or rejected it.

    Calls `on_response(published)` with each response that changes the outcome, and `on_done()` after the last
    one. Responses that only lead to the next candidate are not passed on.
    """

    def __init__(
        self,
        region: Region,
        change: Publish,
        reactor: Any,
        log: Log,
        on_response: Callable[[Published], None],
        on_done: Callable[[], None],
    ) -> None:
        self.change = change
        self.reactor = reactor
        self.on_response = on_response
        self.on_done = on_done
        self.outcome = Outcome()
        self.candidates = list(region.publishers)
        self.pending_candidate = ""  # only its responses are used; "" between two candidates
        self.timer: Any = None
        name = f"author-{os.getpid()}-{secrets.token_hex(4)}"
        self.connections = PeerConnections(
            name,
            frozenset(self.candidates),
            reactor,
            log,
            self._on_published,
            decoder=CHANGE_CLIENT_DECODER,
            on_peer_changed=self._on_connection_changed,
        )
        for candidate, address in region.publishers.items():
            self.connections.dial(candidate, address)

    def _on_connection_changed(self, peer: str, *, connected: bool) -> None:
        if connected and not self.pending_candidate:
            self._send_to(peer)
        elif not connected and peer == self.pending_candidate and not self._is_decided():
            self.outcome.maybe_accepted = True
            self._try_next_candidate()

    def _is_decided(self) -> bool:
        return self.outcome.accepted is not None or self.outcome.rejected is not None

    def _send_to(self, candidate: str) -> None:
        self.pending_candidate = candidate
        self.connections.send(candidate, self.change)

    def _try_next_candidate(self) -> None:
        """After a delay, send the change to the next connected candidate in the order of the settings."""
        self.timer = self.reactor.callLater(RETRY_DELAY, self._send_to_next, self.pending_candidate)
        self.pending_candidate = ""

    def _send_to_next(self, previous_candidate: str) -> None:
        if self.pending_candidate or self._is_decided():
            return
        next_index = self.candidates.index(previous_candidate) + 1
        in_order = self.candidates[next_index:] + self.candidates[:next_index]
        connected = [candidate for candidate in in_order if candidate in self.connections.by_peer]
        if connected:
            self._send_to(connected[0])

    def _on_published(self, peer: str, published: Published) -> None:
        if peer != self.pending_candidate or published.request != self.change.request:
            return
        match published.state:
            case "accepted":
                self.outcome.accepted = published
                self.on_response(published)
            case "in_force":
                self.outcome.in_force = published
                self.on_response(published)
                self.on_done()
            case "refused" if published.code in NEXT_CANDIDATE_CODES:
                self._try_next_candidate()
            case "refused":
                self.outcome.rejected = published
                self.on_response(published)
                self.on_done()
            case _:
                self.outcome.maybe_accepted = True
                self.on_response(published)
                self._try_next_candidate()

    def close(self) -> None:
        """Close all connections; a change that was sent and has no response yet may still be accepted."""
        self.outcome.maybe_accepted |= bool(self.pending_candidate) and not self._is_decided()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.connections.close()
