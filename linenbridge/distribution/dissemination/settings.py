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
    heartbeat: int = SECOND  # between two messages to a follower, at most
    follower_timeout: int = 5 * SECOND  # without a message from a follower; then its session ends
    max_followers: int = 400  # of this relay, not counting other regions' relays
    window: int = 262_144  # unacknowledged bytes of one follower; less than a link's send buffer
    rejection_wait: int = 5 * SECOND  # before a rejected follower may try this relay again
    catch_up_time: int = 60 * SECOND  # after a start; until then followers that are ahead are rejected
    report_interval: int = 250 * MILLISECOND  # between two reports of progress while something changes
    max_tombstones: int = MAX_TOMBSTONES


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Settings of a follower; `rate` is in bytes a second."""

    rate: int = 14_000  # 0: no bound
    relay_timeout: int = 2_500 * MILLISECOND  # without a message from the relay; then another is followed
    connect_timeout: int = SECOND  # until a dialled link is connected
    jitter: int = (
        400 * MILLISECOND
    )  # at most, before the next relay is followed; spreads the followers of a lost one
    progress_interval: int = 200 * MILLISECOND  # between two reports of progress while something changes
    heartbeat: int = SECOND  # between two reports of progress, at most
    backoff_reset_after: int = 10 * SECOND  # of service, after which a relay's earlier failures are forgotten
    failback_after: int = (
        20 * SECOND
    )  # at least, for which a better relay is connected before it is followed again
    malformed_backoff: int = 30 * SECOND  # before a relay that sent a malformed message is tried again
    range_timeout: int = 5 * SECOND  # without a part of the requested ranges; then they are requested again
    max_unknown_regions: int = 16  # regions that are accepted without being named in the settings
