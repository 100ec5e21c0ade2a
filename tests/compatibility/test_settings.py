"""Settings files and settings objects result in the same values as at commit 4d24a08."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest

from linenbridge.cli.settings_commands import shown
from linenbridge.configuration.read import ConfigurationError, parse, schema_text
from linenbridge.distribution.configuration import distribution
from linenbridge.fleet.configuration import fleet_settings
from linenbridge.fleet.freezes.configuration import windows
from linenbridge.process.configuration import load
from linenbridge.processor.configuration import processor_settings
from linenbridge.startup import startup
from tests.compatibility.settings_values import (
    PATH,
    balancer_keys,
    leaves,
    outcome,
    read_freezes,
    schema_rows,
)

ROOT = Path(__file__).parents[2]
RECORD: dict[str, Any] = json.loads(Path(__file__).with_name("data").joinpath("settings.json").read_text())
READERS = {
    "processor": processor_settings,
    "fleet": fleet_settings,
    "distribution": distribution,
    "shown": shown,
}
EFFECTS = {"tokened": "idempotent_by_key"}  # in memory only; renamed with `Idempotency`
EARLIER_SPELLING = {"<quorum": "<council", "</quorum": "</council", "<acceptor": "<seat"}


def plain(found: dict[str, Any]) -> dict[str, Any]:
    """Return the outcome without attribute names, which the record has only to explain failed tests."""
    return {key: [leaf[1] for leaf in rows] if key == "values" else rows for key, rows in found.items()}


def named(rows: list[dict[str, Any]]) -> list[Any]:
    return [
        pytest.param(row, id=f"{row.get('source', 'object')}-{number}") for number, row in enumerate(rows)
    ]


@pytest.mark.parametrize("row", named(RECORD["documents"]))
def test_a_settings_file_is_read_to_the_same_values(row, tmp_path):
    text = row["text"]

    found = outcome(lambda: bool(parse(text.encode(), PATH)), ConfigurationError)

    assert found == row["file"]
    if "refused" in found:
        return
    if "freezes" in row:
        freezes = outcome(lambda: read_freezes(windows, tmp_path, text), ConfigurationError)
        assert plain(freezes) == plain(row["freezes"]), row["freezes"]
        return
    configuration = parse(text.encode(), PATH)
    assert configuration.log_level == row["log"]
    for part, reader in READERS.items():
        part_found = outcome(lambda reader=reader: reader(configuration), ConfigurationError)
        assert plain(part_found) == plain(row[part]), (part, row[part])


@pytest.mark.parametrize("path", sorted((ROOT / "examples").rglob("*.xml")), ids=lambda path: path.name)
def test_an_example_is_one_of_the_recorded_and_reads_alike(path):
    recorded = next(row for row in RECORD["documents"] if row["source"] == str(path.relative_to(ROOT)))
    configuration = parse(path.read_bytes(), PATH)

    found = {
        part: outcome(lambda r=reader: r(configuration), ConfigurationError)
        for part, reader in READERS.items()
    }

    assert {part: plain(rows) for part, rows in found.items()} == {
        part: plain(recorded[part]) for part in READERS
    }


def test_both_spellings_of_the_quorum_are_recorded_with_equal_values():
    by_text = {row["text"]: row for row in RECORD["documents"] if "fleet" in row}
    pairs = 0
    for text, row in by_text.items():
        earlier = text
        for later_word, earlier_word in EARLIER_SPELLING.items():
            earlier = earlier.replace(later_word, earlier_word)
        if earlier != text and earlier in by_text and "values" in row["fleet"]:
            assert by_text[earlier]["fleet"] == row["fleet"]
            pairs += 1
    assert pairs >= 5


@pytest.mark.parametrize("row", named(RECORD["objects"]))
def test_a_settings_object_is_read_to_the_same_values(row, tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(row["object"]))

    try:
        found = load({"LB_CONFIG": str(path)})
    except ValueError as error:
        assert str(error).replace(str(path), "PATH") == row.get("refused")
        return

    assert [leaf[1] for leaf in leaves(found)] == [leaf[1] for leaf in row["values"]], row["values"]
    expected = [
        EFFECTS.get(value, value) if name.endswith(".effect") else value for name, value in row["startup"]
    ]
    assert [leaf[1] for leaf in leaves(startup(found.settings))] == expected


def test_the_schema_has_the_same_elements_and_attributes():
    assert schema_rows(schema_text()) == RECORD["schema"]


def test_the_balancers_file_has_the_same_keys_and_names_files_that_exist():
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    table = tomllib.loads(text)

    assert balancer_keys(text) == RECORD["balancer"] == sorted(table)
    assert all((ROOT / path).exists() for path in table["policy"] + table["node"])
