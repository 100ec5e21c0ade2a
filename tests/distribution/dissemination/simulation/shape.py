"""The size of a simulated installation and the amount of its changes."""

from __future__ import annotations

from dataclasses import dataclass, field

from linenbridge.distribution.dissemination.settings import FeedSettings, FollowerSettings

MILLISECOND = 1_000  # microseconds
SECOND = 1_000_000  # microseconds


@dataclass(frozen=True)
class Shape:
    """The size of a simulated installation, the amount of its changes, and its settings."""

    regions: int = 2
    relays: int = 3  # in each region
    gateways: int = 6  # in each region
    keys: int = 60  # in each region
    changes: int = 40  # published in each region after the start
    seconds: int = 30
    delay: int = 5 * MILLISECOND  # of a link within a region; ten times as long between regions
    feed: FeedSettings = field(default_factory=FeedSettings)
    follower: FollowerSettings = field(default_factory=FollowerSettings)
