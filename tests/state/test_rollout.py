"""Which builds a key's requests may go to where `forward_only` rules out earlier ones."""

from __future__ import annotations

import pytest

from linenbridge.interface import RolloutPhase
from linenbridge.state.rollout import KeyAffinity, RolloutState

BEFORE, BUILD, NEXT = 6, 7, 8


@pytest.fixture
def rollout() -> RolloutState:
    """Return the state while a build is on trial."""
    rollout = RolloutState()
    rollout.update(BUILD, 0, RolloutPhase.ON_TRIAL, 0.2)
    return rollout


@pytest.fixture
def affinity(rollout) -> KeyAffinity:
    """Return the affinity after the build has answered one key."""
    affinity = KeyAffinity(rollout, forward_only=True)
    affinity.on_response("answered", BUILD)
    return affinity


def release(rollout: RolloutState, affinity: KeyAffinity, lowest: int) -> None:
    """Release the build, while `lowest` is the lowest ready one."""
    rollout.update(BUILD, 1, RolloutPhase.RELEASED, 1.0)
    affinity.on_rollout_update()
    affinity.on_ready_builds(lowest)


def test_a_key_that_the_build_on_trial_has_answered_does_not_go_back(affinity):
    affinity.on_ready_builds(BEFORE)
    assert affinity.min_build("answered") == BUILD
    assert affinity.min_build("other") == 0


def test_other_keys_may_go_to_an_earlier_build_while_one_is_ready(rollout, affinity):
    release(rollout, affinity, BEFORE)
    assert affinity.min_build("answered") == BUILD
    assert affinity.min_build("other") == 0


def test_no_key_is_kept_of_a_released_build_once_no_earlier_one_is_ready(rollout, affinity):
    """Guards against memory that grows with each new key until the gateway is over its limit."""
    release(rollout, affinity, BUILD)
    for number in range(1_000):
        affinity.on_response(f"key {number}", BUILD)
    assert not affinity.min_builds
    assert affinity.min_build("answered") == BUILD


def test_an_earlier_build_that_comes_back_gets_no_key_of_the_released_one(rollout, affinity):
    release(rollout, affinity, BUILD)
    affinity.on_ready_builds(BEFORE)
    assert affinity.min_build("answered") == BUILD


def test_keys_may_go_back_once_the_released_build_is_withdrawn(rollout, affinity):
    release(rollout, affinity, BUILD)
    rollout.update(BUILD, 1, RolloutPhase.WITHDRAWN, 0.0)
    affinity.on_rollout_update()
    assert affinity.min_build("answered") == 0


def test_the_next_builds_trial_restricts_the_keys_that_it_answers_alone(rollout, affinity):
    release(rollout, affinity, BUILD)
    rollout.update(NEXT, 0, RolloutPhase.ON_TRIAL, 0.2)
    affinity.on_rollout_update()
    affinity.on_ready_builds(BUILD)
    affinity.on_response("moved", NEXT)
    affinity.on_response("stays", BUILD)
    assert affinity.min_build("moved") == NEXT
    assert affinity.min_build("stays") == 0


def test_the_length_of_keys_takes_no_memory(affinity):
    affinity.on_response("k" * 60_000, BUILD)
    assert affinity.min_build("k" * 60_000) == BUILD
    assert all(isinstance(hashed, int) for hashed in affinity.min_builds)
