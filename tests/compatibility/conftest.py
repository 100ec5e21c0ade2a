"""Fixture for the records that the code of the base has written."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

DATA = Path(__file__).parent / "data"


@pytest.fixture(scope="session")
def record() -> Callable[[str], Any]:
    """Return a function that reads the JSON file `data/NAME.json`."""
    return lambda name: json.loads((DATA / f"{name}.json").read_text())
