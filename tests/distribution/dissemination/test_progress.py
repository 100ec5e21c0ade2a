"""Summaries along the tree, with hand-computed examples."""

from __future__ import annotations

import pytest

from linenbridge.distribution.changes import Position
from linenbridge.distribution.dissemination.progress import (
    EXPIRE_AFTER,
    GRACE_PERIOD,
    GRACE_PERIOD_ELSEWHERE,
    LAG_BUCKETS,
    MAX_LOST_FOLLOWERS,
    MAX_HEADS,
    MAX_SLOWEST,
    MAX_UNREACHED,
    LostFollowers,
    FollowerProgress,
    HeadHistory,
    bucket_of,
    summarize,
)
from linenbridge.distribution.messages import Progress, SubtreeSummary

SECOND = 1_000_000
REGIONS = frozenset({"r1"})


def follower(name: str, sequence: int, below: SubtreeSummary | None = None) -> FollowerProgress:
    progress = FollowerProgress(name)
    position = Position("r1", 1, sequence)
    progress.update(Progress(name, 1, [position], [below] if below else []), REGIONS)
    return progress


def head_history(*history: tuple[int, int]) -> HeadHistory:
    found = HeadHistory()
    for sequence, at in history:
        found.on_head(sequence, at)
    return found


def histogram(**buckets: int) -> list[int]:
    return [buckets.get(f"b{n}", 0) for n in range(LAG_BUCKETS)]


@pytest.mark.parametrize(
    ("lag", "bucket"),
    [(0, 0), (999, 0), (1_000, 1), (1_999, 1), (2_000, 2), (4_000, 3), (1_024_000, 11), (10**15, 23)],
)
def test_lags_are_in_buckets_of_powers_of_two_milliseconds(lag, bucket):
    assert bucket_of(lag) == bucket


def test_the_lag_of_a_position_is_the_age_of_the_first_change_after_it():
    history = head_history((5, 100), (6, 200), (9, 300))

    assert [history.lag(sequence, 1_000) for sequence in (4, 5, 6, 8, 9, 10)] == [900, 800, 700, 700, 0, 0]

    for sequence in range(10, 3 * MAX_HEADS):
        history.on_head(sequence, sequence)

    assert len(history._sequences) <= 2 * MAX_HEADS  # noqa: SLF001  # its memory


def test_a_summary_adds_up_followers_and_the_summaries_of_relays_among_them():
    below = SubtreeSummary("r1", 3, 4, ["c", "d"], ["lost"], 2, histogram(b0=1, b5=2))
    followers = [follower("a", 9), follower("b", 6), follower("relay", 8, below)]
    history = head_history((8, 0), (9, 6 * SECOND))
    found = summarize("r1", 9, history, followers, LostFollowers(), 6 * SECOND + 3_000)

    assert (found.followers, found.min_sequence) == (6, 4)
    assert found.slowest == ["c", "d", "b", "relay"]
    assert (found.unreached, found.unreached_count) == (["lost"], 2)
    assert sum(found.lag_histogram) == 6
    assert found.lag_histogram[0] == 1, "a"
    assert found.lag_histogram[2] == 1 + 1, (
        "the relay, which lags by 3 ms, and its follower that lags by as much"
    )
    assert found.lag_histogram[5] == 2, "followers that lag more than the relay stay in their bucket"
    assert found.lag_histogram[13] == 1, "b, which lacks a change of 6 s ago"


def test_a_summary_limits_the_names_and_has_exact_numbers():
    below = SubtreeSummary(
        "r1", 500, 1, [f"s{n}" for n in range(500)], [f"u{n}" for n in range(500)], 500, [500] * 99
    )
    found = summarize("r1", 9, head_history((9, 0)), [follower("relay", 9, below)], LostFollowers(), 0)

    assert len(found.slowest) == MAX_SLOWEST
    assert len(found.unreached) == MAX_UNREACHED
    assert (found.followers, found.unreached_count, len(found.lag_histogram)) == (501, 500, LAG_BUCKETS)


def test_a_lost_follower_is_counted_then_reported_unreached_then_forgotten():
    lost_followers = LostFollowers()
    below = SubtreeSummary("r1", 4, 3, [], [], 0, histogram(b0=4))
    lost_followers.add(follower("relay", 5, below), 0)
    soon = summarize("r1", 9, head_history((9, 0)), [follower("a", 9)], lost_followers, GRACE_PERIOD)

    assert (soon.followers, soon.min_sequence, soon.unreached) == (6, 3, [])

    later = summarize("r1", 9, head_history((9, 0)), [follower("a", 9)], lost_followers, GRACE_PERIOD + 1)

    assert (later.followers, later.min_sequence) == (1, 9)
    assert (later.unreached, later.unreached_count) == (["relay"], 5)

    lost_followers.forget(EXPIRE_AFTER)

    assert len(lost_followers) == 1

    lost_followers.forget(EXPIRE_AFTER + 1)

    assert len(lost_followers) == 0


def test_a_lost_follower_of_another_relay_is_counted_for_its_grace_period_only():
    lost_followers = LostFollowers()
    lost_followers.add(follower("a", 5), 0)
    lost_followers.on_following_elsewhere("a", SECOND)
    lost_followers.on_following_elsewhere("a", SECOND + 1)
    lost_followers.on_following_elsewhere("never seen", SECOND)

    assert [each.name for each in lost_followers.counted("r1", 10 * SECOND)] == ["a"]
    assert lost_followers.unreached("r1", 10 * SECOND) == []

    lost_followers.forget(SECOND + GRACE_PERIOD_ELSEWHERE + 1)

    assert len(lost_followers) == 0


def test_a_lost_follower_is_unreached_in_its_own_regions_only_and_removed_when_it_returns():
    lost_followers = LostFollowers()
    lost_followers.add(follower("a", 5), 0)

    assert lost_followers.unreached("r2", 10 * SECOND) == []

    lost_followers.on_returned("a")

    assert len(lost_followers) == 0


def test_the_oldest_lost_followers_are_dropped_beyond_the_maximum():
    lost_followers = LostFollowers()
    for n in range(MAX_LOST_FOLLOWERS + 5):
        lost_followers.add(follower(f"g{n}", 1), n)

    assert len(lost_followers) == MAX_LOST_FOLLOWERS
    assert lost_followers.unreached("r1", 60 * SECOND)[0].name == "g5"
