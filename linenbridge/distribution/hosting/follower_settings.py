"""What gateways and relays share as hosts of a `Follower`: its settings, and its inputs for messages."""

from __future__ import annotations

from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.distribution.dissemination.follower import Follower, FollowerSettings
from linenbridge.distribution.dissemination.relay_selection import RelayPlace
from linenbridge.distribution.messages import Batch, Refused, Whole


def follower_settings(settings: DistributionSettings, rate: int) -> FollowerSettings:
    """Settings of a `Follower` that takes `rate` bytes a second; 0: no bound."""
    return FollowerSettings(rate=rate, silence=settings.silence, heartbeat=settings.heartbeat)


def relay_places(settings: DistributionSettings, regions: list[str]) -> list[RelayPlace]:
    """The relays of these regions."""
    return [RelayPlace(relay, region) for region in regions for relay in settings.regions[region].relays]


def relay_names(settings: DistributionSettings) -> frozenset[str]:
    """The relays of all regions."""
    return frozenset(relay for region in settings.regions.values() for relay in region.relays)


def deliver(follower: Follower, now: int, relay: str, message: Batch | Whole | Refused) -> None:
    """Call the input of the follower for a relay's message. `now` in microseconds."""
    match message:
        case Batch():
            follower.on_batch(now, relay, message)
        case Whole():
            follower.on_whole(now, relay, message)
        case Refused():
            follower.on_refused(now, relay, message)
