"""Names that leave the process stay letter for letter: each is still in the file that writes it."""

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
    """The names of the list by the path of the file that writes them."""
    names: dict[str, list[str]] = {}
    for line in LIST.read_text().splitlines():
        if line and not line.startswith("# "):
            name, path = line.split("\t")
            names.setdefault(path if path.startswith("deploy/") else f"linenbridge/{path}", []).append(name)
    return names


def definitions(node: ast.AST) -> list[str]:
    """The names and text constants of one node that Python can turn into text."""
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


def test_list_is_complete_enough_to_be_worth_checking() -> None:
    assert sum(map(len, listed_names().values())) >= MIN_NAMES


@pytest.mark.parametrize("path", sorted(listed_names()))
def test_names_are_still_in_the_file_that_writes_them(path: str) -> None:
    missing = [name for name in listed_names()[path] if not is_present(name, ROOT / path)]

    assert missing == []
