"""Records that the base of the rework wrote: what they hold, and copies of its stores to go on with."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest

DATA = Path(__file__).parent / "data"


@pytest.fixture
def region_log_record() -> dict:
    """What the base read from its region log, and what it held after further writes."""
    return json.loads((DATA / "region_log" / "expected.json").read_text(encoding="utf-8"))


@pytest.fixture(params=["closed", "killed"])
def region_log_folder(request: pytest.FixtureRequest, tmp_path: Path) -> Path:
    """A copy of the base's region log: one that was closed, and one whose process was killed."""
    return Path(shutil.copytree(DATA / "region_log" / request.param, tmp_path / "store"))


@pytest.fixture
def view_record() -> dict:
    """What the base answered from its view, and after further changes."""
    return json.loads((DATA / "view" / "expected.json").read_text(encoding="utf-8"))


@pytest.fixture
def view_path(tmp_path: Path) -> Path:
    """A copy of the base's store of a view."""
    return Path(shutil.copy(DATA / "view" / "view.db", tmp_path / "view.db"))
