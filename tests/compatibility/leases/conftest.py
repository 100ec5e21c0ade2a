"""The files that the base wrote: `write_base_files.py` names its commit."""

from __future__ import annotations

import json
from pathlib import Path

FOLDER = Path(__file__).parent


def base_file(name: str) -> dict:
    """The content of one of the JSON files."""
    return json.loads((FOLDER / name).read_text())
