"""The lists of unfinished modules in pyproject.toml are sorted, name modules that exist, and only shrink."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TEXT = (ROOT / "pyproject.toml").read_text()
SETTINGS = tomllib.loads(TEXT)["tool"]
MAX_UNCHECKED = 31  # files with rules of ruff turned off; lower it when entries are removed
MAX_UNTYPED = 12  # modules with errors of mypy ignored; lower it when entries are removed
MAX_PERMANENT_EXCEPTIONS = 5  # entries that stay, each with its reason in a comment
MARKER = "unfinished"  # the comment on an entry of ruff's list, which separates it from permanent exceptions


def unfinished_files() -> list[str]:
    """Return the files with rules of ruff turned off until they are finished."""
    return re.findall(rf'^"([^"]+)" = \[.*\]  # {MARKER}$', TEXT, re.MULTILINE)


def unfinished_modules() -> list[str]:
    """Return the modules with errors of mypy ignored until they are finished."""
    overrides = SETTINGS["mypy"]["overrides"]
    return next((override["module"] for override in overrides if override.get("ignore_errors")), [])


@pytest.mark.parametrize("path", unfinished_files())
def test_an_unfinished_file_exists_and_has_an_entry(path):
    assert (ROOT / path).is_file(), f"remove the line of {path} from pyproject.toml"
    assert path in SETTINGS["ruff"]["lint"]["per-file-ignores"]


@pytest.mark.parametrize("module", unfinished_modules())
def test_an_unfinished_module_exists(module):
    path = ROOT / module.replace(".", "/")
    assert path.with_suffix(".py").is_file() or (path / "__init__.py").is_file(), (
        f"remove from pyproject.toml the line of {module}"
    )


def test_the_lists_are_sorted_and_name_each_module_once():
    for names in (unfinished_files(), unfinished_modules()):
        assert names == sorted(set(names))


def test_the_lists_do_not_grow():
    assert len(unfinished_files()) <= MAX_UNCHECKED
    assert len(unfinished_modules()) <= MAX_UNTYPED


def test_no_entry_is_a_pattern_and_permanent_exceptions_are_limited():
    """A pattern would exempt new files without an entry each, and would remain when a file is finished."""
    marked = set(unfinished_files())
    permanent = set(SETTINGS["ruff"]["lint"]["per-file-ignores"]) - marked
    assert not any("*" in path for path in marked)
    assert len(permanent) <= MAX_PERMANENT_EXCEPTIONS
