"""A relay's compacted log compared with a plain model: changes, deletions, replaced ranges, compactions."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from linenbridge.distribution.changes import (
    RANGES,
    START,
    Change,
    Kind,
    Version,
    digest_of,
    range_of,
    sealed,
)
from linenbridge.distribution.dissemination import compacted_log as module
from linenbridge.distribution.dissemination.compacted_log import CompactedLog

REGION = "r1"
KEYS = [(Kind.TENANT, f"t{n}") for n in range(6)] + [(Kind.INSTANCE, f"shop/i{n}") for n in range(4)]
steps = some.lists(some.tuples(some.integers(0, len(KEYS) - 1), some.binary(max_size=3)), max_size=60)


def changes_of(written: list[tuple[int, bytes]], first: int = 1) -> list[Change]:
    return [
        sealed(REGION, Version(1, first + place), *KEYS[key], value)
        for place, (key, value) in enumerate(written)
    ]


def model_of(changes: list[Change]) -> dict[tuple[int, str], Change]:
    return {change.key: change for change in changes}


def model_digest(rows: dict[tuple[int, str], Change]) -> int:
    return sum(digest_of(change) for change in rows.values()) % 2**64


def sequences(log: CompactedLog, after: int = 0) -> list[int]:
    return [entry.sequence for entry in log.since(after)]


@pytest.fixture(autouse=True)
def compacts_early(monkeypatch):
    """Lower the limit of holes, so that small logs are compacted too."""
    monkeypatch.setattr(module, "_MIN_HOLES", 3)


@given(steps, some.integers(0, 60), some.integers(1, 9))
@settings(max_examples=150, deadline=None)
def test_the_log_has_the_newest_change_of_each_key(written, after, batch):
    changes = changes_of(written)
    log = CompactedLog(REGION)
    for place in range(0, len(changes), batch):
        part = changes[place : place + batch]
        log.apply(part[-1].version, part)
        log.apply(part[-1].version, part)  # a repetition has no effect
    rows = model_of(changes)

    assert len(log) == len(rows)
    assert log.digest == model_digest(rows)
    assert all(log.newest(*key) == change for key, change in rows.items())
    assert sequences(log, after) == sorted(c.sequence for c in rows.values() if c.sequence > after)
    assert log.head == (changes[-1].version if changes else START)

    for index in {range_of(*key) for key in KEYS}:
        expected = {key: change for key, change in rows.items() if range_of(*key) == index}
        assert model_of(log.range(index)) == expected
        digest = log.range_digests()[index * 8 : index * 8 + 8]
        assert int.from_bytes(digest, "big") == model_digest(expected)


@given(steps, some.integers(0, 4))
@settings(max_examples=150, deadline=None)
def test_the_oldest_tombstones_are_dropped_and_move_the_horizon(written, max_tombstones):
    changes = changes_of(written)
    log = CompactedLog(REGION, max_tombstones=max_tombstones)
    for change in changes:
        log.apply(change.version, [change])
    rows = model_of(changes)
    deleted = sorted(change.sequence for change in rows.values() if not change.value)
    remembered = [sequence for sequence in sequences(log) if sequence in deleted]

    assert log.tombstones == len(remembered) <= max_tombstones

    dropped = [sequence for sequence in deleted if sequence not in remembered]

    assert all(sequence <= log.horizon for sequence in dropped)
    assert all(sequence > log.horizon for sequence in remembered)
    assert log.digest == model_digest(rows)


@given(steps, steps, some.booleans())
@settings(max_examples=150, deadline=None)
def test_a_log_whose_ranges_are_all_replaced_equals_the_source_log(older, newer, compacted):
    """The target log has applied only the older changes before all its ranges are replaced."""
    changes = changes_of(older)
    changes += changes_of(newer, len(changes) + 1)
    source = CompactedLog(REGION, max_tombstones=2 if compacted else 100)
    target = CompactedLog(REGION)
    source.apply(changes[-1].version if changes else START, changes)
    target.apply(changes[len(older) - 1].version if older else START, changes[: len(older)])
    for index in range(RANGES):
        snapshot = source.range(index)
        target.replace(index, source.head, snapshot, final=index == RANGES - 1, horizon=source.horizon)

    assert not target.replacing
    assert target.head == source.head
    assert target.digest == source.digest
    assert target.range_digests() == source.range_digests()
    assert target.horizon >= source.horizon
    assert sequences(target) == sequences(source)

    after = sealed(REGION, Version(2, len(changes) + 1), *KEYS[0], b"after")
    target.apply(after.version, [after])

    assert target.newest(*KEYS[0]) == after
    assert sequences(target, len(changes)) == [after.sequence]


def test_a_range_read_later_does_not_replace_newer_versions():
    log = CompactedLog(REGION)
    old = sealed(REGION, Version(1, 3), 2, "t", b"old")
    new = sealed(REGION, Version(1, 9), 2, "t", b"new")
    log.apply(new.version, [new])
    log.replace(range_of(2, "t"), Version(1, 5), [old], final=True)

    assert log.newest(2, "t") == new

    log.replace(range_of(2, "t"), Version(1, 5), [], final=True)

    assert log.newest(2, "t") == new, "a key that is newer than the transfer stays"

    log.replace(range_of(2, "t"), Version(1, 9), [], final=True)

    assert log.newest(2, "t") is None


def test_superseded_entries_are_compacted_within_a_bound():
    log = CompactedLog(REGION)
    for n in range(1, 500):
        log.apply(Version(1, n), [sealed(REGION, Version(1, n), 2, f"t{n % 5}", b"v")])
        assert len(log._sequences) <= 2 * len(log) + 4  # noqa: SLF001  # its memory


def test_pages_stay_within_the_maximum_size_and_end_at_the_head():
    log = CompactedLog(REGION)
    changes = [sealed(REGION, Version(1, n), 2, f"t{n}", b"x" * 100) for n in range(1, 41)]
    log.apply(Version(2, 45), changes)
    after = 0
    seen = 0
    while after < 45:
        page = log.page(after, 500)
        assert len(page.encoded) == 1 or sum(map(len, page.encoded)) <= 500
        after = page.upto.sequence
        seen += len(page.encoded)

    assert (page.upto, seen) == (Version(2, 45), 40)
    assert len(log.page(0, 1).encoded) == 1, "a change that is larger than the maximum is a page of its own"
