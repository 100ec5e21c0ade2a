"""A follower's links to relays: the requested and the connected links, and the relays to be notified.

The module performs no I/O. Requests to the host are appended to the follower's decisions, in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterator

from linenbridge.distribution.decisions import Decision, Dial, Disconnect

# Relays to be notified that another relay is followed; a process of this name may have left them before a
# restart.
MAX_LEFT_RELAYS = 8


class RelayLinks:
    """The links by relay. `connected_at` has the time at which each connected link was connected, in
    microseconds."""

    def __init__(self, decisions: deque[Decision]) -> None:
        self.connected_at: dict[str, int] = {}
        self._wanted: set[str] = set()
        self._decisions = decisions

    def connect(self, relay: str) -> None:
        """Request a link to a relay, unless there is a request already."""
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
        """Close all links except those to the relays in `wanted`."""
        for relay in [relay for relay in self._wanted if relay not in wanted]:
            self.disconnect(relay)


class LeftRelays:
    """The relays to be notified that another one is followed, in the order in which they are tried."""

    def __init__(self, relays: list[str]) -> None:
        self._relays = dict.fromkeys(relays[:MAX_LEFT_RELAYS])

    def __iter__(self) -> Iterator[str]:
        return iter(self._relays)

    def add(self, relay: str) -> None:
        """Add a relay that was followed until now. If there are more than MAX_LEFT_RELAYS, the first one is
        dropped."""
        self._relays[relay] = None
        if len(self._relays) > MAX_LEFT_RELAYS:
            del self._relays[next(iter(self._relays))]

    def discard(self, relay: str) -> None:
        """Remove a relay that has been notified or is followed."""
        self._relays.pop(relay, None)

    def next(self) -> str | None:
        """Return the relay to try now and move it to the end, or return None if there is none."""
        relay = next(iter(self._relays), None)
        if relay is not None:
            del self._relays[relay]
            self._relays[relay] = None
        return relay
