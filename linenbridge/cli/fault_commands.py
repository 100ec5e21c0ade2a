"""`linenbridge faults`: days with injected faults against fake servers on loopback."""

from __future__ import annotations

import json
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from linenbridge.cli.options import CHECK_FAILED, AsJson

app = typer.Typer(no_args_is_help=True, help="Play days with faults against fake servers on loopback.")


@app.command("processor")
def processor(
    quick: Annotated[bool, typer.Option("--quick", help="Under forty seconds.")] = False,
    seed: Annotated[int, typer.Option(help="Of the day that is played.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Play fake nodes, platform, discovery and proxy around a processor, with and without faults.

    Prints decisions, the rules, and the added latency beside an empty processor. Exit 1: a rule broke.
    """
    from linenbridge.faults.processor import run_drill

    report = run_drill(seed, quick)
    print(json.dumps(report.as_dict()) if as_json else report.as_text())
    if report.broken():
        raise typer.Exit(CHECK_FAILED)


@app.command("transport")
def transport(
    seconds: Annotated[float, typer.Option(help="For how long each transport is asked.")] = 3.0,
    as_json: AsJson = False,
) -> None:
    """The same dialogue against an empty processor on each transport: what each costs for a stream."""
    from linenbridge.faults.transport import measure_transports

    rows = measure_transports(seconds)
    if as_json:
        print(json.dumps([vars(row) for row in rows]))
        return
    grid = Table("transport", "streams", "streams a core second", "p50 ms", "start s", "memory MB")
    for row in rows:
        grid.add_row(
            row.name, str(row.streams), f"{row.streams_per_core_s:.0f}", f"{row.p50_ms:.2f}",
            f"{row.start_s:.2f}", f"{row.memory_mb:.1f}",
        )  # fmt: skip
    Console().print(grid)
