"""What gateways and relays share as followers: their settings for the core, and messages handed to it.

Owns the translation between links and a `Follower`'s inputs.
"""

from __future__ import annotations

from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.distribution.dissemination.follower import Follower, FollowerSettings
from linenbridge.distribution.messages import Batch, FollowRejected, RangeSnapshot
from linenbridge.distribution.dissemination.relay_selection import RelayPlace


def follower_settings(settings: DistributionSettings, rate: int) -> FollowerSettings:
    """`rate` in bytes a second; 0: no bound."""
    return FollowerSettings(rate=rate, silence=settings.silence, heartbeat=settings.heartbeat)


def relay_places(settings: DistributionSettings, regions: list[str]) -> list[RelayPlace]:
    """The relays of these regions."""
    return [RelayPlace(relay, region) for region in regions for relay in settings.regions[region].relays]


def relay_names(settings: DistributionSettings) -> frozenset[str]:
    """The relays of all regions."""
    return frozenset(relay for region in settings.regions.values() for relay in region.relays)


def hear(follower: Follower, now: int, relay: str, message: Batch | RangeSnapshot | FollowRejected) -> None:
    """A relay's message to the core's input of its kind."""
    match message:
        case Batch():
            follower.on_batch(now, relay, message)
        case RangeSnapshot():
            follower.on_whole(now, relay, message)
        case FollowRejected():
            follower.on_refused(now, relay, message)
