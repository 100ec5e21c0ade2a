"""The types that a view returns to its host: results, rejections and pages to store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from msgspec import Struct, field

from linenbridge.distribution.changes import Version
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.interface import EndpointEntry

KIND_NAMES = {1: "routes", 2: "tenant", 3: "instance", 4: "zone"}


class ViewLimits(Struct, frozen=True):
    """Bounds of one view.

    `max_compiled_bytes` is the limit of the estimated memory of the rule sets that are compiled for look-ups
    (the setting `compiled-routes`), `max_prevalidated` that of the number of results of changes that were
    validated ahead of their batch.
    """

    max_compiled_bytes: int = 4_000_000
    max_prevalidated: int = 256


class RejectedChange(Struct, frozen=True):
    """A change that cannot be decoded or fails its checks: its key, its version, and the reason."""

    region: str
    version: Version
    kind: int
    name: str
    reason: str

    def error(self) -> ChangeRejected:
        """Return the rejection as an error whose text has the key, the version and the reason."""
        kind = KIND_NAMES.get(self.kind, str(self.kind))
        place = f"{kind} {self.name} at {self.region}/{self.version.epoch}/{self.version.sequence}"
        return ChangeRejected(self.reason, place)


class Endpoint(NamedTuple):
    """One instance: its entry in the endpoint list of the decision module, and its host and port."""

    entry: EndpointEntry
    address: tuple[str, int]


class ApplyResult(Struct, frozen=True):
    """The result of one `View.apply` or `View.replace`.

    `upto` is the position after the call. `digest` is the digest of the region's complete content at that
    position, None while a range is ahead of the position. `applied` is the number of applied changes,
    `skipped` that of changes that the view has already or that do not belong to the batch. `routes` and
    `zones` have the names of the changed keys, `tenants` is the number of changed tenants. `instances` has
    the changed endpoints of the services in use, removed ones in the state REMOVED.
    """

    region: str
    upto: Version
    digest: int | None
    applied: int = 0
    skipped: int = 0
    rejected: list[RejectedChange] = field(default_factory=list)
    routes: list[str] = field(default_factory=list)
    tenants: int = 0
    zones: list[str] = field(default_factory=list)
    instances: dict[str, list[Endpoint]] = field(default_factory=dict)


@dataclass(slots=True)
class ViewCounters:
    """The numbers of changes that a view has applied, skipped and rejected since its creation."""

    applied: int = 0
    skipped: int = 0
    rejected: int = 0

    def add(self, result: ApplyResult) -> None:
        """Count one result."""
        self.applied += result.applied
        self.skipped += result.skipped
        self.rejected += len(result.rejected)


class PageKind(IntEnum):
    """The content of a stored page; the first four values are those of `changes.Kind`."""

    ROUTES = 1
    TENANT = 2
    INSTANCE = 3
    ZONE = 4
    REJECTION = 5
    REGION = 6
    DIGESTS = 7


class StoredPage(NamedTuple):
    """One page for the store, identified by kind, name and number; a page without a body is deleted."""

    kind: int
    name: str
    number: int
    body: bytes | None
