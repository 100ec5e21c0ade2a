"""Reads the files that the base has written; `write_base_files.py` has the commit."""

from __future__ import annotations

import json
from pathlib import Path

FOLDER = Path(__file__).parent


def base_file(name: str) -> dict:
    """Return the content of the JSON file `name`."""
    return json.loads((FOLDER / name).read_text())
