"""What one gateway is given when it starts: the platform's configuration and environment.

Owns the form of both. Holds no default that the platform's pages do not state.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from linenbridge.net.discovery import EndpointList, host_port
from linenbridge.net.platform import RolloutStatus
from linenbridge.startup import Info

CONFIGURATION_PATH = "LB_CONFIG"
# Fields that the environment gives where the configuration leaves them out.
ENVIRONMENT = {"name": "LB_NAME", "listen": "LB_LISTEN", "discovery": "LB_DISCOVERY"}


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
    settings: Info
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
    named = {field: environ[name] for field, name in ENVIRONMENT.items() if name in environ}
    found = msgspec.json.decode(msgspec.json.encode({**named, **content}), type=ProcessConfiguration)
    listed = [row.address for row in found.known.endpoints] if found.known is not None else []
    for address in (found.listen, found.discovery, found.platform.address, *listed):
        host_port(address)
    int(found.seed, 16)
    return found
