"""The checker catches breaches that are planted in the record, and those that follow without a guard."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from linenbridge.distribution.changes import Kind
from linenbridge.distribution.dissemination import acceptance, flow_control
from tests.distribution.dissemination.simulation.corruption import corrupted_world
from tests.distribution.dissemination.simulation.faults import (
    breaches,
    breaches_of_summaries,
    calm_world,
    published,
    rules,
)
from tests.distribution.dissemination.simulation.gateway_tables import InForce
from tests.distribution.dissemination.simulation.shape import Shape
from tests.distribution.dissemination.simulation.world import World


def test_a_planted_breach_of_the_summaries_is_caught():
    world = calm_world()

    assert breaches_of_summaries(world) == []

    at, _, progress = world.reports[-1]
    too_much = msgspec.structs.replace(progress.below[0], min_sequence=progress.below[0].min_sequence + 1)
    for other in {name for _, name, each in world.reports if each.below[0].region == too_much.region}:
        world.reports.append((at, other, msgspec.structs.replace(progress, below=[too_much])))

    assert rules(breaches_of_summaries(world)) == {"reported in force but is not"}


def test_each_breach_planted_in_the_record_is_caught():
    world = calm_world()
    line = next(line for line in world.record if line.version is not None and line.value)
    world.record.append(replace(line, at=world.now))

    assert rules(breaches(world, at_end=False)) == {"older over newer"}

    world.record[-1] = InForce(world.now, line.gateway, "r0", Kind.TENANT, "unheard", line.version, b"x")

    assert rules(breaches(world)) == {"not as published", "not the newest of all keys"}

    world.record.pop()
    written = {(change.region, change.kind, change.name) for change in published(world) if not change.value}
    undeleted = next(
        row for row in world.record if row.region and (row.region, row.kind, row.name) not in written
    )
    world.record.append(replace(undeleted, version=None, value=b""))

    assert rules(breaches(world)) == {"gone without a deletion", "not the newest of all keys"}

    world.record.pop()
    world.bytes_to["r0-gateway0"] += [(world.now, 6_000)] * 40

    assert rules(breaches(world)) == {"more bytes than the budget"}


@pytest.mark.parametrize(
    ("guard", "kind", "rule"),
    [
        ("batch_defect", "changed", "not as published"),
        ("batch_defect", "shortened", "not the newest of all keys"),
    ],
)
def test_a_malformed_message_without_its_guard_is_a_breach_that_is_caught(monkeypatch, guard, kind, rule):
    """Without the check of a batch's bytes, and without digests."""
    monkeypatch.setattr(acceptance, guard, lambda message: "")
    monkeypatch.setattr(acceptance.Acceptance, "compare", lambda self, batch: None)
    monkeypatch.setattr(acceptance.Acceptance, "_expect", lambda self, upto, digest: None)

    assert rule in rules(breaches(corrupted_world(kind, 1, Shape())))


def test_the_budget_is_exceeded_without_the_token_bucket(monkeypatch):
    monkeypatch.setattr(flow_control.TokenBucket, "take", lambda self, size: None)
    world = World(Shape(keys=4_000), 1)
    world.run(2)
    world.publish_some("r0", 8_000)
    world.run(10)

    assert "more bytes than the budget" in rules(breaches(world, at_end=False))


@pytest.mark.parametrize("guarded", [True, False])
def test_the_state_is_wrong_without_the_check_of_the_order(monkeypatch, guarded):
    """A batch behind a gap: a follower that accepts it lacks a key."""
    original = acceptance.Acceptance._judge_batch  # noqa: SLF001  # the guard that the test removes

    def judge(self, batch):
        verdict = original(self, batch)
        return acceptance.Verdict.ACCEPTED if verdict is acceptance.Verdict.GAP else verdict

    if not guarded:
        monkeypatch.setattr(acceptance.Acceptance, "_judge_batch", judge)
        monkeypatch.setattr(acceptance.Acceptance, "compare", lambda self, batch: None)
        monkeypatch.setattr(acceptance.Acceptance, "_expect", lambda self, upto, digest: None)
    world = calm_world()
    feed = world.feeds[world.followers["r0-gateway0"].relay]
    skipped = world.publish("r0", Kind.TENANT, "k1", b"lost")
    feed.sessions["r0-gateway0"].cursors["r0"].version = skipped.version
    world.publish("r0", Kind.TENANT, "k2", b"after")
    world.run(10)

    assert rules(breaches(world)) == (set() if guarded else {"not the newest of all keys", "digests differ"})
    assert world.followers["r0-gateway0"].counters.gaps == guarded
