"""A follower's links to relays: which are wanted, which are connected, and which relays to notify.

Keeps state without I/O. Requests to the host are appended to the follower's decisions, in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterator

from linenbridge.distribution.decisions import Decision, Dial, Disconnect

MAX_LEFT_RELAYS = (
    8  # to be notified that another relay is followed; an earlier process of this name may have left them
)


class RelayLinks:
    """Links by relay. `connected_at` has the connected ones, with the time in microseconds."""

    def __init__(self, decisions: deque[Decision]) -> None:
        self.connected_at: dict[str, int] = {}
        self._wanted: set[str] = set()
        self._decisions = decisions

    def connect(self, relay: str) -> None:
        """Request a link to a relay."""
        if relay not in self._wanted:
            self._wanted.add(relay)
            self._decisions.append(Dial(relay))

    def disconnect(self, relay: str) -> None:
        """Close the link to a relay."""
        self.connected_at.pop(relay, None)
        if relay in self._wanted:
            self._wanted.discard(relay)
            self._decisions.append(Disconnect(relay))

    def disconnect_others(self, wanted: Container[str]) -> None:
        """Close all links but these."""
        for relay in [relay for relay in self._wanted if relay not in wanted]:
            self.disconnect(relay)


class LeftRelays:
    """Relays to be notified that another one is followed, in the order in which they are tried."""

    def __init__(self, relays: list[str]) -> None:
        self._relays = dict.fromkeys(relays[:MAX_LEFT_RELAYS])

    def __iter__(self) -> Iterator[str]:
        return iter(self._relays)

    def add(self, relay: str) -> None:
        """Add a relay that was followed until now; beyond the bound the oldest is dropped."""
        self._relays[relay] = None
        if len(self._relays) > MAX_LEFT_RELAYS:
            del self._relays[next(iter(self._relays))]

    def discard(self, relay: str) -> None:
        """Remove a relay that has been notified or is followed."""
        self._relays.pop(relay, None)

    def next(self) -> str | None:
        """The relay to try now; it moves behind the others."""
        relay = next(iter(self._relays), None)
        if relay is not None:
            del self._relays[relay]
            self._relays[relay] = None
        return relay
