"""Settings of a relay's feed and of a follower, with their defaults.

Times are in microseconds, sizes in bytes.
"""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.distribution.dissemination.compacted_log import MAX_TOMBSTONES

MILLISECOND = 1_000  # microseconds
SECOND = 1_000_000  # microseconds


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Settings of a relay's feed."""

    batch_interval: int = 200 * MILLISECOND  # between two batches to the same follower
    heartbeat: int = SECOND  # maximum time between two messages to a follower
    follower_timeout: int = 5 * SECOND  # time without a message from a follower after which its session ends
    max_followers: int = 400  # of this relay, not counting relays of other regions
    window: int = 262_144  # unacknowledged bytes per follower; below the size of a link's send buffer
    rejection_wait: int = 5 * SECOND  # before a rejected follower may try this relay again
    catch_up_time: int = 60 * SECOND  # after a start, during which followers that are ahead are rejected
    report_interval: int = 250 * MILLISECOND  # minimum time between two reports of progress
    max_tombstones: int = MAX_TOMBSTONES


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Settings of a follower. `rate` is in bytes per second."""

    rate: int = 14_000  # 0: no limit
    relay_timeout: int = 2_500 * MILLISECOND  # time without a message after which another relay is followed
    connect_timeout: int = SECOND  # until a dialled link is connected
    jitter: int = 400 * MILLISECOND  # maximum delay before the next relay; spreads a lost relay's followers
    progress_interval: int = 200 * MILLISECOND  # minimum time between two reports of progress
    heartbeat: int = SECOND  # maximum time between two reports of progress
    backoff_reset_after: int = 10 * SECOND  # of service before a relay's backoff is reset
    failback_after: int = 20 * SECOND  # minimum time a preferred relay is connected before it is followed
    malformed_backoff: int = 30 * SECOND  # before a relay that sent a malformed message is tried again
    range_timeout: int = 5 * SECOND  # time without a part of the requested ranges until the next request
    max_unknown_regions: int = 16  # accepted if the settings name no regions
