"""What the commands share: options, exit codes, and the reading of the files that options name."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Final

import typer

from linenbridge.configuration.read import ConfigurationError, read

if TYPE_CHECKING:
    from linenbridge.process.configuration import ProcessConfiguration
    from linenbridge.routes.table import Table

CHECK_FAILED: Final = 1  # exit code: a check or a day of faults found something
INVALID_INPUT: Final = 2  # exit code: what was given can't be used

SettingsFile = Annotated[
    Path, typer.Option("--settings", "-s", help="Settings of our own, in XML.", envvar="LB_SETTINGS")
]
ConfigFile = Annotated[
    Path, typer.Option("--config", "-c", help="The platform's configuration, in JSON.", envvar="LB_CONFIG")
]
OptionalConfigFile = Annotated[
    Path | None, typer.Option("--config", "-c", help="The platform's configuration.", envvar="LB_CONFIG")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def invalid_input(error: Exception) -> typer.Exit:
    """Prints the error in one line; the exit to raise for input that can't be used."""
    print(f"linenbridge: {error}", file=sys.stderr)
    return typer.Exit(INVALID_INPUT)


def load_platform(config: Path) -> ProcessConfiguration:
    """The platform's configuration at a path; ValueError where it can't be used."""
    from linenbridge.process.configuration import load  # Twisted, which most commands don't need

    return load({**os.environ, "LB_CONFIG": str(config)})


def load_routes(settings_file: Path, config: Path) -> Table:
    """The routing table of the settings, checked against the platform's methods; exits with 2 on a fault."""
    from linenbridge.processor.configuration import processor_settings, routes
    from linenbridge.startup import startup

    try:
        platform = load_platform(config)
        settings = processor_settings(read(str(settings_file)))
        if settings is None:
            raise ConfigurationError(f"{settings_file}: it has no processor, and so no routes")
        methods = list(startup(platform.settings).methods)
        return routes(settings, methods, platform.settings.max_deadline())
    except (ConfigurationError, ValueError, OSError) as error:
        raise invalid_input(error) from error
