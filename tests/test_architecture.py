"""docs/architecture.md against the code: each file and name on the page exists, and its import rules hold."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "architecture.md").read_text()
PACKAGE = "linenbridge"
FILE = re.compile(r"`((?:linenbridge|deploy|tests|docs|examples)/[\w./-]*)`")
FILE_WITH_NAME = re.compile(r"`(linenbridge/[\w/]+\.py)` `([\w.]+)`")
CLASS_WITH_MEMBER = re.compile(r"`([A-Z]\w+)\.(\w+)`")
RULE = re.compile(r"^\| `(\w+)` \| [^|]+ \|([^|]*)\|$", re.MULTILINE)
RULES = {name: frozenset(re.findall(r"`(\w+)`", allowed)) for name, allowed in RULE.findall(PAGE)}


@cache
def definitions(path: Path) -> dict[str, set[str]]:
    """Return the names that a module defines at its top level, each with the names of its members."""
    found = dict[str, set[str]]()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef):
            members = [child for child in ast.walk(node) if isinstance(child, ast.FunctionDef)]
            found[node.name] = {child.name for child in members} | assigned_names(node)
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found[node.name] = set()
        else:
            found |= {name: set() for name in assigned_names(node)}
    return found


def assigned_names(node: ast.AST) -> set[str]:
    """Return the names and attributes that are assigned anywhere below a node."""
    stored = [child for child in ast.walk(node) if isinstance(child, ast.Name | ast.Attribute)]
    return {
        child.id if isinstance(child, ast.Name) else child.attr
        for child in stored
        if isinstance(child.ctx, ast.Store)
    }


def packages() -> dict[str, list[Path]]:
    """Return the project's top-level packages and modules, with their files."""
    found = dict[str, list[Path]]()
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        first = path.relative_to(ROOT / PACKAGE).parts[0].removesuffix(".py")
        found.setdefault(first, []).append(path)
    del found["__init__"]
    return found


def imported_packages(path: Path) -> set[str]:
    """Return the project's top-level packages that a file imports, at its top or within a function."""
    found = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        modules: list[str] = []
        if isinstance(node, ast.Import):
            modules = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module == PACKAGE:
            modules = [f"{PACKAGE}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            modules = [node.module]
        found |= {name.split(".")[1] for name in modules if name.startswith(f"{PACKAGE}.")}
    return found


@pytest.mark.parametrize("file", sorted(set(FILE.findall(PAGE))))
def test_every_file_on_the_page_exists(file: str) -> None:
    assert (ROOT / file).exists()


@pytest.mark.parametrize(("file", "name"), sorted(set(FILE_WITH_NAME.findall(PAGE))))
def test_every_name_on_the_page_is_defined_in_its_file(file: str, name: str) -> None:
    found = definitions(ROOT / file)

    first, _, member = name.partition(".")

    assert first in found
    assert not member or member in found[first]


@pytest.mark.parametrize(("name", "member"), sorted(set(CLASS_WITH_MEMBER.findall(PAGE))))
def test_every_member_on_the_page_belongs_to_a_class_of_the_project(name: str, member: str) -> None:
    paths = (ROOT / PACKAGE).rglob("*.py")

    owners = [path for path in paths if member in definitions(path).get(name, ())]

    assert owners


def test_the_page_has_a_rule_for_every_package() -> None:
    assert set(RULES) == set(packages())


@pytest.mark.parametrize("package", sorted(packages()))
def test_a_package_imports_exactly_the_packages_of_its_rule(package: str) -> None:
    imported = {name for path in packages()[package] for name in imported_packages(path)}

    assert imported - {package} == RULES[package]
