"""Fixtures of the records that the base's own code wrote."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

DATA = Path(__file__).parent / "data"


@pytest.fixture(scope="session")
def record() -> Callable[[str], Any]:
    """Reads a file of `data/` by its name without the ending."""
    return lambda name: json.loads((DATA / f"{name}.json").read_text())
