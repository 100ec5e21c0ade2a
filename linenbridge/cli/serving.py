"""The commands that serve: a gateway with its processor, a processor, the simulator's host, the demo."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import typer

from linenbridge.cli.options import ConfigFile, OptionalConfigFile, SettingsFile, invalid_input, load_platform
from linenbridge.configuration.read import Configuration, ConfigurationError, read


def serve(settings_file: SettingsFile, config: OptionalConfigFile = None) -> None:
    """Serve clients by RESP2 and proxies by external processing, from one process.

    Without a configuration, settings of a fleet or a distribution alone run a process that serves no RPCs.
    """
    _run(settings_file, config, serve_clients=True)


def processor(settings_file: SettingsFile, config: ConfigFile) -> None:
    """Serve proxies alone: they ask on a stream for each request where it goes.

    SIGTERM sends proxies elsewhere and ends once nothing is open; SIGHUP reads keys, discovery and platform
    again; SIGUSR1 prints the counters.
    """
    _run(settings_file, config, serve_clients=False)


def sim() -> None:
    """Run the decision module on the simulator's messages, on standard input and output."""
    from linenbridge.simulator.adapter import serve as serve_simulator

    raise typer.Exit(serve_simulator(sys.stdin.buffer, sys.stdout.buffer))


def try_out() -> None:
    """Start a gateway before fake servers on loopback, send some requests and show what comes back."""
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
            os.environ["LB_CONFIG"] = str(config)  # a reload reads the same file
            code = run(configuration, platform, serve_clients)
    except (ConfigurationError, ValueError, OSError) as error:
        raise invalid_input(error) from error
    raise typer.Exit(code)


def _run_without_platform(configuration: Configuration) -> int:
    """Runs a process of the fleet or the distribution, which serves no RPCs; its exit code."""
    from linenbridge.distribution.hosting.server import run as run_distribution
    from linenbridge.fleet.configuration import fleet_settings
    from linenbridge.fleet.hosting.quorum_member import run as run_quorum_member

    if configuration.part("distribution") is not None:
        return run_distribution(configuration)
    settings = fleet_settings(configuration)
    if settings is None or configuration.part("processor") is not None:
        raise ConfigurationError(f"{configuration.path}: only a fleet alone runs without --config")
    return run_quorum_member(configuration, settings)
