"""A follower's links to relays: which are wanted, which are up, and who has yet to be told that it was left.

Keeps state without I/O. What a host is to do goes to the follower's decisions, in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container

from linenbridge.distribution.decisions import Decision, Dial, HangUp

MAX_LEFT_RELAYS = (
    8  # relays that are yet to be told that they were left, maybe by an earlier process of this name
)


class RelayLinks:
    """Links by relay. `connected_at` has those that are up, and since when."""

    def __init__(self, decisions: deque[Decision]) -> None:
        self.connected_at: dict[str, int] = {}
        self._wanted: set[str] = set()
        self._decisions = decisions

    def connect(self, relay: str) -> None:
        """Want a link to this relay."""
        if relay not in self._wanted:
            self._wanted.add(relay)
            self._decisions.append(Dial(relay))

    def disconnect(self, relay: str) -> None:
        """Let the link to this relay go."""
        self.connected_at.pop(relay, None)
        if relay in self._wanted:
            self._wanted.discard(relay)
            self._decisions.append(HangUp(relay))

    def disconnect_others(self, wanted: Container[str]) -> None:
        """Let all links go but these."""
        for relay in [relay for relay in self._wanted if relay not in wanted]:
            self.disconnect(relay)


class LeftRelays:
    """Relays that are yet to be told that another one is followed, in the order in which they are tried."""

    def __init__(self, relays: list[str]) -> None:
        self._relays = dict.fromkeys(relays[:MAX_LEFT_RELAYS])

    def __iter__(self):
        return iter(self._relays)

    def add(self, relay: str) -> None:
        """It was followed until now; the oldest goes where there are too many."""
        self._relays[relay] = None
        if len(self._relays) > MAX_LEFT_RELAYS:
            del self._relays[next(iter(self._relays))]

    def discard(self, relay: str) -> None:
        """It has been told, or is followed."""
        self._relays.pop(relay, None)

    def next(self) -> str | None:
        """The one to try now; the others come before it is tried again."""
        relay = next(iter(self._relays), None)
        if relay is not None:
            del self._relays[relay]
            self._relays[relay] = None
        return relay
