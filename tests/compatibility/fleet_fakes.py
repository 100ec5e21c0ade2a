"""Raw AMP boxes and an in-memory reactor that resolves names.

The tests and `record_fleet_hosting.py` use this module. It imports nothing from linenbridge, so that it runs
with any version of the code.
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
    """Encode one AMP box: each key and value after its length in two bytes, then a length of zero."""
    rows = (len(key).to_bytes(2) + key + len(value).to_bytes(2) + value for key, value in fields.items())
    return b"".join(rows) + b"\0\0"


def log_rows(written: bytes) -> list[dict[str, Any]]:
    """Return the lines of a log without the fields `at` and `trace`."""
    rows = [json.loads(line) for line in written.splitlines()]
    return [{key: value for key, value in row.items() if key not in ("at", "trace")} for row in rows]


class SocketInMemory(StringTransport):
    """An in-memory transport that accepts TCP_NODELAY, as a TCP transport does."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: FBT001, N802
        """Ignore the option."""


@implementer(IHostnameResolver)
class FixedResolver:
    """Resolves every name to one address."""

    def resolveHostName(self, receiver: Any, name: str, port: int = 0, *_: Any, **__: Any) -> Any:  # noqa: N802
        """Report the fixed address at once, or `name` itself if it is an IPv4 address."""
        receiver.resolutionBegan(self)
        address = name if name.replace(".", "").isdigit() else RESOLVED_ADDRESS
        receiver.addressResolved(IPv4Address("TCP", address, port))
        receiver.resolutionComplete()
        return self


@implementer(IReactorPluggableNameResolver)
class ResolvingReactor(MemoryReactorClock):
    """Twisted's in-memory reactor with a resolver of host names."""

    nameResolver = FixedResolver()  # noqa: N815

    def installNameResolver(self, resolver: Any) -> Any:  # noqa: N802
        """Return `resolver` without installing it: the resolver is fixed."""
        return resolver
