"""Fixtures for the tests of a view."""

from __future__ import annotations

from pathlib import Path

import pytest

from linenbridge.distribution.view.view import View
from tests.distribution.view.helpers import Incarnation, content, is_empty, new_view


@pytest.fixture
def view() -> View:
    """Return an empty view."""
    return new_view()


@pytest.fixture
def path(tmp_path: Path) -> str:
    """Return a path at which a store can be created."""
    return str(tmp_path / "view.db")


@pytest.fixture
def stored(path: str) -> str:
    """Return the path of a store that has one version: `content(1, 0.5)`."""
    incarnation = Incarnation(path)
    assert is_empty(incarnation.view)
    assert incarnation.apply(content(1, 0.5))
    assert incarnation.events == []
    incarnation.store.close()
    return path
