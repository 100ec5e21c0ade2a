"""Fixtures of the tests of dissemination: a feed or a follower whose peers are simulated by the test."""

from __future__ import annotations

import pytest

from tests.distribution.dissemination.harness import FeedHarness, FollowerHarness


@pytest.fixture
def relay() -> FeedHarness:
    """Return a feed with the default settings and without followers."""
    return FeedHarness()


@pytest.fixture
def gateway() -> FollowerHarness:
    """Return a follower without a store that has received the first heartbeat of its relay."""
    return FollowerHarness().following()
