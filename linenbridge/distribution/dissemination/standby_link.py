"""The standby link of a follower, which goes to the most preferred relay beside the followed one.

The module decides without I/O to which relay the link goes, and when a relay that is preferred to the
followed one has been connected for long enough to be followed again.
"""

from __future__ import annotations

from linenbridge.distribution.dissemination.relay_links import RelayLinks
from linenbridge.distribution.dissemination.relay_selection import RelayOrder
from linenbridge.distribution.dissemination.settings import FollowerSettings


class StandbyLink:
    """The standby link of a follower. `relay` is the relay to which the link goes, connected or not, or an
    empty string."""

    def __init__(self, order: RelayOrder, links: RelayLinks, settings: FollowerSettings, now: int) -> None:
        self.relay = ""
        self._order = order
        self._links = links
        self._settings = settings
        self._deadline = now

    def release(self, relay: str) -> None:
        """Give up the link if it goes to `relay`, which is followed over this link from now on."""
        if self.relay == relay:
            self.relay = ""

    def update(self, now: int, followed: str) -> None:
        """Move the link to the most preferred usable relay. A relay that did not connect in time failed."""
        if self.relay and self.relay not in self._links.connected_at and now >= self._deadline:
            failed = self.relay
            self.relay = ""
            self._order.on_failed(now, failed)
            self._links.disconnect(failed)
        usable = self._order.usable(now, without=followed)
        best = usable[0] if usable else ""
        if best and best != self.relay and (not self.relay or self._order.prefers(best, self.relay)):
            self._change(now, best)

    def _change(self, now: int, relay: str) -> None:
        if self.relay:
            self._links.disconnect(self.relay)
        self.relay = relay
        self._deadline = now + 2 * self._settings.connect_timeout
        self._links.connect(relay)

    def should_fail_back(self, now: int, followed: str, followed_at: int, session: int) -> bool:
        """Return whether the link goes to a relay that is preferred to `followed` and has been connected for
        long enough. That time depends on the number of the session, so that the followers do not all return
        at once."""
        connected_at = self._links.connected_at.get(self.relay)
        if connected_at is None or not self._order.prefers(self.relay, followed):
            return False
        after = self._settings.failback_after
        return now - max(connected_at, followed_at) >= after + session % (after + 1)
