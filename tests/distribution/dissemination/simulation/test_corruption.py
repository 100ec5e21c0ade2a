"""Corrupted messages of a relay, in simulated time: none of them is put in force."""

from __future__ import annotations

import pytest

from linenbridge.distribution.dissemination.settings import FeedSettings
from tests.distribution.dissemination.simulation.corruption import CORRUPTIONS, corrupted_world
from tests.distribution.dissemination.simulation.faults import (
    FEW_TOMBSTONES,
    breaches,
)
from tests.distribution.dissemination.simulation.shape import Shape


@pytest.mark.parametrize("kind", CORRUPTIONS)
@pytest.mark.parametrize("seed", range(2))
def test_a_relay_that_corrupts_its_messages_causes_no_wrong_state(seed, kind):
    settings = FEW_TOMBSTONES if seed % 2 else FeedSettings()
    world = corrupted_world(kind, seed, Shape(feed=settings))

    assert breaches(world) == []


def test_a_relay_that_sends_malformed_messages_is_left_and_they_are_counted_and_logged():
    world = corrupted_world("changed", 0, Shape())
    relay = world.locations[0].name
    named = [event for _, _, event in world.events if event.name == "distribution.malformed"]

    assert named
    assert {event.fields["relay"] for event in named} == {relay}
    assert sum(follower.counters.malformed for follower in world.followers.values()) == len(named)
