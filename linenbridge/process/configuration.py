"""What one gateway is given when it starts: the platform's configuration and environment.

Owns the form of both. Holds no default that the platform's pages do not state.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from linenbridge.net.discovery import EndpointList, host_port
from linenbridge.net.platform import RolloutStatus
from linenbridge.startup import SettingsObject

CONFIGURATION_PATH = "LB_CONFIG"
# Fields that the environment gives where the configuration leaves them out.
ENVIRONMENT_VARIABLES = {"name": "LB_NAME", "listen": "LB_LISTEN", "discovery": "LB_DISCOVERY"}


class Limits(Struct):
    """What the process may use: open sockets, and memory in MB."""

    sockets: int
    memory_mb: float


class PlatformConfiguration(Struct):
    """The platform's part of the configuration; `news` is the rollout's state at the start."""

    address: str
    news: RolloutStatus | None = None


class ProcessConfiguration(Struct):
    """All that one gateway is given when it starts; `known` is the endpoint list at that time."""

    name: str
    listen: str
    discovery: str
    seed: str
    limits: Limits
    platform: PlatformConfiguration
    settings: SettingsObject
    known: EndpointList | None = None


def load(environ: dict[str, str]) -> ProcessConfiguration:
    """Read the configuration, with the environment for what it leaves out; ValueError has one plain line."""
    path = environ.get(CONFIGURATION_PATH)
    if not path:
        raise ValueError(f"{CONFIGURATION_PATH} is not set")
    try:
        return _read(Path(path), environ)
    except (OSError, ValueError) as error:
        raise ValueError(f"configuration {path}: {error}") from None


def _read(path: Path, environ: dict[str, str]) -> ProcessConfiguration:
    content = msgspec.json.decode(path.read_bytes())
    if not isinstance(content, dict):
        raise ValueError("it holds no object")
    from_environment = {
        field: environ[variable] for field, variable in ENVIRONMENT_VARIABLES.items() if variable in environ
    }
    configuration = msgspec.json.decode(
        msgspec.json.encode({**from_environment, **content}), type=ProcessConfiguration
    )
    endpoint_addresses = (
        [row.address for row in configuration.known.endpoints] if configuration.known is not None else []
    )
    for address in (
        configuration.listen,
        configuration.discovery,
        configuration.platform.address,
        *endpoint_addresses,
    ):
        host_port(address)
    int(configuration.seed, 16)
    return configuration
