"""`linenbridge faults`: tests and measurements with fake servers on loopback."""

from __future__ import annotations

import json
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from linenbridge.cli.options import CHECK_FAILED, AsJson

app = typer.Typer(
    no_args_is_help=True,
    help="Run tests with injected faults, and measurements, against fake servers on loopback.",
)


@app.command("processor")
def processor(
    quick: Annotated[bool, typer.Option("--quick", help="A shorter run, under forty seconds.")] = False,
    seed: Annotated[int, typer.Option(help="The seed of the run.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Test a processor with a fake proxy, fake instances, discovery and platform, with and without faults.

    Prints the decisions, the checked rules, and the added latency compared with an empty processor. Exit code
    1 if a rule is violated.
    """
    from linenbridge.faults.processor import run_fault_days

    report = run_fault_days(seed, quick)
    print(json.dumps(report.as_dict()) if as_json else report.as_text())
    if report.broken():
        raise typer.Exit(CHECK_FAILED)


@app.command("transport")
def transport(
    seconds: Annotated[float, typer.Option(help="Seconds of requests to each transport.")] = 3.0,
    as_json: AsJson = False,
) -> None:
    """Measure the cost of a stream on each transport, with the same requests to an empty processor."""
    from linenbridge.faults.transport import measure_transports

    rows = measure_transports(seconds)
    if as_json:
        print(json.dumps([vars(row) for row in rows]))
        return
    grid = Table("transport", "streams", "streams a core second", "p50 ms", "start s", "memory MB")
    for row in rows:
        grid.add_row(
            row.name,
            str(row.streams),
            f"{row.streams_per_core_s:.0f}",
            f"{row.p50_ms:.2f}",
            f"{row.start_s:.2f}",
            f"{row.memory_mb:.1f}",
        )
    Console().print(grid)
