"""The size of a simulated installation, and of what is published in it."""

from __future__ import annotations

from dataclasses import dataclass, field

from linenbridge.distribution.dissemination.settings import FeedSettings, FollowerSettings

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds


@dataclass(frozen=True)
class Shape:
    """Of an installation and of what is published in it."""

    regions: int = 2
    relays: int = 3  # in each region
    gateways: int = 6  # in each region
    keys: int = 60  # of each region
    changes: int = 40  # published in each region after the start
    seconds: int = 30
    delay: int = 5 * MS  # of a link, at most; between regions ten times that
    feed: FeedSettings = field(default_factory=FeedSettings)
    follower: FollowerSettings = field(default_factory=FollowerSettings)
