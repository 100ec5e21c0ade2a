"""The reaction to a digest mismatch: follow another relay, or request the ranges that differ.

The module decides without I/O. Either side may have the wrong state, and ranges from a relay with a wrong
state would spread it to the follower. Ranges are requested only if the digest of another relay differed as
well, or if there is no other relay. If the digest still differs after a repair, the follower follows another
relay.
"""

from __future__ import annotations


class DigestRepair:
    """By region, the relay whose digest differed first and whether the current relay has sent ranges."""

    def __init__(self) -> None:
        self._repaired: set[str] = set()  # regions whose ranges came from the current relay
        self._first_mismatch: dict[str, str] = {}  # the relay whose digest differed first, by region

    def on_new_relay(self) -> None:
        """Forget the repairs of the previous relay: another relay is followed."""
        self._repaired.clear()

    def on_repaired(self, region: str) -> None:
        """Record that all requested ranges of a region have been received."""
        self._repaired.add(region)

    def on_equal(self, region: str) -> None:
        """Forget the mismatch of a region: its digests are equal now."""
        self._first_mismatch.pop(region, None)

    def may_repair(self, region: str, relay: str, *, is_only_relay: bool) -> bool:
        """Return whether to request ranges from `relay`, whose digest differs.

        If the result is False, the relay is recorded as the one that differed first, and the follower has to
        follow another relay. `is_only_relay` says that there is no other relay.
        """
        differed_elsewhere = self._first_mismatch.get(region, relay) != relay
        if region not in self._repaired and (is_only_relay or differed_elsewhere):
            return True
        self._first_mismatch[region] = relay
        return False
