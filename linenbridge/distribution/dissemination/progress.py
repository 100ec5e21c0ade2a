"""How far all below a relay are, added up along the tree: who is in force, who lags, who is not reached.

Keeps state without I/O. A relay adds up its own followers and what those that are relays say of theirs. Each
gateway follows one relay and is counted there alone. A follower that a relay loses counts with its last
position for a while; then it is named as unreached until it turns up here or says that it follows another
relay. A follower that no living relay has ever seen is known to nobody and therefore not named; one that has
been away for a long time is taken as gone for good.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from linenbridge.distribution.messages import Progress, SubtreeSummary

MILLISECOND, SECOND = 1_000, 1_000_000
LAG_BUCKETS = 24  # bucket n: less than 2**n ms; the last one: that and all above
SLOWEST_MOST = 8  # names in one summary
UNREACHED_MOST = 32  # names in one summary
DEPARTED_MOST = 2_048  # lost followers that a relay remembers; the oldest go first
HEADS_MOST = 4_096  # times of heads that lags are counted from
GRACE = 3 * SECOND  # a lost follower counts with its last position for so long
GRACE_ELSEWHERE = SECOND  # the same once it says that it follows another relay, whose sums are on their way
GONE_AFTER = 3_600 * SECOND  # then a lost follower is taken as gone for good


class Heads:
    """When a region's head moved, so that a position's lag in time is known."""

    def __init__(self) -> None:
        self._sequences: list[int] = []
        self._times: list[int] = []

    def on_head(self, sequence: int, now: int) -> None:
        self._sequences.append(sequence)
        self._times.append(now)
        if len(self._sequences) > 2 * HEADS_MOST:
            del self._sequences[:HEADS_MOST]
            del self._times[:HEADS_MOST]

    def lag(self, sequence: int, now: int) -> int:
        """Microseconds since the first change that a position lacks came; 0 where it lacks none."""
        place = bisect_right(self._sequences, sequence)
        return now - self._times[place] if place < len(self._times) else 0


@dataclass(slots=True)
class FollowerProgress:
    """What one direct follower last said. `below` is by region, of those that follow it."""

    name: str
    positions: dict[str, int] = field(default_factory=dict)
    below: dict[str, SubtreeSummary] = field(default_factory=dict)

    def take(self, progress: Progress, regions: frozenset[str]) -> None:
        for position in progress.positions[: len(regions)]:
            if position.region in regions:
                self.positions[position.region] = position.sequence
        for summary in progress.below[: len(regions)]:
            if summary.region in regions:
                self.below[summary.region] = summary

    def followers(self, region: str) -> int:
        """It and all below it."""
        below = self.below.get(region)
        return 1 + (below.followers if below else 0)


@dataclass(slots=True)
class _Lost:
    progress: FollowerProgress
    since: int
    elsewhere: bool = False


class Departed:
    """Followers that this relay has lost, by name, in the order of their loss."""

    def __init__(self) -> None:
        self._lost: dict[str, _Lost] = {}

    def __len__(self) -> int:
        return len(self._lost)

    def add(self, progress: FollowerProgress, now: int) -> None:
        self._lost.pop(progress.name, None)
        self._lost[progress.name] = _Lost(progress, now)
        if len(self._lost) > DEPARTED_MOST:
            del self._lost[next(iter(self._lost))]

    def returned(self, name: str) -> None:
        """It follows this relay again."""
        self._lost.pop(name, None)

    def elsewhere(self, name: str, now: int) -> None:
        """It follows another relay, which counts it."""
        lost = self._lost.get(name)
        if lost is not None and not lost.elsewhere:
            lost.elsewhere, lost.since = True, now

    def forget(self, now: int) -> None:
        """Let go who is counted elsewhere or gone for good."""
        done = [name for name, lost in self._lost.items() if self._done(lost, now)]
        for name in done:
            del self._lost[name]

    def _done(self, lost: _Lost, now: int) -> bool:
        return now - lost.since > (GRACE_ELSEWHERE if lost.elsewhere else GONE_AFTER)

    def counted(self, region: str, now: int) -> list[FollowerProgress]:
        """Those that followed this region and still count with their last position."""
        return [
            lost.progress
            for lost in self._lost.values()
            if region in lost.progress.positions and (lost.elsewhere or now - lost.since <= GRACE)
        ]

    def unreached(self, region: str, now: int) -> list[FollowerProgress]:
        """Those that followed this region and are followed up nowhere that this relay knows of."""
        return [
            lost.progress
            for lost in self._lost.values()
            if region in lost.progress.positions and not lost.elsewhere and now - lost.since > GRACE
        ]


def bucket_of(lag: int) -> int:
    """The bucket of the histogram for a lag in microseconds."""
    return min((lag // MILLISECOND).bit_length(), LAG_BUCKETS - 1)


def add_up(
    region: str, head: int, heads: Heads, followers: Iterable[FollowerProgress], departed: Departed, now: int
) -> SubtreeSummary:
    """The sums of one region at a relay whose head is `head`. Names are a bounded choice, numbers exact."""
    counted = [*followers, *departed.counted(region, now)]
    lost = departed.unreached(region, now)
    count, least = 0, head
    lag = [0] * LAG_BUCKETS
    unreached = [progress.name for progress in lost]
    unreached_count = sum(progress.followers(region) for progress in lost)
    slowest: list[tuple[int, str]] = []
    for progress in counted:
        position = progress.positions.get(region, 0)
        below = progress.below.get(region)
        bucket = bucket_of(heads.lag(position, now))
        lag[bucket] += 1
        count += progress.followers(region)
        least = min(least, position)
        if position < head:
            slowest.append((position, progress.name))
        if below is not None:
            least = min(least, below.min_sequence)
            _add_histogram(lag, below.lag_histogram, bucket)
            slowest += [
                (below.min_sequence, name)
                for name in below.slowest[:SLOWEST_MOST]
                if below.min_sequence < head
            ]
            unreached += below.unreached[:UNREACHED_MOST]
            unreached_count += below.unreached_count
    names = [name for _, name in sorted(slowest)[:SLOWEST_MOST]]
    return SubtreeSummary(region, count, least, names, unreached[:UNREACHED_MOST], unreached_count, lag)


def _add_histogram(lag: list[int], below: list[int], own: int) -> None:
    """Whoever is below a follower lags by at least as much as the follower itself."""
    for bucket, number in enumerate(below[:LAG_BUCKETS]):
        lag[max(bucket, own)] += number
