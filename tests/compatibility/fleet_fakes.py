"""What the recorder at the base and the tests share: raw AMP boxes, a reactor in memory that resolves names.

Imports nothing of linenbridge, so that it runs beside the code of any version.
"""

from __future__ import annotations

import json
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IHostnameResolver, IReactorPluggableNameResolver
from twisted.internet.testing import MemoryReactorClock, StringTransport
from zope.interface import implementer

RESOLVED_ADDRESS = "192.0.2.7"


def amp_box(fields: dict[bytes, bytes]) -> bytes:
    """One AMP box by the protocol's definition: keys and values with two bytes of length each, then a zero
    length."""
    rows = (len(key).to_bytes(2) + key + len(value).to_bytes(2) + value for key, value in fields.items())
    return b"".join(rows) + b"\0\0"


def log_rows(written: bytes) -> list[dict[str, Any]]:
    """The lines of a log without their times and traces."""
    rows = [json.loads(line) for line in written.splitlines()]
    return [{key: value for key, value in row.items() if key not in ("at", "trace")} for row in rows]


class SocketInMemory(StringTransport):
    """A transport that takes the option that a TCP transport has."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: FBT001, N802
        """Accepted and ignored."""


@implementer(IHostnameResolver)
class FixedResolver:
    """Resolves every name to one address."""

    def resolveHostName(self, receiver: Any, name: str, port: int = 0, *_: Any, **__: Any) -> Any:  # noqa: N802
        """Report the address at once; an address in digits stays as it is."""
        receiver.resolutionBegan(self)
        address = name if name.replace(".", "").isdigit() else RESOLVED_ADDRESS
        receiver.addressResolved(IPv4Address("TCP", address, port))
        receiver.resolutionComplete()
        return self


@implementer(IReactorPluggableNameResolver)
class ResolvingReactor(MemoryReactorClock):
    """Twisted's reactor in memory, with names that resolve."""

    nameResolver = FixedResolver()  # noqa: N815

    def installNameResolver(self, resolver: Any) -> Any:  # noqa: N802
        """Not used: the resolver is fixed."""
        return resolver
