"""Functions for hosts of a `Follower` (gateways and relays): its settings, and the input for each message."""

from __future__ import annotations

from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.dissemination.relay_selection import RelayLocation
from linenbridge.distribution.dissemination.settings import FollowerSettings
from linenbridge.distribution.messages import Batch, FollowRejected, RangeSnapshot


def follower_settings(settings: DistributionSettings, rate: int) -> FollowerSettings:
    """Return the settings of a `Follower` that receives up to `rate` bytes a second; 0: no bound."""
    return FollowerSettings(rate=rate, relay_timeout=settings.silence, heartbeat=settings.heartbeat)


def relay_locations(settings: DistributionSettings, regions: list[str]) -> list[RelayLocation]:
    """Return the name and region of each relay of `regions`."""
    return [RelayLocation(relay, region) for region in regions for relay in settings.regions[region].relays]


def relay_names(settings: DistributionSettings) -> frozenset[str]:
    """Return the names of the relays of all regions."""
    return frozenset(relay for region in settings.regions.values() for relay in region.relays)


def deliver(
    follower: Follower, now: int, relay: str, message: Batch | RangeSnapshot | FollowRejected
) -> None:
    """Pass a relay's message to the input of the follower for its type. `now` is in microseconds."""
    match message:
        case Batch():
            follower.on_batch(now, relay, message)
        case RangeSnapshot():
            follower.on_range_snapshot(now, relay, message)
        case FollowRejected():
            follower.on_rejected(now, relay, message)
