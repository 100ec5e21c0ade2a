"""Fixtures for the records that the base, commit 4d24a08, has written, and for copies of its stores."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest

DATA = Path(__file__).parent / "data"


@pytest.fixture
def region_log_record() -> dict:
    """Return the content of the base's region log, before and after further writes."""
    return json.loads((DATA / "region_log" / "expected.json").read_text(encoding="utf-8"))


@pytest.fixture(params=["closed", "killed"])
def region_log_folder(request: pytest.FixtureRequest, tmp_path: Path) -> Path:
    """Return the folder of a copy of a region log of the base, either closed or left by a killed process."""
    return Path(shutil.copytree(DATA / "region_log" / request.param, tmp_path / "store"))


@pytest.fixture
def view_record() -> dict:
    """Return the content of the base's view, before and after further changes."""
    return json.loads((DATA / "view" / "expected.json").read_text(encoding="utf-8"))


@pytest.fixture
def view_path(tmp_path: Path) -> Path:
    """Return the path of a copy of the base's view store."""
    return Path(shutil.copy(DATA / "view" / "view.db", tmp_path / "view.db"))
