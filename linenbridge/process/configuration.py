"""What one gateway is told when it starts: the platform's configuration and environment.

Owns the form of both. It must never hold a default that the platform's pages do not state.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from linenbridge.net.discovery import Listing, host_port
from linenbridge.net.platform import News
from linenbridge.startup import Info

TOLD = {"name": "LB_NAME", "listen": "LB_LISTEN", "discovery": "LB_DISCOVERY"}


class Limits(Struct):
    sockets: int
    memory_mb: float


class PlatformConfiguration(Struct):
    """The platform's part of the configuration."""

    address: str
    news: News | None = None


class ProcessConfiguration(Struct):
    """All that one gateway is told when it starts."""

    name: str
    listen: str
    discovery: str
    seed: str
    limits: Limits
    platform: PlatformConfiguration
    settings: Info
    known: Listing | None = None


def load(environ: dict[str, str]) -> ProcessConfiguration:
    """The configuration, with the environment for what it leaves out; ValueError holds one plain line."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ValueError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            told = msgspec.json.decode(file.read())
        if not isinstance(told, dict):
            raise ValueError("it holds no object")
        named = {field: environ[name] for field, name in TOLD.items() if name in environ}
        found = msgspec.json.decode(msgspec.json.encode({**named, **told}), type=ProcessConfiguration)
        listed = [row.address for row in found.known.endpoints] if found.known is not None else []
        for address in (found.listen, found.discovery, found.platform.address, *listed):
            host_port(address)
        int(found.seed, 16)
    except (OSError, ValueError) as error:
        raise ValueError(f"configuration {path}: {error}") from None
    return found
