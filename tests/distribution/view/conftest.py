"""Fixtures of the tests of a view."""

from __future__ import annotations

from pathlib import Path

import pytest

from linenbridge.distribution.view.view import View
from tests.distribution.view.helpers import Incarnation, content, is_empty, new_view


@pytest.fixture
def view() -> View:
    """An empty view."""
    return new_view()


@pytest.fixture
def path(tmp_path: Path) -> str:
    """Where a store may be created."""
    return str(tmp_path / "view.db")


@pytest.fixture
def stored(path: str) -> str:
    """The path of a store with one version in it: `content(1, 0.5)`."""
    incarnation = Incarnation(path)
    assert is_empty(incarnation.view)
    assert incarnation.apply(content(1, 0.5))
    assert incarnation.events == []
    incarnation.store.close()
    return path
