"""Which relay a follower takes next: an order of its own, and back-off from those that failed it.

Decides without I/O. The order is by rendezvous hashing: each follower ranks its region's relays by a hash
over both names, so that followers spread evenly, and those of a lost relay spread over all others. Relays of
other regions come after all of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from random import Random

MILLISECOND = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
MIN_BACKOFF = 500 * MILLISECOND
MAX_BACKOFF = 4 * SECOND


@dataclass(frozen=True)
class RelayLocation:
    """A relay's name and region, from the settings."""

    name: str
    region: str


@dataclass(slots=True)
class _Backoff:
    failures: int = 0
    until: int = 0


def rank_relays(follower: str, home_region: str, relays: list[RelayLocation]) -> list[str]:
    """The relays in the follower's order, the first the best."""

    def rank(relay: RelayLocation) -> tuple[bool, bytes]:
        score = blake2b(f"{follower}/{relay.name}".encode(), digest_size=8).digest()
        return relay.region != home_region, score

    return [relay.name for relay in sorted(relays, key=rank)]


class RelayOrder:
    """The follower's order and who is left alone until when. A back-off doubles with each failure in a row,
    with up to half of it more by chance."""

    def __init__(self, follower: str, home_region: str, relays: list[RelayLocation], random: Random) -> None:
        self.names = rank_relays(follower, home_region, relays)
        self._backoff_by_relay = {name: _Backoff() for name in self.names}
        self._random = random

    def __contains__(self, relay: str) -> bool:
        return relay in self._backoff_by_relay

    def prefers(self, relay: str, other: str) -> bool:
        return self.names.index(relay) < self.names.index(other)

    def on_failed(self, now: int, relay: str, min_wait: int = 0) -> None:
        """Leave a relay alone for its back-off, or `min_wait` microseconds."""
        backoff = self._backoff_by_relay[relay]
        wait = min(MIN_BACKOFF << backoff.failures, MAX_BACKOFF)
        wait = max(min_wait, wait + self._random.randrange(wait // 2))
        backoff.failures = min(backoff.failures + 1, 8)
        backoff.until = now + wait

    def on_served(self, relay: str) -> None:
        """It has served for a while: the next failure counts as the first."""
        self._backoff_by_relay[relay] = _Backoff()

    def usable(self, now: int, without: str = "") -> list[str]:
        """Those that are not left alone now, in order."""
        return [name for name in self.names if name != without and self._backoff_by_relay[name].until <= now]

    def next_to_try(self, now: int) -> list[str]:
        """The same, those that failed least in a row first: all are tried before one is tried again."""
        return sorted(self.usable(now), key=lambda name: self._backoff_by_relay[name].failures)

    def next_usable_at(self) -> int:
        """When the first relay is usable again."""
        return min(backoff.until for backoff in self._backoff_by_relay.values())
