"""The lists of unfinished modules in pyproject.toml name modules that exist, in order, and only shrink."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TEXT = (ROOT / "pyproject.toml").read_text()
SETTINGS = tomllib.loads(TEXT)["tool"]
MAX_UNCHECKED = 44  # files with rules of ruff left out; lower it when lines go
MAX_UNTYPED = 12  # modules with errors of mypy left out; lower it when lines go
MAX_LASTING = 5  # exceptions that stay, each with its reason beside it
MARK = "unfinished"  # the comment on a line of ruff's list, which sets it apart from lasting exceptions


def unchecked() -> list[str]:
    """The files with rules of ruff left out until they are finished."""
    return re.findall(rf'^"([^"]+)" = \[.*\]  # {MARK}$', TEXT, re.MULTILINE)


def untyped() -> list[str]:
    """The modules with errors of mypy left out until they are finished."""
    rows = SETTINGS["mypy"]["overrides"]
    return next((row["module"] for row in rows if row.get("ignore_errors")), [])


@pytest.mark.parametrize("path", unchecked())
def test_a_file_with_rules_left_out_exists(path):
    assert (ROOT / path).is_file(), f"remove the line of {path} from pyproject.toml"
    assert path in SETTINGS["ruff"]["lint"]["per-file-ignores"]


@pytest.mark.parametrize("module", untyped())
def test_a_module_with_errors_left_out_exists(module):
    path = ROOT / module.replace(".", "/")
    assert path.with_suffix(".py").is_file() or (path / "__init__.py").is_file(), (
        f"remove the line of {module}"
    )


def test_the_lists_are_sorted_and_name_each_module_once():
    for names in (unchecked(), untyped()):
        assert names == sorted(set(names))


def test_the_lists_do_not_grow():
    assert len(unchecked()) <= MAX_UNCHECKED
    assert len(untyped()) <= MAX_UNTYPED


def test_every_entry_is_one_line_of_the_file():
    """A pattern would let a new file in without a line, and a blanket entry would not shrink."""
    marked = set(unchecked())
    lasting = set(SETTINGS["ruff"]["lint"]["per-file-ignores"]) - marked
    assert not any("*" in path for path in marked)
    assert len(lasting) <= MAX_LASTING
