"""Settings of a relay's feed and of a follower, with the values that hold where an installation says nothing.

Owns the defaults. Times are in microseconds, sizes in bytes.
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
    heartbeat: int = SECOND  # a follower hears something at least so often
    follower_timeout: int = 5 * SECOND  # without a word from a follower; then it is let go
    max_followers: int = 400  # at this relay, beside other regions' relays
    window: int = 262_144  # unacknowledged bytes of one follower; less than a link holds unsent
    rejection_wait: int = 5 * SECOND  # how long a refused follower leaves this relay alone
    catch_up_time: int = (
        60 * SECOND
    )  # after a start, followers that are ahead of this relay are sent elsewhere
    report_interval: int = 250 * MILLISECOND  # between two sums, while something changes
    max_tombstones: int = MAX_TOMBSTONES


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Settings of a follower; `rate` is in bytes a second."""

    rate: int = 14_000  # 0: no bound
    relay_timeout: int = 2_500 * MILLISECOND  # without a word of the relay; then another is taken
    connect_timeout: int = SECOND  # until a dialled link is up
    jitter: int = 400 * MILLISECOND  # before a lost relay's followers go on at the next, each at its own time
    progress_interval: int = 200 * MILLISECOND  # between two words on how far it is, while something changes
    heartbeat: int = SECOND  # the relay hears something at least so often
    backoff_reset_after: int = 10 * SECOND  # after that, a relay's earlier failures are forgotten
    failback_after: int = 20 * SECOND  # how long a better relay's link is up before it is gone back to
    malformed_backoff: int = 30 * SECOND  # how long a relay that sent something spoilt is left alone
    range_timeout: int = 5 * SECOND  # without a part of the ranges asked for; then they are asked for again
    max_unknown_regions: int = 16  # regions that are followed without being named in the settings
