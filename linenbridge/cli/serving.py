"""Commands that start a gateway with a processor, a processor alone, the simulator's adapter, or the demo."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import typer

from linenbridge.cli.options import ConfigFile, OptionalConfigFile, SettingsFile, invalid_input, load_platform
from linenbridge.configuration.read import Configuration, ConfigurationError, read


def serve(settings_file: SettingsFile, config: OptionalConfigFile = None) -> None:
    """Serve clients over RESP2 and proxies over external processing, from one process.

    Without --config, run a process of the fleet or the distribution, which serves no RPCs.
    """
    _run(settings_file, config, serve_clients=True)


def processor(settings_file: SettingsFile, config: ConfigFile) -> None:
    """Serve only proxies, which open a stream for each request and receive its endpoint.

    SIGTERM drains the processor and ends it once no stream is open; SIGHUP reloads keys, discovery and
    platform; SIGUSR1 prints the counters.
    """
    _run(settings_file, config, serve_clients=False)


def sim() -> None:
    """Run the decision module with the simulator, by messages on standard input and output."""
    from linenbridge.simulator.adapter import serve as serve_simulator

    raise typer.Exit(serve_simulator(sys.stdin.buffer, sys.stdout.buffer))


def try_out() -> None:
    """Start a gateway with fake servers on loopback, send some requests and print the responses."""
    from linenbridge.faults.demo import run_demo

    raise typer.Exit(run_demo())


def _run(settings_file: Path, config: Path | None, *, serve_clients: bool) -> None:
    from linenbridge.processor.server import run

    try:
        configuration = read(str(settings_file))
        if config is None:
            code = _run_without_platform(configuration)
        else:
            platform = load_platform(config)
            os.environ["LB_CONFIG"] = str(config)  # so that a reload reads the same file
            code = run(configuration, platform, serve_clients)
    except (ConfigurationError, ValueError, OSError) as error:
        raise invalid_input(error) from error
    raise typer.Exit(code)


def _run_without_platform(configuration: Configuration) -> int:
    """Run a process of the fleet or the distribution, which serves no RPCs; return its exit code."""
    from linenbridge.distribution.hosting.server import run as run_distribution
    from linenbridge.fleet.configuration import fleet_settings
    from linenbridge.fleet.hosting.quorum_member import run as run_quorum_member

    if configuration.part("distribution") is not None:
        return run_distribution(configuration)
    settings = fleet_settings(configuration)
    if settings is None or configuration.part("processor") is not None:
        raise ConfigurationError(
            f"{configuration.path}: --config is required unless the file has `distribution`, or `fleet` alone"
        )
    return run_quorum_member(configuration, settings)
