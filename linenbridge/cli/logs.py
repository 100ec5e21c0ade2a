"""A folder of gateways' logs, read file by file.

Owns the files while they are read. It must never say what a line means: `sums.py` does.
"""

from __future__ import annotations

from pathlib import Path

from linenbridge.cli.sums import Sums


def add_up(folder: Path, every: float) -> Sums:
    """All files of the folder, a gateway each, in stretches of `every` seconds; OSError where one cannot be
    read, ValueError for a stretch of nothing."""
    sums = Sums(every)
    for file in sorted(path for path in folder.iterdir() if path.is_file()):
        with file.open(encoding="utf-8", errors="replace") as lines:
            sums.read(file.stem, lines)
    return sums
