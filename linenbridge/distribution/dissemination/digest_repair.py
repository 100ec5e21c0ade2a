"""The decision what to do about a digest mismatch: follow another relay, or request the ranges that differ.

Decides without I/O. Either side may be wrong, and ranges of a wrong relay would make the follower wrong too.
Ranges are requested only if another relay's digest differed as well, or if there is no other relay. If the
digest still differs after a repair, another relay is followed.
"""

from __future__ import annotations


class DigestRepair:
    """Per region: which relay's digest differed first, and whether the relay now followed has repaired it."""

    def __init__(self) -> None:
        self._repaired: set[str] = set()  # regions whose ranges came from the relay now followed
        self._first_mismatch: dict[str, str] = {}  # by region, the relay whose digest differed first

    def on_new_relay(self) -> None:
        """The follower takes up another relay."""
        self._repaired.clear()

    def on_repaired(self, region: str) -> None:
        """All requested ranges of a region have arrived."""
        self._repaired.add(region)

    def on_equal(self, region: str) -> None:
        """The digests of a region are equal."""
        self._first_mismatch.pop(region, None)

    def may_repair(self, region: str, relay: str, *, alone: bool) -> bool:
        """Whether to request ranges from this relay. If not, the relay is remembered as the one that
        differed, and the follower has to take up another. `alone`: there is no other relay."""
        elsewhere = self._first_mismatch.get(region, relay) != relay
        if region not in self._repaired and (alone or elsewhere):
            return True
        self._first_mismatch[region] = relay
        return False
