"""Counters of a feed and of a follower since their start.

Owns the names of the counters. The cores increment them; hosts log them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FeedCounters:
    """Counters of a relay's feed; `malformed` counts `Digests` messages, `rejected` rejections of followers,
    `silent` followers that timed out."""

    batches: int = 0
    ranges: int = 0
    heartbeats: int = 0
    bytes: int = 0  # of encoded changes
    encoded: int = 0  # batches that were encoded; the others were shared
    rejected: int = 0
    silent: int = 0
    malformed: int = 0


@dataclass(slots=True)
class FollowerCounters:
    """Counters of a follower.

    `ignored` counts stale, repeated and foreign messages, `gaps` messages that do not follow on, `malformed`
    messages that fail a check, `digest_mismatches` digests that differ from the relay's, `rejected`
    rejections by relays, `silent` relays that timed out, `lost` links to the followed relay that broke.
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
