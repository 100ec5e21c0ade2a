"""Options and exit codes that commands share, and functions that read the files given in options."""

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

CHECK_FAILED: Final = 1  # exit code: a check failed, or no route matches
INVALID_INPUT: Final = 2  # exit code: an option, a setting or a file is invalid

SettingsFile = Annotated[
    Path, typer.Option("--settings", "-s", help="The settings file, in XML.", envvar="LB_SETTINGS")
]
ConfigFile = Annotated[
    Path, typer.Option("--config", "-c", help="The platform's configuration, in JSON.", envvar="LB_CONFIG")
]
OptionalConfigFile = Annotated[
    Path | None,
    typer.Option("--config", "-c", help="The platform's configuration, in JSON.", envvar="LB_CONFIG"),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def invalid_input(error: Exception) -> typer.Exit:
    """Print the error to standard error; return the exception that exits with the code `INVALID_INPUT`."""
    print(f"linenbridge: {error}", file=sys.stderr)
    return typer.Exit(INVALID_INPUT)


def load_platform(config: Path) -> ProcessConfiguration:
    """Read the platform's configuration from the file `config`; raise ValueError if it is invalid."""
    from linenbridge.process.configuration import load  # imports Twisted, which most commands don't need

    return load({**os.environ, "LB_CONFIG": str(config)})


def load_routes(settings_file: Path, config: Path) -> Table:
    """Return the routing table of the settings, checked against the platform's methods.

    If a file is invalid, print the error and exit with code 2 (`INVALID_INPUT`).
    """
    from linenbridge.processor.configuration import processor_settings, routes
    from linenbridge.startup import startup

    try:
        platform = load_platform(config)
        settings = processor_settings(read(str(settings_file)))
        if settings is None:
            raise ConfigurationError(
                f"{settings_file}: the element `processor`, which has the routes, is missing; add it"
            )
        methods = list(startup(platform.settings).methods)
        return routes(settings, methods, platform.settings.max_deadline())
    except (ConfigurationError, ValueError, OSError) as error:
        raise invalid_input(error) from error
