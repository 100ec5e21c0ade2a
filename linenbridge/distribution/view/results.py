"""What a view tells its host, and what it wants kept on disk, as typed values.

Owns their form. It must never know a table.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from msgspec import Struct, field

from linenbridge.distribution.changes import Version
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.interface import ListEntry

KIND_NAMES = {1: "routes", 2: "tenant", 3: "instance", 4: "zone"}


class ViewLimits(Struct, frozen=True):
    """Bounds of one view. `compiled_bytes` is what route sets unpacked for look-ups may take, estimated (the
    settings' `compiled-routes`); `examined` how many changes may be checked ahead of their turn."""

    compiled_bytes: int = 4_000_000
    examined: int = 256


class RefusedChange(Struct, frozen=True):
    """A change that cannot be read or fails its checks: which key, which version, and why."""

    region: str
    version: Version
    kind: int
    name: str
    reason: str

    def error(self) -> ChangeRejected:
        """As the typed error, whose text names all of it."""
        kind = KIND_NAMES.get(self.kind, str(self.kind))
        place = f"{kind} {self.name} at {self.region}/{self.version.epoch}/{self.version.sequence}"
        return ChangeRejected(self.reason, place)


class Listed(NamedTuple):
    """One instance as the decision module and the processor's front take it."""

    entry: ListEntry
    address: tuple[str, int]


class Applied(Struct, frozen=True):
    """What one `apply` or `replace` came to. `upto` is the position from now on. `digest` is that of the
    region's whole table there, None while single ranges are further on than the position. `routes` and
    `zones` name what changed; `instances` has the changed entries of the services in use, those that went as
    GONE. `passed` counts changes that were known already."""

    region: str
    upto: Version
    digest: int | None
    taken: int = 0
    passed: int = 0
    refused: list[RefusedChange] = field(default_factory=list)
    routes: list[str] = field(default_factory=list)
    tenants: int = 0
    zones: list[str] = field(default_factory=list)
    instances: dict[str, list[Listed]] = field(default_factory=dict)


class PageKind(IntEnum):
    """What a stored page holds; the first four as `changes.Kind`."""

    ROUTES = 1
    TENANT = 2
    INSTANCE = 3
    ZONE = 4
    REFUSED = 5
    REGION = 6
    DIGESTS = 7


class StoredPage(NamedTuple):
    """One page for the disk, found by kind, name and number; without a body it is to be deleted."""

    kind: int
    name: str
    number: int
    body: bytes | None
