"""An author of one change: asks the region's publisher for it and hears what becomes of it.

Owns the links to the candidates and which one is asked next: one that does not publish, or whose link is
lost before it has accepted, is followed by the next. Asking twice is harmless: the same value is published
again. It must never call a change refused that may have been kept.
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
from linenbridge.peering.connections import Links
from linenbridge.logging.event_log import Log

RETRY_DELAY = 0.3  # seconds before the next candidate is asked
NEXT_CANDIDATE_CODES = frozenset((NotPublisher.code, PublisherBusy.code))


@dataclass
class Outcome:
    """What is known of the change in the end. `maybe_accepted`: somebody may have kept it who did not
    say so."""

    accepted: Published | None = None
    in_force: Published | None = None
    rejected: Published | None = None
    maybe_accepted: bool = False


class ChangeClient:
    """`on_response(published)` is called with each news of the change; `on_done()` once nothing more
    will come."""

    def __init__(
        self, region: Region, change: Publish, reactor: Any, log: Log,
        on_response: Callable[[Published], None], on_done: Callable[[], None],
    ) -> None:  # fmt: skip
        self.change, self.reactor, self.on_response, self.on_done = change, reactor, on_response, on_done
        self.outcome = Outcome()
        self.candidates = list(region.publishers)
        self.pending_candidate = ""  # the candidate that is asked
        self.timer: Any = None
        name = f"author-{os.getpid()}-{secrets.token_hex(4)}"
        self.connections = Links(
            name, frozenset(self.candidates), reactor, log, self._on_published, decoder=CHANGE_CLIENT_DECODER,
            changed=self._on_connection_changed,
        )  # fmt: skip
        for candidate, address in region.publishers.items():
            self.connections.dial(candidate, address)

    def _on_connection_changed(self, peer: str, connected: bool) -> None:
        if connected and not self.pending_candidate:
            self._request(peer)
        elif not connected and peer == self.pending_candidate and not self._is_over():
            self.outcome.maybe_accepted = True
            self._try_next_candidate()

    def _is_over(self) -> bool:
        return self.outcome.accepted is not None or self.outcome.rejected is not None

    def _request(self, candidate: str) -> None:
        self.pending_candidate = candidate
        self.connections.say(candidate, self.change)

    def _try_next_candidate(self) -> None:
        """The next in turn that has a link, after a while."""
        self.timer = self.reactor.callLater(RETRY_DELAY, self._request_after, self.pending_candidate)
        self.pending_candidate = ""

    def _request_after(self, last: str) -> None:
        if self.pending_candidate or self._is_over():
            return
        position = self.candidates.index(last) + 1
        in_turn = self.candidates[position:] + self.candidates[:position]
        connected = [candidate for candidate in in_turn if candidate in self.connections.to]
        if connected:
            self._request(connected[0])

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
        """No more is waited for."""
        self.outcome.maybe_accepted |= bool(self.pending_candidate) and not self._is_over()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.connections.close()
