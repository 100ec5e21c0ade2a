"""Values of attributes that several elements of the settings share, from text that passed the schema."""

from __future__ import annotations

from linenbridge.net.discovery import host_port

Address = tuple[str, int]


def flag(text: str | None) -> bool:
    """A boolean of XML; False where the attribute is left out."""
    return text in ("true", "1")


def socket_address(text: str) -> Address:
    """Host and port of `host:port`, or of `[address]:port` for an IPv6 address."""
    return host_port(text.replace("[", "").replace("]", ""))
