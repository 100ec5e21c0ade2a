"""A gateway's configuration at its start: a JSON file and environment variables, both set by the platform.

Owns the format of both. Contains no default that the platform's documentation does not state.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from linenbridge.net.discovery import EndpointList, host_port
from linenbridge.net.platform import RolloutStatus
from linenbridge.startup import SettingsObject

CONFIGURATION_PATH = "LB_CONFIG"
# Environment variables that set a field which is missing from the file.
ENVIRONMENT_VARIABLES = {"name": "LB_NAME", "listen": "LB_LISTEN", "discovery": "LB_DISCOVERY"}


class Limits(Struct):
    """Limits of the process: open sockets, and memory in MB."""

    sockets: int
    memory_mb: float


class PlatformConfiguration(Struct):
    """The platform's address; `news` is the rollout's state at the start."""

    address: str
    news: RolloutStatus | None = None


class ProcessConfiguration(Struct):
    """The complete configuration of a gateway; `known` is the endpoint list at the start, `seed` is hex."""

    name: str
    listen: str
    discovery: str
    seed: str
    limits: Limits
    platform: PlatformConfiguration
    settings: SettingsObject
    known: EndpointList | None = None


def load(environ: dict[str, str]) -> ProcessConfiguration:
    """Read the file that LB_CONFIG names; environment variables set the fields that are missing from it.

    ValueError, with a message of one line, where the variable is not set, or the file can't be read or used.
    """
    path = environ.get(CONFIGURATION_PATH)
    if not path:
        raise ValueError(
            f"{CONFIGURATION_PATH} is not set: set it to the path of the gateway's configuration file"
        )
    try:
        return _read(Path(path), environ)
    except (OSError, ValueError) as error:
        raise ValueError(f"configuration {path}: {error}") from None


def _read(path: Path, environ: dict[str, str]) -> ProcessConfiguration:
    content = msgspec.json.decode(path.read_bytes())
    if not isinstance(content, dict):
        raise ValueError("the top level has to be a JSON object")
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
