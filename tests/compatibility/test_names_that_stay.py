"""Names that are visible outside the process are still in the files that write them."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LIST = Path(__file__).with_name("names_that_stay.txt")
MIN_NAMES = 1_500


def listed_names() -> dict[str, list[str]]:
    """Return the listed names by the path of the file that writes them."""
    names: dict[str, list[str]] = {}
    for line in LIST.read_text().splitlines():
        if line and not line.startswith("# "):
            name, path = line.split("\t")
            names.setdefault(path if path.startswith("deploy/") else f"linenbridge/{path}", []).append(name)
    return names


def definitions(node: ast.AST) -> list[str]:
    """Return the names and text constants of one node that can appear in output."""
    match node:
        case ast.Constant(value=str(text)):
            return [text, *re.findall(r"\w+", text)] if "create table" in text.lower() else [text]
        case ast.Constant(value=bytes(text)):
            return [text.decode("latin-1")]
        case ast.ClassDef() | ast.FunctionDef():
            return [node.name]
        case ast.keyword(arg=str(name)) | ast.arg(arg=name):
            return [name]
        case ast.Assign(targets=[ast.Name(id=name)]) | ast.AnnAssign(target=ast.Name(id=name)):
            return [name]
    return []


@cache
def names_of_module(path: Path) -> frozenset[str]:
    tree = ast.parse(path.read_text())
    return frozenset(name for node in ast.walk(tree) for name in definitions(node))


def is_present(name: str, path: Path) -> bool:
    if path.suffix == ".py":
        return name in names_of_module(path)
    return re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", path.read_text()) is not None


def test_the_list_has_at_least_the_minimum_number_of_names() -> None:
    assert sum(map(len, listed_names().values())) >= MIN_NAMES


@pytest.mark.parametrize("path", sorted(listed_names()))
def test_names_are_still_in_the_file_that_writes_them(path: str) -> None:
    missing = [name for name in listed_names()[path] if not is_present(name, ROOT / path)]

    assert missing == []
