"""The token bucket and the window, with hand-computed examples."""

from __future__ import annotations

from linenbridge.distribution.dissemination.flow_control import MAX_PAGE_BYTES, TokenBucket, Window

SECOND = 1_000_000


def test_the_token_bucket_limits_the_rate_and_may_be_overdrawn_by_one_message():
    bucket = TokenBucket(1_000, 0)
    sent = 0
    now = 0
    while now < 60 * SECOND:
        if bucket.ready(now):
            bucket.take(700)
            sent += 700
        now += 50_000

    assert 57_000 <= sent <= 61_000
    assert TokenBucket(0, 0).ready(0)
    assert TokenBucket(0, 0).max_page_bytes == MAX_PAGE_BYTES


def test_the_window_counts_each_acknowledged_message_once():
    window = Window(1_000)
    for _ in range(3):
        window.sent(600)

    assert not window.open

    window.acknowledge(2)
    window.acknowledge(2)

    assert (window.open, window.outstanding) == (True, 600)

    window.acknowledge(99)

    assert window.outstanding == 0
