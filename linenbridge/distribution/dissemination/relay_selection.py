"""Selection of relays: each follower's own order of relays, and a backoff for those that failed.

Decides without I/O. The order is by rendezvous hashing (Thaler and Ravishankar, 1998): each follower ranks
its region's relays by a hash over both names, so that followers spread evenly and those of a lost relay
spread over all others. Relays of other regions come after all of the own one.
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
    """The names of the relays in the follower's order, the best one first."""

    def rank(relay: RelayLocation) -> tuple[bool, bytes]:
        score = blake2b(f"{follower}/{relay.name}".encode(), digest_size=8).digest()
        return relay.region != home_region, score

    return [relay.name for relay in sorted(relays, key=rank)]


class RelayOrder:
    """A follower's order of relays and their backoff.

    A backoff doubles with each failure in a row, up to MAX_BACKOFF, plus a random part of up to half of it.
    Times are in microseconds.
    """

    def __init__(self, follower: str, home_region: str, relays: list[RelayLocation], random: Random) -> None:
        self.names = rank_relays(follower, home_region, relays)
        self._backoff_by_relay = {name: _Backoff() for name in self.names}
        self._random = random

    def __contains__(self, relay: str) -> bool:
        return relay in self._backoff_by_relay

    def prefers(self, relay: str, other: str) -> bool:
        """Whether a relay comes before another in the order."""
        return self.names.index(relay) < self.names.index(other)

    def on_failed(self, now: int, relay: str, min_wait: int = 0) -> None:
        """A relay failed: it is not usable for its backoff, and for `min_wait` at least."""
        backoff = self._backoff_by_relay[relay]
        wait = min(MIN_BACKOFF << backoff.failures, MAX_BACKOFF)
        wait = max(min_wait, wait + self._random.randrange(wait // 2))
        backoff.failures = min(backoff.failures + 1, 8)
        backoff.until = now + wait

    def on_served(self, relay: str) -> None:
        """A relay has served for a while: its next failure counts as the first."""
        self._backoff_by_relay[relay] = _Backoff()

    def usable(self, now: int, without: str = "") -> list[str]:
        """The relays whose backoff is over, in order."""
        return [name for name in self.names if name != without and self._backoff_by_relay[name].until <= now]

    def next_to_try(self, now: int) -> list[str]:
        """The usable relays, fewest failures in a row first: all are tried before one is tried again."""
        return sorted(self.usable(now), key=lambda name: self._backoff_by_relay[name].failures)

    def next_usable_at(self) -> int:
        """When the first relay is usable."""
        return min(backoff.until for backoff in self._backoff_by_relay.values())
