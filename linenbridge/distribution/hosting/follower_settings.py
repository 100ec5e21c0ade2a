"""What gateways and relays share as hosts of a `Follower`: its settings, and its inputs for messages."""

from __future__ import annotations

from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.distribution.dissemination.follower import Follower
from linenbridge.distribution.dissemination.relay_selection import RelayLocation
from linenbridge.distribution.dissemination.settings import FollowerSettings
from linenbridge.distribution.messages import Batch, FollowRejected, RangeSnapshot


def follower_settings(settings: DistributionSettings, rate: int) -> FollowerSettings:
    """Settings of a `Follower` that takes `rate` bytes a second; 0: no bound."""
    return FollowerSettings(rate=rate, relay_timeout=settings.silence, heartbeat=settings.heartbeat)


def relay_locations(settings: DistributionSettings, regions: list[str]) -> list[RelayLocation]:
    """The relays of these regions."""
    return [RelayLocation(relay, region) for region in regions for relay in settings.regions[region].relays]


def relay_names(settings: DistributionSettings) -> frozenset[str]:
    """The relays of all regions."""
    return frozenset(relay for region in settings.regions.values() for relay in region.relays)


def deliver(
    follower: Follower, now: int, relay: str, message: Batch | RangeSnapshot | FollowRejected
) -> None:
    """Call the input of the follower for a relay's message. `now` in microseconds."""
    match message:
        case Batch():
            follower.on_batch(now, relay, message)
        case RangeSnapshot():
            follower.on_range_snapshot(now, relay, message)
        case FollowRejected():
            follower.on_rejected(now, relay, message)
