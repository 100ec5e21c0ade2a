"""What a follower does about a digest that differs: go to another relay, or take the ranges that differ.

Decides without I/O. Either side may be wrong, and ranges of a relay that is wrong would make the follower so
too: ranges are taken only where another relay's digest differed before, or there is no other relay. Where they
did not help, another relay is taken.
"""

from __future__ import annotations


class DigestRepair:
    """Which regions differ, and at which relay they did first."""

    def __init__(self) -> None:
        self._repaired: set[str] = set()  # regions whose ranges were taken anew from the relay now followed
        self._first_mismatch: dict[str, str] = {}  # by region, the relay whose digest was another one first

    def on_new_relay(self) -> None:
        """Another relay is followed."""
        self._repaired.clear()

    def on_repaired(self, region: str) -> None:
        """All ranges that were asked for are here."""
        self._repaired.add(region)

    def on_equal(self, region: str) -> None:
        """The digests are the same."""
        self._first_mismatch.pop(region, None)

    def may_repair(self, region: str, relay: str, alone: bool) -> bool:
        """Whether ranges are to be taken from this relay; else another relay is to be taken, and this one is
        remembered. `alone`: there is no other relay."""
        elsewhere = self._first_mismatch.get(region, relay) != relay
        if region not in self._repaired and (alone or elsewhere):
            return True
        self._first_mismatch[region] = relay
        return False
