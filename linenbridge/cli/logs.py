"""A folder of gateways' logs, read file by file.

Owns the files while they are read; `sums` says what their lines mean.
"""

from __future__ import annotations

from pathlib import Path

from linenbridge.cli.sums import Sums


def sum_folder(folder: Path, interval: float) -> Sums:
    """The sums of all files of the folder, one gateway a file, over intervals of `interval` seconds.

    OSError where a file can't be read, ValueError where the interval is not positive.
    """
    sums = Sums(interval)
    for file in sorted(path for path in folder.iterdir() if path.is_file()):
        with file.open(encoding="utf-8", errors="replace") as lines:
            sums.read(file.stem, lines)
    return sums
