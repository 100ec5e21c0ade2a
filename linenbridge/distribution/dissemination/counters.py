"""What a feed and a follower count since their start, for the counters' line and for tests.

Owns the names of the counters. The cores write them, hosts read them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FeedCounters:
    """Counters of a relay's feed."""

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
    """Counters of a follower."""

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
