"""`linenbridge settings`: check the settings file, and print the values in force and the schema."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from linenbridge.cli.options import AsJson, SettingsFile, invalid_input, load_routes
from linenbridge.configuration.read import Configuration, ConfigurationError, read, schema_text
from linenbridge.processor.configuration import processor_settings
from linenbridge.processor.responses import ResponseFormat

SHOWN_BOUNDS = {  # name in `settings show` -> attribute of the limits
    "streams": "max_streams",
    "message": "max_message_bytes",
    "headers": "max_header_bytes",
    "backlog": "max_unsent_bytes",
    "first_word": "first_message_timeout",
    "unread": "unsent_timeout",
    "idle": "idle_timeout",
}
SHOWN_TICKETS = {  # name in `settings show` -> attribute of the terms
    "use_within": "use_within",
    "retry_within": "retry_within",
    "remember": "remember_for",
    "open_most": "max_open",
    "remember_most": "max_remembered",
}

app = typer.Typer(no_args_is_help=True, help="Check and print the settings file (XML).")


@app.command("check")
def check(
    settings_file: SettingsFile,
    config: Annotated[
        Path | None,
        typer.Option(
            "--config",
            "-c",
            help="The platform's configuration, to check the routes against its methods.",
            envvar="LB_CONFIG",
        ),
    ] = None,
) -> None:
    """Check the file against the schema and further rules; with --config, check its routes too."""
    from linenbridge.distribution.configuration import distribution  # most commands don't need it

    try:
        configuration = read(str(settings_file))
        found = processor_settings(configuration)
        distribution(configuration)
    except ConfigurationError as error:
        raise invalid_input(error) from error
    if config is not None and found is not None:
        load_routes(settings_file, config)
    print(f"{settings_file}: no fault")


@app.command("show")
def show(settings_file: SettingsFile, as_json: AsJson = False) -> None:
    """Print the settings in force, with defaults."""
    try:
        rows = shown(read(str(settings_file)))
    except ConfigurationError as error:
        raise invalid_input(error) from error
    if as_json:
        print(json.dumps(rows))
        return
    grid = Table("what", "value")
    for name, value in rows.items():
        grid.add_row(name, str(value))
    Console().print(grid)


def shown(configuration: Configuration) -> dict[str, object]:
    """Return the settings in force by their dotted names; times are in microseconds."""
    rows: dict[str, object] = {"log.level": configuration.log_level, **_distribution_rows(configuration)}
    if (found := processor_settings(configuration)) is None:
        return rows
    rows |= {
        "listen": f"{found.host}:{found.port}",
        "unrouted": "pass" if found.pass_unrouted else "refuse",
    }
    rows["tls"] = None if found.tls is None else found.tls.certificate
    rows["bounds.connections"] = found.connections
    rows |= {f"bounds.{name}": getattr(found.limits, attribute) for name, attribute in SHOWN_BOUNDS.items()}
    rows |= {f"tickets.{name}": getattr(found.terms, attribute) for name, attribute in SHOWN_TICKETS.items()}
    rows["store"] = None if found.store is None else " ".join(found.store)
    rows |= {f"answer.{name}": getattr(found.response_format, name) for name in ResponseFormat.__slots__}
    for known in found.peers:
        peer = known.peer
        identity = known.identity or str(known.network)
        facts = [identity, f"{peer.attempts} attempts", f"fail {'open' if peer.fail_open else 'closed'}"]
        rows[f"partner.{peer.name}"] = ", ".join([*facts, "ours"] if peer.is_own else facts)
    return rows


def _distribution_rows(configuration: Configuration) -> dict[str, object]:
    """Return the settings of the element `distribution`, if there is one; rates are in bytes per second."""
    from linenbridge.distribution.configuration import distribution

    found = distribution(configuration)
    if found is None:
        return {}
    rows: dict[str, object] = {
        f"distribution.{name}": getattr(found, name) for name in found.__slots__ if name != "regions"
    }
    for name, region in found.regions.items():
        rows[f"distribution.region.{name}.relays"] = " ".join(region.relays)
        rows[f"distribution.region.{name}.publishers"] = " ".join(region.publishers)
    return rows


@app.command("schema")
def schema() -> None:
    """Print the schema (XSD), for editors and other checkers."""
    sys.stdout.write(schema_text().decode())
