"""Counters of a feed and of a follower since their start.

The feed and the follower increment the counters; their hosts log them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FeedCounters:
    """Counters of a relay's feed.

    `malformed` counts malformed `Digests` messages, `rejected` rejections of followers, and `silent`
    followers that timed out.
    """

    batches: int = 0
    ranges: int = 0
    heartbeats: int = 0
    bytes: int = 0  # of encoded changes
    encoded: int = 0  # batches encoded; the others were sent from the cache
    rejected: int = 0
    silent: int = 0
    malformed: int = 0


@dataclass(slots=True)
class FollowerCounters:
    """Counters of a follower.

    `ignored` counts stale and repeated messages and messages of other relays, sessions or regions, `gaps`
    messages after a missing one, `malformed` messages that failed a check, `digest_mismatches` digests that
    differed from the relay's, `rejected` rejections by relays, `silent` relays that timed out, and `lost`
    broken links to the followed relay.
    """

    batches: int = 0
    changes: int = 0
    ranges: int = 0
    ignored: int = 0
    gaps: int = 0
    malformed: int = 0
    digest_mismatches: int = 0
    rejected: int = 0
    silent: int = 0
    lost: int = 0
    sessions: int = 0
