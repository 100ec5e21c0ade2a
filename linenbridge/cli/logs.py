"""`linenbridge logs`: a summary of the log files in a folder.

This module reads the files and prints the summary; `sums` interprets their lines.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from linenbridge.cli.options import AsJson, invalid_input
from linenbridge.cli.sums import Sums


def sum_folder(folder: Path, interval: float) -> Sums:
    """Sum all files of the folder, each the log of one gateway, over intervals of `interval` seconds.

    Raise OSError if a file can't be read, ValueError if the interval is not positive.
    """
    sums = Sums(interval)
    for file in sorted(path for path in folder.iterdir() if path.is_file()):
        with file.open(encoding="utf-8", errors="replace") as lines:
            sums.read(file.stem, lines)
    return sums


def logs(
    folder: Annotated[Path, typer.Argument(help="A folder with one gateway's log in each file.")],
    every: Annotated[float, typer.Option(help="Seconds in each interval of the table.")] = 5.0,
    max_rows: Annotated[int, typer.Option("--most", help="The maximum number of rows.")] = 40,
    as_json: AsJson = False,
) -> None:
    """Summarize the logs of a fleet: the lines of each kind by interval of time, and all counters."""
    try:
        sums = sum_folder(folder, every)
    except (OSError, ValueError) as error:
        raise invalid_input(error) from error
    rows, counters = sums.rows()[:max_rows], dict(sorted(sums.counters.items()))
    if as_json:
        table = [
            {"kind": row.kind, "lines": row.lines, "gateways": row.gateways, "by": row.by_interval}
            for row in rows
        ]
        print(json.dumps({"every": every, "unread": sums.unread, "rows": table, "counters": counters}))
        return
    grid = Table("kind", "lines", "gateways", f"lines by {every:g} s")
    for row in rows:
        by_interval = " ".join(f"{index}:{number}" for index, number in row.by_interval.items())
        grid.add_row(row.kind, str(row.lines), str(row.gateways), by_interval)
    Console().print(grid)
    for name, count in counters.items():
        print(f"{name} {count}")
    if sums.unread:
        print(f"{sums.unread} lines skipped, which are not log lines of a gateway", file=sys.stderr)
