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
from linenbridge.distribution.hosting.link_messages import AUTHOR_TAKES
from linenbridge.distribution.messages import Publish, Published
from linenbridge.peering.connections import PeerConnections
from linenbridge.logging.event_log import Log

ASK_AGAIN = 0.3  # seconds before the next candidate is asked
TRY_ANOTHER = frozenset((NotPublisher.code, PublisherBusy.code))


@dataclass
class Outcome:
    """What is known of the change in the end. `maybe_kept`: somebody may have kept it who did not say so."""

    accepted: Published | None = None
    in_force: Published | None = None
    refused: Published | None = None
    maybe_kept: bool = False


class Author:
    """`said(published)` is called with each news of the change; `ended()` once nothing more will come."""

    def __init__(
        self, region: Region, change: Publish, reactor: Any, log: Log,
        said: Callable[[Published], None], ended: Callable[[], None],
    ) -> None:  # fmt: skip
        self.change, self.reactor, self.said, self.ended = change, reactor, said, ended
        self.outcome = Outcome()
        self.candidates = list(region.publishers)
        self.waits_for = ""  # the candidate that is asked
        self.timer: Any = None
        name = f"author-{os.getpid()}-{secrets.token_hex(4)}"
        self.connections = PeerConnections(
            name, frozenset(self.candidates), reactor, log, self._heard, decoder=AUTHOR_TAKES,
            on_peer_changed=self._link_changed,
        )  # fmt: skip
        for candidate, address in region.publishers.items():
            self.connections.dial(candidate, address)

    def _link_changed(self, far: str, *, connected: bool) -> None:
        if connected and not self.waits_for:
            self._ask(far)
        elif not connected and far == self.waits_for and not self._is_over():
            self.outcome.maybe_kept = True
            self._ask_next()

    def _is_over(self) -> bool:
        return self.outcome.accepted is not None or self.outcome.refused is not None

    def _ask(self, candidate: str) -> None:
        self.waits_for = candidate
        self.connections.send(candidate, self.change)

    def _ask_next(self) -> None:
        """The next in turn that has a link, after a while."""
        self.timer = self.reactor.callLater(ASK_AGAIN, self._ask_after, self.waits_for)
        self.waits_for = ""

    def _ask_after(self, last: str) -> None:
        if self.waits_for or self._is_over():
            return
        place = self.candidates.index(last) + 1
        turn = self.candidates[place:] + self.candidates[:place]
        linked = [candidate for candidate in turn if candidate in self.connections.by_peer]
        if linked:
            self._ask(linked[0])

    def _heard(self, far: str, published: Published) -> None:
        if far != self.waits_for or published.request != self.change.request:
            return
        match published.state:
            case "accepted":
                self.outcome.accepted = published
                self.said(published)
            case "in_force":
                self.outcome.in_force = published
                self.said(published)
                self.ended()
            case "refused" if published.code in TRY_ANOTHER:
                self._ask_next()
            case "refused":
                self.outcome.refused = published
                self.said(published)
                self.ended()
            case _:
                self.outcome.maybe_kept = True
                self.said(published)
                self._ask_next()

    def close(self) -> None:
        """No more is waited for."""
        self.outcome.maybe_kept |= bool(self.waits_for) and not self._is_over()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.connections.close()
