"""All that a gateway holds of the installation: versioned routes, tenants, instances and zones.

Keeps state without I/O. A host calls `apply` and `replace` between two requests, so that a request sees one
version, and hands what `take_changed_pages` gives to the store. A change that cannot be read or fails its
checks leaves the last good version of its key in force, is named in `ApplyResult.rejected`, and counts as
seen: positions and digests go on as everywhere else.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Generator, Iterable, Iterator
from struct import pack

from linenbridge.distribution.changes import (
    RANGES, Change, InstanceValue, Kind, Position, digest_of, range_of,
)  # fmt: skip
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.errors import ChangeRefused
from linenbridge.distribution.view.instances import InstanceTable
from linenbridge.distribution.view.rejections import RejectionTable
from linenbridge.distribution.view.regions import Region, Regions
from linenbridge.distribution.view.results import (
    ApplyResult,
    Endpoint,
    PageKind,
    RejectedChange,
    StoredPage,
    ViewLimits,
)
from linenbridge.distribution.view.routes import RouteTable
from linenbridge.distribution.view.rules import PackedTable
from linenbridge.distribution.view.tables import RecordTable
from linenbridge.distribution.view.tenants import MAX_EPOCH, MAX_SEQUENCE, TenantTable
from linenbridge.distribution.view.values import Value, ValueChecks
from linenbridge.distribution.view.zones import ZoneTable
from linenbridge.interface import GONE, ListEntry, Method
from linenbridge.startup import LONG_AGO

ValidatedValue = Value | ChangeRefused | None  # read, refused, or a deletion


class _ResultBuilder:
    """What one call came to, while it runs."""

    def __init__(self) -> None:
        self.applied = self.skipped = self.tenants = 0
        self.rejected: list[RejectedChange] = []
        self.routes: set[str] = set()
        self.zones: set[str] = set()

    def count(self, change: Change) -> None:
        self.applied += 1
        self.tenants += change.kind == Kind.TENANT
        if change.kind == Kind.ROUTES:
            self.routes.add(change.name)
        elif change.kind == Kind.ZONE:
            self.zones.add(change.name)


class View:
    """The tables of one gateway. `max_deadline` is the longest deadline; `unix_offset` is what makes the
    gateway's clock of Unix time, both in microseconds."""

    def __init__(
        self,
        methods: Iterable[Method],
        max_deadline: int,
        unix_offset: int = 0,
        limits: ViewLimits | None = None,
    ) -> None:
        methods, limits = list(methods), limits or ViewLimits()
        self.unix_offset, self.limits = unix_offset, limits
        self.checks = ValueChecks(methods, max_deadline)
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
        self.prevalidated: OrderedDict[int, ValidatedValue] = OrderedDict()
        self.counts: Counter[str] = Counter()

    # ---- look-ups --------------------------------------------------------------------------------

    def routes(self, authority: str) -> PackedTable | None:
        """The routing table of a service; None where nothing is said of it."""
        return self.route_table.find(authority)

    def tenant_quota(self, name: str) -> float | None:
        """The share of the load that a tenant may take; None where nothing is said of it."""
        return self.tenant_table.quota(name)

    def instances(self, service: str) -> list[ListEntry]:
        """The instance list of a service, in no particular order. Those of a lost zone are GONE."""
        return [self._entry(name, value) for name, value in self.instance_table.find(service).items()]

    def endpoints(self, service: str) -> list[Endpoint]:
        """The same with addresses."""
        return [self._endpoint(name, value) for name, value in self.instance_table.find(service).items()]

    def use(self, service: str) -> list[Endpoint]:
        """Keep a service unpacked and hear of its changes in `ApplyResult.instances`, from this list on."""
        self.instance_table.use(service)
        return self.endpoints(service)

    def release(self, service: str) -> None:
        """The service is in use no more."""
        self.instance_table.release(service)

    def _endpoint(self, name: str, value: InstanceValue, removed: bool = False) -> Endpoint:
        return Endpoint(self._entry(name, value, removed), (value.host, value.port))

    def _entry(self, name: str, value: InstanceValue, removed: bool = False) -> ListEntry:
        state = GONE if removed or self.zone_table.lost(value.zone) else value.state
        started = value.started * 1000 + self.unix_offset if value.started else LONG_AGO
        return ListEntry(name, value.build, value.zone, value.cell, state, value.size, started)

    # ---- how far it is ---------------------------------------------------------------------------

    def positions(self) -> list[Position]:
        """The version vector: a position in each region's log that the view has met."""
        return [region.stored_position() for region in self.regions.by_index]

    def digest(self, region: str) -> int | None:
        """Of the region's whole table, as `ApplyResult.digest`."""
        return self.regions.get(region).digest()

    def range_digests(self, region: str) -> bytes:
        """Of each range of a region's keys, 8 bytes each, as relays compare them."""
        return pack(f">{RANGES}Q", *self.regions.get(region).digests)

    def rejected(self) -> list[RejectedChange]:
        """Keys whose newest version is not the one in force."""
        return list(self.rejections.all())

    # ---- changes ---------------------------------------------------------------------------------

    def prevalidate(self, change: Change) -> None:
        """Check a change ahead of its turn. Checks are what costs time: a host that has many changes to apply
        together calls this for each, with requests between, and then `apply`."""
        for _ in self.validation_steps(change):
            pass

    def validation_steps(self, change: Change) -> Iterator[None]:
        """The same in steps, a millisecond or so each, between which requests may be served."""
        wanted, region = digest_of(change), self.regions.by_name.get(change.region)
        if region is not None and self._digest(region, change.kind, change.name) == wanted:
            return  # It is held already.
        validated = yield from self._validate_in_steps(change)
        self.prevalidated[wanted] = validated
        if len(self.prevalidated) > self.limits.max_prevalidated:
            self.prevalidated.popitem(last=False)

    def _validate(self, change: Change) -> ValidatedValue:
        steps = self._validate_in_steps(change)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def _validate_in_steps(self, change: Change) -> Generator[None, None, ValidatedValue]:
        if not change.value:
            return None
        if not (0 <= change.epoch < MAX_EPOCH and 0 <= change.sequence < MAX_SEQUENCE):
            return ChangeRefused(f"epoch below {MAX_EPOCH}, sequence below {MAX_SEQUENCE}", change.name)
        try:
            return (yield from self.checks.read_in_steps(change.kind, change.name, change.value))
        except ChangeRefused as error:
            return error

    def _validated(self, change: Change) -> ValidatedValue:
        found = self.prevalidated.pop(digest_of(change), None)
        return self._validate(change) if found is None else found

    def apply(self, batch: Apply) -> ApplyResult:
        """Changes behind the position come into force together; the position is then `upto`. What lies
        outside of (position, upto], or in a range that has been replaced by newer content, is passed over."""
        region, result = self.regions.get(batch.region), _ResultBuilder()
        if batch.upto <= region.position:
            result.skipped = len(batch.changes)
            return self._result(region, result)
        new = []
        for change in batch.changes:
            if self._follows(region, batch, change):
                new.append((change, self._validated(change)))
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
        """One change into its table, or among the refusals; the digest of what it replaces goes."""
        before = self._digest(region, change.kind, change.name)
        self._put(region, change, validated, result)
        region.add(range_of(change.kind, change.name), digest_of(change) - before)

    def _digest(self, region: Region, kind: int, name: str) -> int:
        """Of the newest version seen of a key; 0 where there is none."""
        refused = self.rejections.digest(region, kind, name)
        if refused is not None:
            return refused
        table = self.tables.get(kind)
        return 0 if table is None else table.digest(region, name)

    def _put(self, region: Region, change: Change, validated: ValidatedValue, result: _ResultBuilder) -> None:
        if isinstance(validated, ChangeRefused):
            refused = RejectedChange(region.name, change.version, change.kind, change.name, validated.what)
            result.rejected.append(refused)
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
        """A range of a region's keys, whole: keys that it does not name are removed. It may have been read
        later than at `upto` and then names newer versions: it holds all up to the newest that it names.
        Passed over where it is older than what the range holds."""
        region, result = self.regions.get(content.region), _ResultBuilder()
        older = content.upto < max(region.position, region.floors.get(content.range, region.position))
        if older or not 0 <= content.range < RANGES:
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
            table.retain(region, content.range, {name for own, name in keys if own == kind})
        self.rejections.retain(region, content.range, keys)
        total = 0
        for change in changes:
            wanted = digest_of(change)
            total += wanted
            if self._digest(region, change.kind, change.name) == wanted:
                result.skipped += 1
            else:
                self._put(region, change, self._validated(change), result)
        region.add(content.range, total - region.digests[content.range])
        region.raise_floor(content.range, max([content.upto, *(change.version for change in changes)]))

    @staticmethod
    def _belongs(region: Region, content: ReplaceRange, change: Change) -> bool:
        return (
            change.region == region.name
            and bool(change.value)
            and range_of(change.kind, change.name) == content.range
        )

    def _commit(self) -> None:
        for table in self.tables.values():
            table.commit()

    def _result(self, region: Region, result: _ResultBuilder) -> ApplyResult:
        self.counts["applied"] += result.applied
        self.counts["skipped"] += result.skipped
        self.counts["rejected"] += len(result.rejected)
        return ApplyResult(
            region.name, region.position, region.digest(), result.applied, result.skipped, result.rejected,
            sorted(result.routes), result.tenants, sorted(result.zones),
            self.instance_table.changed_in_use(self._endpoint),
        )  # fmt: skip

    # ---- on disk ---------------------------------------------------------------------------------

    def take_changed_pages(self) -> list[StoredPage]:
        """The pages that have changed since the last call, with the positions that they are at: they are
        stored all together or not at all."""
        found: list[StoredPage] = []
        for table in (*self.tables.values(), self.rejections, *self.regions.by_index):
            found.extend(table.take_changed_pages())
        return found

    def load(self, pages: Iterable[StoredPage]) -> None:
        """Stored pages into a new view, range by range; ValueError or a msgspec error where they do not fit
        together. An iterator is read page by page, so that nothing is held twice."""
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

    def services(self) -> Iterator[str]:
        """Every service that has instances."""
        return self.instance_table.services()
