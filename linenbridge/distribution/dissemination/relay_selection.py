"""Which relay a follower takes next: an order of its own, and back-off from those that failed it.

Decides without I/O. The order is by rendezvous hashing: each follower ranks its region's relays by a hash
over both names, so that followers spread evenly, and those of a lost relay spread over all others. Relays of
other regions come after all of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from random import Random

MILLISECOND, SECOND = 1_000, 1_000_000
BACK_OFF_FIRST, BACK_OFF_MOST = 500 * MILLISECOND, 4 * SECOND


@dataclass(frozen=True)
class RelayPlace:
    """A relay's name and region, from the settings."""

    name: str
    region: str


@dataclass(slots=True)
class _BackOff:
    failures: int = 0
    until: int = 0


def ranked(follower: str, home_region: str, relays: list[RelayPlace]) -> list[str]:
    """The relays in the follower's order, the first the best."""

    def rank(relay: RelayPlace) -> tuple[bool, bytes]:
        score = blake2b(f"{follower}/{relay.name}".encode(), digest_size=8).digest()
        return relay.region != home_region, score

    return [relay.name for relay in sorted(relays, key=rank)]


class RelayOrder:
    """The follower's order and who is left alone until when. A back-off doubles with each failure in a row,
    with up to half of it more by chance."""

    def __init__(self, follower: str, home_region: str, relays: list[RelayPlace], random: Random) -> None:
        self.names = ranked(follower, home_region, relays)
        self._back_off = {name: _BackOff() for name in self.names}
        self._random = random

    def __contains__(self, relay: str) -> bool:
        return relay in self._back_off

    def better(self, relay: str, other: str) -> bool:
        return self.names.index(relay) < self.names.index(other)

    def failed(self, now: int, relay: str, at_least: int = 0) -> None:
        """Leave a relay alone for its back-off, or `at_least` microseconds."""
        back_off = self._back_off[relay]
        wait = min(BACK_OFF_FIRST << back_off.failures, BACK_OFF_MOST)
        wait = max(at_least, wait + self._random.randrange(wait // 2))
        back_off.failures = min(back_off.failures + 1, 8)
        back_off.until = now + wait

    def served(self, relay: str) -> None:
        """It has served for a while: the next failure counts as the first."""
        self._back_off[relay] = _BackOff()

    def usable(self, now: int, without: str = "") -> list[str]:
        """Those that are not left alone now, in order."""
        return [name for name in self.names if name != without and self._back_off[name].until <= now]

    def next_to_try(self, now: int) -> list[str]:
        """The same, those that failed least in a row first: all are tried before one is tried again."""
        return sorted(self.usable(now), key=lambda name: self._back_off[name].failures)

    def next_usable_at(self) -> int:
        """When the first relay is usable again."""
        return min(back_off.until for back_off in self._back_off.values())
