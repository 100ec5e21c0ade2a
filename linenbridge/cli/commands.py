"""The commands and command groups of the command line, built with `typer`.

Exit codes: 0 for success, 1 if a check or a test with faults fails, 2 for invalid input; `publish` has its
own. A command imports its implementation when it is called, so that its start isn't delayed by the libraries
of other commands.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from linenbridge.cli import fault_commands, logs, route_commands, serving, settings_commands
from linenbridge.cli.options import AsJson, SettingsFile, invalid_input
from linenbridge.configuration.read import ConfigurationError, read

app = typer.Typer(
    name="linenbridge",
    no_args_is_help=True,
    add_completion=True,
    rich_markup_mode=None,
    help="Routes RPCs while a new build is rolled out, and votes on it from its own traffic.\n\n"
    "Without a command, `python -m linenbridge` is the platform's gateway and reads LB_CONFIG.",
)
app.add_typer(route_commands.app, name="route")
app.add_typer(settings_commands.app, name="settings")
app.add_typer(fault_commands.app, name="faults")
app.add_typer(fault_commands.app, name="drill", hidden=True)  # the earlier name
app.command()(serving.serve)
app.command()(serving.processor)
app.command()(serving.sim)
app.command("try")(serving.try_out)
app.command()(logs.logs)


@app.command("publish")
def publish_command(
    settings_file: SettingsFile,
    kind: Annotated[str, typer.Option(help="routes, tenant, instance or zone.")],
    name: Annotated[str, typer.Option(help="The key: a service, tenant, service/instance, or zone.")],
    value: Annotated[
        Path | None,
        typer.Option(help="A file with the value: routes as text, other kinds as a JSON object."),
    ] = None,
    delete: Annotated[bool, typer.Option("--delete", help="Delete the key.")] = False,
    region: Annotated[
        str, typer.Option(help="The region that owns the key; by default the region in the settings.")
    ] = "",
    accepted_within: Annotated[
        float, typer.Option(help="Seconds to wait until the change is accepted.")
    ] = 30.0,
    in_force_within: Annotated[
        float, typer.Option(help="Further seconds to wait until the change is in force.")
    ] = 10.0,
    as_json: AsJson = False,
) -> None:
    """Publish one change; print when it is accepted and in force, and which processes it has not reached.

    Exit codes: 0 in force everywhere, 1 accepted but not known to be in force everywhere, 2 rejected or not
    published, 3 unknown: the change may be accepted later.
    """
    from linenbridge.cli.publish import ChangeOptions, publish

    options = ChangeOptions(kind, name, value, delete, region, accepted_within, in_force_within)
    try:
        code = publish(read(str(settings_file)), options, as_json=as_json)
    except (ConfigurationError, ValueError, OSError) as error:
        raise invalid_input(error) from error
    raise typer.Exit(code)


def run() -> int:
    """Run the command line and return its exit code."""
    try:
        app(prog_name="linenbridge", standalone_mode=True)
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return 0
