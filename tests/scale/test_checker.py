"""Tests of the scale tests' checker: sound records have no breach, and each planted breach is found."""

from __future__ import annotations

import pytest

from tests.scale.checker import breaches, collect, lag
from tests.scale.records import (
    Answered,
    Final,
    Record,
    Recorder,
    Seen,
    Sent,
    Serving,
    Started,
    PublisherResponse,
    read,
)

MS = 1000


def sound() -> list[Record]:
    """Return records without a breach.

    Two gateways see three changes, the last one of a second epoch; one gateway restarts with an empty store.
    """
    records: list[Record] = []
    for gateway in ("g1", "g2"):
        records += [Started(0, gateway, False), Serving(0, gateway, {})]
    changes = [(1, 1, "shop", "a"), (1, 2, "shop", "b"), (2, 3, "pay", "c")]
    for epoch, sequence, name, value in changes:
        at = sequence * 100 * MS
        records.append(Sent(at, sequence, "eu", 1, name, value))
        records.append(PublisherResponse(at + 10 * MS, sequence, "eu", "accepted", epoch, sequence, "", 0))
        for gateway, late in (("g1", 50 * MS), ("g2", 70 * MS)):
            records.append(Seen(at + late, gateway, "eu", epoch, sequence, 1, name, value))
    records += [Started(500 * MS, "g2", False), Serving(500 * MS, "g2", {})]
    records.append(Seen(600 * MS, "g2", "eu", 1, 2, 1, "shop", "b"))
    records.append(Seen(600 * MS, "g2", "eu", 2, 3, 1, "pay", "c"))
    records.append(Answered(700 * MS, "g1", "shop", ["b", "b"]))
    records += [Final(900 * MS, gateway, "eu", 2, 3, "d1") for gateway in ("g1", "g2")]
    return records


def test_sound_records_have_no_breach_and_give_the_lag_of_all_pairs():
    evidence = collect(sound())
    assert breaches(evidence) == []
    times = lag(evidence)
    assert (times.pairs, times.p50, times.maximum) == (3, 50.0, 50.0)


PLANTED = {
    "an older version over a newer": (
        [Seen(650 * MS, "g1", "eu", 1, 1, 1, "shop", "a")],
        "went back",
    ),
    "two changes at one sequence": (
        [Seen(650 * MS, "g1", "eu", 2, 3, 1, "pay", "other")],
        "elsewhere",
    ),
    "a replaced publisher's change after its successor's": (
        [Seen(650 * MS, "g1", "eu", 1, 4, 1, "cart", "x")],
        "epoch 1 after epoch 2",
    ),
    "an accepted change that never comes": (
        [
            Sent(650 * MS, 9, "eu", 1, "cart", "x"),
            PublisherResponse(660 * MS, 9, "eu", "accepted", 2, 4, "", 0),
        ],
        "was reported as accepted",
    ),
    "an accepted change that comes with another value": (
        [
            Sent(650 * MS, 9, "eu", 1, "cart", "x"),
            PublisherResponse(660 * MS, 9, "eu", "accepted", 2, 4, "", 0),
            Seen(670 * MS, "g1", "eu", 2, 4, 1, "cart", "y"),
            Seen(670 * MS, "g2", "eu", 2, 4, 1, "cart", "y"),
        ],
        "another value",
    ),
    "an answer with parts of two versions": (
        [Answered(650 * MS, "g2", "shop", ["a", "b"])],
        "saw ['a', 'b']",
    ),
    "unequal tables at the end": ([Final(901 * MS, "g3", "eu", 2, 3, "d2")], "unequal at the end"),
    "a table that is behind at the end": ([Final(901 * MS, "g3", "eu", 1, 2, "d1")], "unequal at the end"),
}


@pytest.mark.parametrize("what", PLANTED)
def test_a_planted_breach_is_found(what):
    planted, text = PLANTED[what]
    found = breaches(collect(sound() + planted))
    assert any(text in line for line in found), found


def test_an_older_version_after_a_start_with_the_store_retained_is_a_breach():
    records = sound()
    records += [Started(1000 * MS, "g1", True), Serving(1000 * MS, "g1", {"eu": 3})]
    records.append(Seen(1001 * MS, "g1", "eu", 1, 1, 1, "shop", "a"))
    assert any("went back" in line for line in breaches(collect(records)))


def test_reading_returns_all_written_records_and_skips_a_truncated_last_line(tmp_path):
    recorder = Recorder(tmp_path / "g.records")
    for record in sound():
        recorder.write(record)
    recorder.close()
    with open(tmp_path / "g.records", "ab") as file:
        file.write(b'["seen",12')
    assert list(read(tmp_path)) == sound()


def test_changes_newer_than_the_store_are_a_breach_unless_seen_again_after_the_restart():
    records = sound()
    records += [Started(1000 * MS, "g1", True), Serving(1000 * MS, "g1", {"eu": 1})]
    assert any("was reported as accepted" in line for line in breaches(collect(records)))
    records.append(Seen(1001 * MS, "g1", "eu", 1, 2, 1, "shop", "b"))
    records.append(Seen(1001 * MS, "g1", "eu", 2, 3, 1, "pay", "c"))
    assert breaches(collect(records)) == []
