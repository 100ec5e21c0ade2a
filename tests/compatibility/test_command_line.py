"""The command line has the commands, options and exit codes of commit 4d24a08."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from typer.main import get_command

from linenbridge.cli.commands import app
from tests.compatibility.command_line import CALLS, call, lay_out, options

ROOT = Path(__file__).parents[2]
RECORD: dict[str, Any] = json.loads(
    Path(__file__).with_name("data").joinpath("command_line.json").read_text()
)


@pytest.fixture
def files(tmp_path, monkeypatch):
    """Return a working folder with the files that the calls refer to."""
    for name in ("LB_SETTINGS", "LB_CONFIG"):
        monkeypatch.setenv(name, "")  # undoes a variable that a call sets
        monkeypatch.delenv(name)
    lay_out(tmp_path, ROOT / "examples" / "config.json")
    monkeypatch.chdir(tmp_path)
    return tmp_path


@pytest.mark.parametrize("path", sorted(RECORD["commands"]), ids=lambda path: path or "linenbridge")
def test_a_command_has_the_same_options(path):
    found = dict(options(get_command(app)))

    assert found[path] == RECORD["commands"][path]


@pytest.mark.parametrize("row", RECORD["calls"], ids=lambda row: " ".join(row["words"]) or "linenbridge")
def test_a_call_ends_with_the_same_code(files, row):
    words = tuple(row["words"])

    found = json.loads(json.dumps(call(app, words)).replace(str(files), "FOLDER"))

    assert {"words": row["words"], **found} == row


def test_a_renamed_command_keeps_its_earlier_name_hidden():
    commands = get_command(app).commands

    assert commands["drill"].hidden
    assert not commands["faults"].hidden
    found = dict(options(get_command(app)))
    for name in ("", " processor", " transport"):
        assert found[f"faults{name}"] == found[f"drill{name}"]


def test_every_call_is_recorded():
    assert [tuple(row["words"]) for row in RECORD["calls"]] == list(CALLS)
