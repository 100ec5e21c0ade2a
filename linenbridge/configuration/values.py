"""Parsers of attribute values that several elements of the settings share.

The schema has validated the text that they get.
"""

from __future__ import annotations

from linenbridge.net.discovery import host_port

Address = tuple[str, int]


def flag(text: str | None) -> bool:
    """Return the value of an XML boolean; False for an attribute that is left out."""
    return text in ("true", "1")


def socket_address(text: str) -> Address:
    """Return host and port of `host:port`, or of `[address]:port` for an IPv6 address."""
    return host_port(text.replace("[", "").replace("]", ""))
