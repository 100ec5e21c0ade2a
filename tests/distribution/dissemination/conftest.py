"""Fixtures of the dissemination's tests: one core each, with the other side played by the test."""

from __future__ import annotations

import pytest

from tests.distribution.dissemination.harness import FeedHarness, FollowerHarness


@pytest.fixture
def relay() -> FeedHarness:
    """A feed without followers, with the default settings."""
    return FeedHarness()


@pytest.fixture
def gateway() -> FollowerHarness:
    """A follower without a store that has just been sent its relay's first heartbeat."""
    return FollowerHarness().following()
