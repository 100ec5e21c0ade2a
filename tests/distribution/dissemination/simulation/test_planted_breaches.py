"""The checker finds breaches that are planted in the record, and those that follow if a check is disabled."""

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


def test_the_checker_finds_a_planted_breach_of_the_summaries():
    world = calm_world()

    assert breaches_of_summaries(world) == []

    at, _, progress = world.reports[-1]
    too_much = msgspec.structs.replace(progress.below[0], min_sequence=progress.below[0].min_sequence + 1)
    for other in {name for _, name, each in world.reports if each.below[0].region == too_much.region}:
        world.reports.append((at, other, msgspec.structs.replace(progress, below=[too_much])))

    assert rules(breaches_of_summaries(world)) == {"reported in force but is not"}


def test_the_checker_finds_each_breach_planted_in_the_record():
    world = calm_world()
    line = next(line for line in world.record if line.version is not None and line.value)
    world.record.append(replace(line, at=world.now))

    assert rules(breaches(world, at_end=False)) == {"older version over newer"}

    world.record[-1] = InForce(world.now, line.gateway, "r0", Kind.TENANT, "unheard", line.version, b"x")

    assert rules(breaches(world)) == {"differs from the published value", "not the newest value of each key"}

    world.record.pop()
    written = {(change.region, change.kind, change.name) for change in published(world) if not change.value}
    undeleted = next(
        row for row in world.record if row.region and (row.region, row.kind, row.name) not in written
    )
    world.record.append(replace(undeleted, version=None, value=b""))

    assert rules(breaches(world)) == {"removed without a deletion", "not the newest value of each key"}

    world.record.pop()
    world.bytes_to["r0-gateway0"] += [(world.now, 6_000)] * 40

    assert rules(breaches(world)) == {"more bytes than the budget"}


@pytest.mark.parametrize(
    ("guard", "kind", "rule"),
    [
        ("batch_defect", "changed", "differs from the published value"),
        ("batch_defect", "shortened", "not the newest value of each key"),
    ],
)
def test_the_checker_finds_the_breach_of_a_malformed_batch_that_is_not_checked(
    monkeypatch, guard, kind, rule
):
    """The check of a batch's bytes and the comparison of digests are disabled."""
    monkeypatch.setattr(acceptance, guard, lambda message: "")
    monkeypatch.setattr(acceptance.Acceptance, "compare", lambda self, batch: None)
    monkeypatch.setattr(acceptance.Acceptance, "_expect", lambda self, upto, digest: None)

    assert rule in rules(breaches(corrupted_world(kind, 1, Shape())))


def test_without_the_token_bucket_the_checker_finds_an_exceeded_budget(monkeypatch):
    monkeypatch.setattr(flow_control.TokenBucket, "take", lambda self, size: None)
    world = World(Shape(keys=4_000), 1)
    world.run(2)
    world.publish_some("r0", 8_000)
    world.run(10)

    assert "more bytes than the budget" in rules(breaches(world, at_end=False))


@pytest.mark.parametrize("guarded", [True, False])
def test_the_checker_finds_a_wrong_state_only_without_the_check_for_gaps(monkeypatch, guarded):
    """A follower that accepts a batch after a gap lacks a key."""
    original = acceptance.Acceptance._classify_batch  # noqa: SLF001  # the check that the test disables

    def classify(self, batch):
        verdict = original(self, batch)
        return acceptance.Verdict.ACCEPTED if verdict is acceptance.Verdict.GAP else verdict

    if not guarded:
        monkeypatch.setattr(acceptance.Acceptance, "_classify_batch", classify)
        monkeypatch.setattr(acceptance.Acceptance, "compare", lambda self, batch: None)
        monkeypatch.setattr(acceptance.Acceptance, "_expect", lambda self, upto, digest: None)
    world = calm_world()
    feed = world.feeds[world.followers["r0-gateway0"].relay]
    skipped = world.publish("r0", Kind.TENANT, "k1", b"lost")
    feed.sessions["r0-gateway0"].cursors["r0"].version = skipped.version
    world.publish("r0", Kind.TENANT, "k2", b"after")
    world.run(10)

    assert rules(breaches(world)) == (
        set() if guarded else {"not the newest value of each key", "digests differ"}
    )
    assert world.followers["r0-gateway0"].counters.gaps == guarded
