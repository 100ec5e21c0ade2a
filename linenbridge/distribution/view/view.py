"""A gateway's view of the installation: versioned routes, tenants, instances and zones.

A host calls `apply` and `replace` between two requests, so that a request uses one version, and writes the
pages of `take_changed_pages` to the store. A change that cannot be decoded or fails its checks is listed in
`ApplyResult.rejected` and leaves the last good version of its key in force. The position and the digests
include the change nevertheless, so that they are the same as at every other gateway. The view owns its
tables; it performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from struct import pack

from linenbridge.distribution.changes import (
    RANGES,
    Change,
    InstanceValue,
    Kind,
    Position,
    digest_of,
    range_of,
)
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.view.instances import InstanceTable
from linenbridge.distribution.view.regions import Region, Regions
from linenbridge.distribution.view.rejections import RejectionTable
from linenbridge.distribution.view.results import (
    ApplyResult,
    Endpoint,
    PageKind,
    RejectedChange,
    StoredPage,
    ViewCounters,
    ViewLimits,
)
from linenbridge.distribution.view.routes import RouteTable
from linenbridge.distribution.view.rules import PackedTable
from linenbridge.distribution.view.tables import PageSource, RecordTable
from linenbridge.distribution.view.tenants import TenantTable
from linenbridge.distribution.view.validation import ChangeValidator, ValidatedValue
from linenbridge.distribution.view.values import ValueChecks
from linenbridge.distribution.view.zones import ZoneTable
from linenbridge.interface import EndpointEntry, InstanceState, Method
from linenbridge.startup import LONG_AGO

MICROSECONDS_PER_MILLISECOND = 1000
STATES = tuple(InstanceState)  # by number; `values` rejects any other number


class _ResultBuilder:
    """Collects the result of one `apply` or `replace`."""

    def __init__(self) -> None:
        self.applied = 0
        self.skipped = 0
        self.tenants = 0
        self.rejected: list[RejectedChange] = []
        self.routes: set[str] = set()
        self.zones: set[str] = set()

    def count(self, change: Change) -> None:
        """Count a change that was applied."""
        self.applied += 1
        match change.kind:
            case Kind.TENANT:
                self.tenants += 1
            case Kind.ROUTES:
                self.routes.add(change.name)
            case Kind.ZONE:
                self.zones.add(change.name)


class View:
    """The tables of one gateway."""

    def __init__(
        self,
        methods: Iterable[Method],
        max_deadline: int,
        unix_offset: int = 0,
        limits: ViewLimits | None = None,
    ) -> None:
        """Create an empty view.

        `max_deadline` is the longest deadline of a route. `unix_offset` is added to Unix time to get the time
        of the gateway's clock. Both are in microseconds.
        """
        methods = list(methods)
        limits = limits or ViewLimits()
        self.unix_offset = unix_offset
        self.validator = ChangeValidator(ValueChecks(methods, max_deadline), limits.max_prevalidated)
        self.regions = Regions()
        self.route_table = RouteTable(
            self.regions, {method.name: method for method in methods}, max_deadline, limits.max_compiled_bytes
        )
        self.tenant_table = TenantTable(self.regions)
        self.instance_table = InstanceTable(self.regions)
        self.zone_table = ZoneTable(self.regions)
        self.rejections = RejectionTable()
        self.tables: dict[int, RecordTable] = {
            Kind.ROUTES: self.route_table,
            Kind.TENANT: self.tenant_table,
            Kind.INSTANCE: self.instance_table,
            Kind.ZONE: self.zone_table,
        }
        self.counters = ViewCounters()

    # ---- look-ups --------------------------------------------------------------------------------

    def routes(self, authority: str) -> PackedTable | None:
        """Return the routing table of a service; None if the view has none."""
        return self.route_table.find(authority)

    def tenant_quota(self, name: str) -> float | None:
        """Return the share of the load that a tenant may use, 0 to 1; None if there is no quota."""
        return self.tenant_table.quota(name)

    def instances(self, service: str) -> list[EndpointEntry]:
        """Return the instances of a service, in no particular order.

        The instances of a lost zone are in the state REMOVED.
        """
        return [self._entry(name, value) for name, value in self.instance_table.find(service).items()]

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return the same as `instances`, with addresses."""
        return [self._endpoint(name, value) for name, value in self.instance_table.find(service).items()]

    def use(self, service: str) -> list[Endpoint]:
        """Keep a service unpacked, and return its endpoints.

        `ApplyResult.instances` has the later changes of the service until `release`.
        """
        self.instance_table.use(service)
        return self.endpoints(service)

    def release(self, service: str) -> None:
        """End the effect of `use`."""
        self.instance_table.release(service)

    def services(self) -> Iterator[str]:
        """Yield every service that has instances."""
        return self.instance_table.services()

    def _endpoint(self, name: str, value: InstanceValue, *, removed: bool = False) -> Endpoint:
        return Endpoint(self._entry(name, value, removed=removed), (value.host, value.port))

    def _entry(self, name: str, value: InstanceValue, *, removed: bool = False) -> EndpointEntry:
        lost = removed or self.zone_table.lost(value.zone)
        state = InstanceState.REMOVED if lost else STATES[value.state]
        started = LONG_AGO
        if value.started:
            started = value.started * MICROSECONDS_PER_MILLISECOND + self.unix_offset
        return EndpointEntry(name, value.build, value.zone, value.cell, state, value.size, started)

    # ---- positions and digests -------------------------------------------------------------------

    def positions(self) -> list[Position]:
        """Return the version vector: the position in the log of each region known to the view."""
        return [region.stored_position() for region in self.regions.by_index]

    def digest(self, region: str) -> int | None:
        """Return the digest of a region's complete content, as in `ApplyResult.digest`."""
        return self.regions.get(region).digest()

    def range_digests(self, region: str) -> bytes:
        """Return the digest of each range of a region's keys, 8 bytes each, highest byte first."""
        return pack(f">{RANGES}Q", *self.regions.get(region).digests)

    def rejected(self) -> list[RejectedChange]:
        """Return the rejected changes that are the newest version of their key."""
        return list(self.rejections.all())

    # ---- changes ---------------------------------------------------------------------------------

    def prevalidate(self, change: Change) -> None:
        """Validate a change ahead of its batch.

        Validation takes most of the time of `apply`: a host that has many changes to apply together calls
        this method for each, serves requests in between, and then calls `apply`.
        """
        for _ in self.validation_steps(change):
            pass

    def validation_steps(self, change: Change) -> Iterator[None]:
        """Validate ahead in steps of about a millisecond, between which requests may be served."""
        region = self.regions.by_name.get(change.region)
        if region is not None and self._digest(region, change.kind, change.name) == digest_of(change):
            return
        yield from self.validator.steps_ahead(change)

    def apply(self, batch: Apply) -> ApplyResult:
        """Apply the changes after the position together; set the position to `batch.upto`.

        Changes outside of (position, upto], or of a range that was replaced by newer content, are skipped.
        """
        region = self.regions.get(batch.region)
        result = _ResultBuilder()
        if batch.upto <= region.position:
            result.skipped = len(batch.changes)
            return self._result(region, result)
        new = []
        for change in batch.changes:
            if self._follows(region, batch, change):
                new.append((change, self.validator.take(change)))
            else:
                result.skipped += 1
        for change, validated in sorted(new, key=lambda pair: pair[0].version):
            self._apply_change(region, change, validated, result)
        region.advance_to(batch.upto)
        self._commit()
        return self._result(region, result)

    @staticmethod
    def _follows(region: Region, batch: Apply, change: Change) -> bool:
        return (
            change.region == region.name
            and change.version <= batch.upto
            and not region.has_seen(range_of(change.kind, change.name), change.version)
        )

    def _apply_change(
        self, region: Region, change: Change, validated: ValidatedValue, result: _ResultBuilder
    ) -> None:
        """Put one change into its table, or into the rejections, and update the digests."""
        before = self._digest(region, change.kind, change.name)
        self._put(region, change, validated, result)
        region.add(range_of(change.kind, change.name), digest_of(change) - before)

    def _digest(self, region: Region, kind: int, name: str) -> int:
        """Return the digest of the newest version of a key, rejected or not; 0 if there is none."""
        rejected = self.rejections.digest(region, kind, name)
        if rejected is not None:
            return rejected
        table = self.tables.get(kind)
        return 0 if table is None else table.digest(region, name)

    def _put(self, region: Region, change: Change, validated: ValidatedValue, result: _ResultBuilder) -> None:
        if isinstance(validated, ChangeRejected):
            result.rejected.append(
                RejectedChange(region.name, change.version, change.kind, change.name, validated.what)
            )
            self.rejections.put(region, change, validated.what)
            return
        self.rejections.remove(region, change.kind, change.name)
        table = self.tables.get(change.kind)
        if table is None:
            return
        if validated is None:
            table.remove(region, change.name)
        else:
            table.put(region, change, validated)
        result.count(change)

    def replace(self, content: ReplaceRange) -> ApplyResult:
        """Replace a range of a region's keys; keys that the content does not have are removed.

        Content that was read later than at `upto` has newer versions; the range is then complete up to the
        newest of them. Content that is older than the range is skipped.
        """
        region = self.regions.get(content.region)
        result = _ResultBuilder()
        if region.is_ahead_of(content.range_index, content.upto) or not 0 <= content.range_index < RANGES:
            result.skipped = len(content.changes)
        else:
            self._replace(region, content, result)
        if content.final and content.upto > region.position:
            region.advance_to(content.upto)
        self._commit()
        return self._result(region, result)

    def _replace(self, region: Region, content: ReplaceRange, result: _ResultBuilder) -> None:
        changes = [change for change in content.changes if self._belongs(region, content, change)]
        result.skipped += len(content.changes) - len(changes)
        keys = {change.key for change in changes}
        for kind, table in self.tables.items():
            table.retain(region, content.range_index, {name for own, name in keys if own == kind})
        self.rejections.retain(region, content.range_index, keys)
        total = 0
        for change in changes:
            wanted = digest_of(change)
            total += wanted
            if self._digest(region, change.kind, change.name) == wanted:
                result.skipped += 1
            else:
                self._put(region, change, self.validator.take(change), result)
        region.add(content.range_index, total - region.digests[content.range_index])
        region.raise_floor(content.range_index, max([content.upto, *(change.version for change in changes)]))

    @staticmethod
    def _belongs(region: Region, content: ReplaceRange, change: Change) -> bool:
        return (
            change.region == region.name
            and bool(change.value)
            and range_of(change.kind, change.name) == content.range_index
        )

    def _commit(self) -> None:
        for table in self.tables.values():
            table.commit()

    def _result(self, region: Region, built: _ResultBuilder) -> ApplyResult:
        result = ApplyResult(
            region=region.name,
            upto=region.position,
            digest=region.digest(),
            applied=built.applied,
            skipped=built.skipped,
            rejected=built.rejected,
            routes=sorted(built.routes),
            tenants=built.tenants,
            zones=sorted(built.zones),
            instances=self._changed_endpoints(),
        )
        self.counters.add(result)
        return result

    def _changed_endpoints(self) -> dict[str, list[Endpoint]]:
        return {
            service: [self._endpoint(one.name, one.value, removed=one.removed) for one in updates]
            for service, updates in self.instance_table.take_updates().items()
        }

    # ---- storage ---------------------------------------------------------------------------------

    def take_changed_pages(self) -> list[StoredPage]:
        """Return the pages that changed since the last call, including those of the positions.

        The store has to write all of them or none.
        """
        found: list[StoredPage] = []
        sources: list[PageSource] = [*self.tables.values(), self.rejections, *self.regions.by_index]
        for source in sources:
            found.extend(source.take_changed_pages())
        return found

    def load(self, pages: Iterable[StoredPage]) -> None:
        """Load stored pages, sorted by kind, range, name and number, into a new view.

        Raises ValueError or a msgspec error if the pages do not fit together. An iterator is read page by
        page, so that no page is in memory twice.
        """
        regions = []
        for page in pages:
            if page.kind in (PageKind.REGION, PageKind.DIGESTS):
                regions.append(page)
            elif page.kind == PageKind.REJECTION:
                self.rejections.load(page)
            else:
                self.tables[page.kind].load(page)
        for table in self.tables.values():
            table.finish_loading()
        self.regions.load(regions)
