"""Selection of relays: each follower's own order of relays, and a backoff for the relays that failed.

The module decides without I/O. The order uses rendezvous hashing (Thaler and Ravishankar, 1998): each
follower ranks the relays of its region by a hash of both names, so that followers are spread evenly and those
of a lost relay are spread over all others. Relays of other regions are ranked after those of the follower's
region.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from linenbridge.distribution.dissemination.settings import MILLISECOND, SECOND

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
    """Return the names of the relays in the follower's order of preference."""

    def rank(relay: RelayLocation) -> tuple[bool, bytes]:
        score = blake2b(f"{follower}/{relay.name}".encode(), digest_size=8).digest()
        return relay.region != home_region, score

    return [relay.name for relay in sorted(relays, key=rank)]


class RelayOrder:
    """A follower's order of relays and their backoff.

    The backoff doubles with each consecutive failure, up to MAX_BACKOFF, and a random part of up to half of
    it is added. Times are in microseconds.
    """

    def __init__(self, follower: str, home_region: str, relays: list[RelayLocation], random: Random) -> None:
        self.names = rank_relays(follower, home_region, relays)
        self._backoff_by_relay = {name: _Backoff() for name in self.names}
        self._random = random

    def __contains__(self, relay: str) -> bool:
        return relay in self._backoff_by_relay

    def prefers(self, relay: str, other: str) -> bool:
        """Return whether `relay` comes before `other` in the order."""
        return self.names.index(relay) < self.names.index(other)

    def on_failed(self, now: int, relay: str, min_wait: int = 0) -> None:
        """Make a failed relay unusable for its backoff, and for `min_wait` at least."""
        backoff = self._backoff_by_relay[relay]
        wait = min(MIN_BACKOFF << backoff.failures, MAX_BACKOFF)
        wait = max(min_wait, wait + self._random.randrange(wait // 2))
        backoff.failures = min(backoff.failures + 1, 8)
        backoff.until = now + wait

    def on_served(self, relay: str) -> None:
        """Reset the backoff of a relay that has served for a while."""
        self._backoff_by_relay[relay] = _Backoff()

    def usable(self, now: int, without: str = "") -> list[str]:
        """Return the relays whose backoff is over, in order, except `without`."""
        return [name for name in self.names if name != without and self._backoff_by_relay[name].until <= now]

    def next_to_try(self, now: int) -> list[str]:
        """Return the usable relays, those with the fewest consecutive failures first, so that all are tried
        before one is tried again."""
        return sorted(self.usable(now), key=lambda name: self._backoff_by_relay[name].failures)

    def next_usable_at(self) -> int:
        """Return the earliest time at which any relay is usable."""
        return min(backoff.until for backoff in self._backoff_by_relay.values())
