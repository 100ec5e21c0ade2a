"""Progress of a relay's subtree, aggregated along the tree: positions in force, lag, unreached followers.

The module performs no I/O. A relay aggregates the progress of its own followers and the summaries of those
that are relays. Each gateway follows one relay and is counted only there. A lost follower is counted with its
last position for a grace period. Then it is reported as unreached until it returns or reports that it follows
another relay, and is forgotten after an hour. A follower to which no running relay has had a link is unknown
and not reported.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from linenbridge.distribution.dissemination.settings import MILLISECOND, SECOND
from linenbridge.distribution.messages import Progress, SubtreeSummary

LAG_BUCKETS = 24  # bucket n: less than 2**n ms; the last one also has all longer lags
MAX_SLOWEST = 8  # names in one summary
MAX_UNREACHED = 32  # names in one summary
MAX_LOST_FOLLOWERS = 2_048  # lost followers that a relay records; then the oldest is dropped
MAX_HEADS = 4_096  # recorded moves of a head, from which lags are computed
GRACE_PERIOD = 3 * SECOND  # for which a lost follower is counted with its last position
GRACE_PERIOD_ELSEWHERE = SECOND  # the same if it follows another relay; until summaries of that one arrive
EXPIRE_AFTER = 3_600 * SECOND  # after which a lost follower is forgotten


class HeadHistory:
    """The times at which a region's head moved, from which the lag of a position is computed."""

    def __init__(self) -> None:
        self._sequences: list[int] = []
        self._times: list[int] = []

    def on_head(self, sequence: int, now: int) -> None:
        """Record that the head has moved to a sequence."""
        self._sequences.append(sequence)
        self._times.append(now)
        if len(self._sequences) > 2 * MAX_HEADS:
            del self._sequences[:MAX_HEADS]
            del self._times[:MAX_HEADS]

    def lag(self, sequence: int, now: int) -> int:
        """Return the microseconds since the first change after a position was committed, 0 if there is
        none."""
        place = bisect_right(self._sequences, sequence)
        return now - self._times[place] if place < len(self._times) else 0


@dataclass(slots=True)
class FollowerProgress:
    """The last reported progress of one direct follower.

    `positions` has its sequences in force and `below` the summaries of its own followers, both by region.
    """

    name: str
    positions: dict[str, int] = field(default_factory=dict)
    below: dict[str, SubtreeSummary] = field(default_factory=dict)

    def update(self, progress: Progress, regions: frozenset[str]) -> None:
        """Record a report. Regions that are not among `regions` are ignored."""
        for position in progress.positions[: len(regions)]:
            if position.region in regions:
                self.positions[position.region] = position.sequence
        for summary in progress.below[: len(regions)]:
            if summary.region in regions:
                self.below[summary.region] = summary

    def followers(self, region: str) -> int:
        """Return the number of followers of a region: this one and its own."""
        below = self.below.get(region)
        return 1 + (below.followers if below else 0)


@dataclass(slots=True)
class _LostFollower:
    progress: FollowerProgress
    since: int
    follows_elsewhere: bool = False


class LostFollowers:
    """The followers that this relay has lost, by name and in the order of their loss. Times are in
    microseconds."""

    def __init__(self) -> None:
        self._lost: dict[str, _LostFollower] = {}

    def __len__(self) -> int:
        return len(self._lost)

    def add(self, progress: FollowerProgress, now: int) -> None:
        """Add a lost follower."""
        self._lost.pop(progress.name, None)
        self._lost[progress.name] = _LostFollower(progress, now)
        if len(self._lost) > MAX_LOST_FOLLOWERS:
            del self._lost[next(iter(self._lost))]

    def on_returned(self, name: str) -> None:
        """Remove a follower that follows this relay again."""
        self._lost.pop(name, None)

    def on_following_elsewhere(self, name: str, now: int) -> None:
        """Record a follower's report that it follows another relay, where it is counted."""
        lost = self._lost.get(name)
        if lost is not None and not lost.follows_elsewhere:
            lost.follows_elsewhere = True
            lost.since = now

    def forget(self, now: int) -> None:
        """Remove the followers that are counted at another relay, and the expired ones."""
        expired = [name for name, lost in self._lost.items() if self._is_expired(lost, now)]
        for name in expired:
            del self._lost[name]

    def _is_expired(self, lost: _LostFollower, now: int) -> bool:
        return now - lost.since > (GRACE_PERIOD_ELSEWHERE if lost.follows_elsewhere else EXPIRE_AFTER)

    def counted(self, region: str, now: int) -> list[FollowerProgress]:
        """Return the lost followers of a region that are still counted with their last position."""
        return [
            lost.progress
            for lost in self._lost.values()
            if region in lost.progress.positions
            and (lost.follows_elsewhere or now - lost.since <= GRACE_PERIOD)
        ]

    def unreached(self, region: str, now: int) -> list[FollowerProgress]:
        """Return the lost followers of a region whose grace period is over and of which no other relay is
        known."""
        return [
            lost.progress
            for lost in self._lost.values()
            if region in lost.progress.positions
            and not lost.follows_elsewhere
            and now - lost.since > GRACE_PERIOD
        ]


def bucket_of(lag: int) -> int:
    """Return the bucket of the histogram for a lag in microseconds."""
    return min((lag // MILLISECOND).bit_length(), LAG_BUCKETS - 1)


def summarize(
    region: str,
    head: int,
    history: HeadHistory,
    followers: Iterable[FollowerProgress],
    lost_followers: LostFollowers,
    now: int,
) -> SubtreeSummary:
    """Return the summary of one region at a relay whose head is `head`. The lists of names are limited, the
    numbers are exact."""
    counted = [*followers, *lost_followers.counted(region, now)]
    lost = lost_followers.unreached(region, now)
    count = 0
    lowest = head
    lag = [0] * LAG_BUCKETS
    unreached = [progress.name for progress in lost]
    unreached_count = sum(progress.followers(region) for progress in lost)
    slowest: list[tuple[int, str]] = []
    for progress in counted:
        position = progress.positions.get(region, 0)
        below = progress.below.get(region)
        bucket = bucket_of(history.lag(position, now))
        lag[bucket] += 1
        count += progress.followers(region)
        lowest = min(lowest, position)
        if position < head:
            slowest.append((position, progress.name))
        if below is not None:
            lowest = min(lowest, below.min_sequence)
            _add_lag_histogram(lag, below.lag_histogram, bucket)
            slowest += [
                (below.min_sequence, name)
                for name in below.slowest[:MAX_SLOWEST]
                if below.min_sequence < head
            ]
            unreached += below.unreached[:MAX_UNREACHED]
            unreached_count += below.unreached_count
    names = [name for _, name in sorted(slowest)[:MAX_SLOWEST]]
    return SubtreeSummary(region, count, lowest, names, unreached[:MAX_UNREACHED], unreached_count, lag)


def _add_lag_histogram(lag: list[int], below: list[int], own: int) -> None:
    """Add the histogram of a follower's own followers. They lag at least as much as the follower, whose
    bucket is `own`."""
    for bucket, number in enumerate(below[:LAG_BUCKETS]):
        lag[max(bucket, own)] += number
