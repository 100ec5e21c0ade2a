"""All that a gateway holds of the installation: versioned routes, tenants, instances and zones.

Keeps state without I/O. A host calls `apply` and `replace` between two requests, so that a request sees one
version, and hands what `dirty` gives to the store. A change that cannot be read or fails its checks leaves
the last good version of its key in force, is named in `Applied.refused`, and counts as seen: positions and
digests go on as everywhere else.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Generator, Iterable, Iterator
from struct import pack

from linenbridge.distribution.changes import (
    RANGES, Change, InstanceValue, Kind, Position, digest_of, range_of,
)  # fmt: skip
from linenbridge.distribution.decisions import Apply, ReplaceRange
from linenbridge.distribution.errors import ChangeRejected
from linenbridge.distribution.view.instances import InstanceTable
from linenbridge.distribution.view.rejections import Refusals
from linenbridge.distribution.view.regions import Region, Regions
from linenbridge.distribution.view.results import (
    Applied,
    Listed,
    PageKind,
    RefusedChange,
    StoredPage,
    ViewLimits,
)
from linenbridge.distribution.view.routes import RouteTable
from linenbridge.distribution.view.rules import PackedTable
from linenbridge.distribution.view.tables import RecordTable
from linenbridge.distribution.view.tenants import EPOCH_MOST, SEQUENCE_MOST, TenantTable
from linenbridge.distribution.view.values import Value, ValueChecks
from linenbridge.distribution.view.zones import ZoneTable
from linenbridge.interface import GONE, ListEntry, Method
from linenbridge.startup import LONG_AGO

Examined = Value | ChangeRejected | None  # read, refused, or a deletion


class _Tally:
    """What one call came to, while it runs."""

    def __init__(self) -> None:
        self.taken = self.passed = self.tenants = 0
        self.refused: list[RefusedChange] = []
        self.routes: set[str] = set()
        self.zones: set[str] = set()

    def count(self, change: Change) -> None:
        self.taken += 1
        self.tenants += change.kind == Kind.TENANT
        if change.kind == Kind.ROUTES:
            self.routes.add(change.name)
        elif change.kind == Kind.ZONE:
            self.zones.add(change.name)


class View:
    """The tables of one gateway. `longest` is the longest deadline; `unix_offset` is what makes the gateway's
    clock of Unix time, both in microseconds."""

    def __init__(
        self, methods: Iterable[Method], longest: int, unix_offset: int = 0, limits: ViewLimits | None = None
    ) -> None:
        methods, limits = list(methods), limits or ViewLimits()
        self.unix_offset, self.limits = unix_offset, limits
        self.checks = ValueChecks(methods, longest)
        self.regions = Regions()
        self.by_authority = RouteTable(
            self.regions, {method.name: method for method in methods}, longest, limits.compiled_bytes
        )
        self.by_tenant = TenantTable(self.regions)
        self.by_service = InstanceTable(self.regions)
        self.by_zone = ZoneTable(self.regions)
        self.refusals = Refusals()
        self.tables: dict[int, RecordTable] = {
            Kind.ROUTES: self.by_authority,
            Kind.TENANT: self.by_tenant,
            Kind.INSTANCE: self.by_service,
            Kind.ZONE: self.by_zone,
        }
        self.ahead: OrderedDict[int, Examined] = OrderedDict()
        self.counts: Counter[str] = Counter()

    # ---- look-ups --------------------------------------------------------------------------------

    def routes(self, authority: str) -> PackedTable | None:
        """The routing table of a service; None where nothing is said of it."""
        return self.by_authority.find(authority)

    def tenant(self, name: str) -> float | None:
        """The share of the load that a tenant may take; None where nothing is said of it."""
        return self.by_tenant.share(name)

    def instances(self, service: str) -> list[ListEntry]:
        """The instance list of a service, in no particular order. Those of a lost zone are GONE."""
        return [self._entry(name, value) for name, value in self.by_service.find(service).items()]

    def listed(self, service: str) -> list[Listed]:
        """The same with addresses."""
        return [self._listed(name, value) for name, value in self.by_service.find(service).items()]

    def use(self, service: str) -> list[Listed]:
        """Keep a service unpacked and hear of its changes in `Applied.instances`, from this list on."""
        self.by_service.use(service)
        return self.listed(service)

    def release(self, service: str) -> None:
        """The service is in use no more."""
        self.by_service.release(service)

    def _listed(self, name: str, value: InstanceValue, gone: bool = False) -> Listed:
        return Listed(self._entry(name, value, gone), (value.host, value.port))

    def _entry(self, name: str, value: InstanceValue, gone: bool = False) -> ListEntry:
        state = GONE if gone or self.by_zone.lost(value.zone) else value.state
        started = value.started * 1000 + self.unix_offset if value.started else LONG_AGO
        return ListEntry(name, value.build, value.zone, value.cell, state, value.size, started)

    # ---- how far it is ---------------------------------------------------------------------------

    def positions(self) -> list[Position]:
        """The version vector: a position in each region's log that the view has met."""
        return [region.stored_position() for region in self.regions.by_index]

    def digest(self, region: str) -> int | None:
        """Of the region's whole table, as `Applied.digest`."""
        return self.regions.get(region).digest()

    def range_digests(self, region: str) -> bytes:
        """Of each range of a region's keys, 8 bytes each, as relays compare them."""
        return pack(f">{RANGES}Q", *self.regions.get(region).digests)

    def refused(self) -> list[RefusedChange]:
        """Keys whose newest version is not the one in force."""
        return list(self.refusals.all())

    # ---- changes ---------------------------------------------------------------------------------

    def examine(self, change: Change) -> None:
        """Check a change ahead of its turn. Checks are what costs time: a host that has many changes to apply
        together calls this for each, with requests between, and then `apply`."""
        for _ in self.examining(change):
            pass

    def examining(self, change: Change) -> Iterator[None]:
        """The same in steps, a millisecond or so each, between which requests may be served."""
        wanted, region = digest_of(change), self.regions.by_name.get(change.region)
        if region is not None and self._digest(region, change.kind, change.name) == wanted:
            return  # It is held already.
        examined = yield from self._reading(change)
        self.ahead[wanted] = examined
        if len(self.ahead) > self.limits.examined:
            self.ahead.popitem(last=False)

    def _read(self, change: Change) -> Examined:
        steps = self._reading(change)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def _reading(self, change: Change) -> Generator[None, None, Examined]:
        if not change.value:
            return None
        if not (0 <= change.epoch < EPOCH_MOST and 0 <= change.sequence < SEQUENCE_MOST):
            return ChangeRejected(f"epoch below {EPOCH_MOST}, sequence below {SEQUENCE_MOST}", change.name)
        try:
            return (yield from self.checks.reading(change.kind, change.name, change.value))
        except ChangeRejected as error:
            return error

    def _examined(self, change: Change) -> Examined:
        found = self.ahead.pop(digest_of(change), None)
        return self._read(change) if found is None else found

    def apply(self, batch: Apply) -> Applied:
        """Changes behind the position come into force together; the position is then `upto`. What lies
        outside of (position, upto], or in a range that has been replaced by newer content, is passed over."""
        region, tally = self.regions.get(batch.region), _Tally()
        if batch.upto <= region.position:
            tally.passed = len(batch.changes)
            return self._applied(region, tally)
        new = []
        for change in batch.changes:
            if self._follows(region, batch, change):
                new.append((change, self._examined(change)))
            else:
                tally.passed += 1
        for change, examined in sorted(new, key=lambda pair: pair[0].version):
            self._take(region, change, examined, tally)
        region.move(batch.upto)
        self._end()
        return self._applied(region, tally)

    @staticmethod
    def _follows(region: Region, batch: Apply, change: Change) -> bool:
        return (
            change.region == region.name
            and change.version <= batch.upto
            and not region.known(range_of(change.kind, change.name), change.version)
        )

    def _take(self, region: Region, change: Change, examined: Examined, tally: _Tally) -> None:
        """One change into its table, or among the refusals; the digest of what it replaces goes."""
        before = self._digest(region, change.kind, change.name)
        self._put(region, change, examined, tally)
        region.add(range_of(change.kind, change.name), digest_of(change) - before)

    def _digest(self, region: Region, kind: int, name: str) -> int:
        """Of the newest version seen of a key; 0 where there is none."""
        refused = self.refusals.digest(region, kind, name)
        if refused is not None:
            return refused
        table = self.tables.get(kind)
        return 0 if table is None else table.digest(region, name)

    def _put(self, region: Region, change: Change, examined: Examined, tally: _Tally) -> None:
        if isinstance(examined, ChangeRejected):
            refused = RefusedChange(region.name, change.version, change.kind, change.name, examined.what)
            tally.refused.append(refused)
            self.refusals.put(region, change, examined.what)
            return
        self.refusals.remove(region, change.kind, change.name)
        table = self.tables.get(change.kind)
        if table is None:
            return
        if examined is None:
            table.remove(region, change.name)
        else:
            table.put(region, change, examined)
        tally.count(change)

    def replace(self, content: ReplaceRange) -> Applied:
        """A range of a region's keys, whole: keys that it does not name are gone. It may have been read later
        than at `upto` and then names newer versions: it holds all up to the newest that it names. Passed over
        where it is older than what the range holds."""
        region, tally = self.regions.get(content.region), _Tally()
        older = content.upto < max(region.position, region.floors.get(content.range_index, region.position))
        if older or not 0 <= content.range_index < RANGES:
            tally.passed = len(content.changes)
        else:
            self._replace(region, content, tally)
        if content.final and content.upto > region.position:
            region.move(content.upto)
        self._end()
        return self._applied(region, tally)

    def _replace(self, region: Region, content: ReplaceRange, tally: _Tally) -> None:
        changes = [change for change in content.changes if self._belongs(region, content, change)]
        tally.passed += len(content.changes) - len(changes)
        keys = {change.key for change in changes}
        for kind, table in self.tables.items():
            table.retain(region, content.range_index, {name for own, name in keys if own == kind})
        self.refusals.retain(region, content.range_index, keys)
        total = 0
        for change in changes:
            wanted = digest_of(change)
            total += wanted
            if self._digest(region, change.kind, change.name) == wanted:
                tally.passed += 1
            else:
                self._put(region, change, self._examined(change), tally)
        region.add(content.range_index, total - region.digests[content.range_index])
        region.raise_floor(content.range_index, max([content.upto, *(change.version for change in changes)]))

    @staticmethod
    def _belongs(region: Region, content: ReplaceRange, change: Change) -> bool:
        return (
            change.region == region.name
            and bool(change.value)
            and range_of(change.kind, change.name) == content.range_index
        )

    def _end(self) -> None:
        for table in self.tables.values():
            table.end()

    def _applied(self, region: Region, tally: _Tally) -> Applied:
        self.counts["taken"] += tally.taken
        self.counts["passed"] += tally.passed
        self.counts["refused"] += len(tally.refused)
        return Applied(
            region.name, region.position, region.digest(), tally.taken, tally.passed, tally.refused,
            sorted(tally.routes), tally.tenants, sorted(tally.zones),
            self.by_service.changed_in_use(self._listed),
        )  # fmt: skip

    # ---- on disk ---------------------------------------------------------------------------------

    def dirty(self) -> list[StoredPage]:
        """The pages that have changed since the last call, with the positions that they are at: they are
        stored all together or not at all."""
        found: list[StoredPage] = []
        for table in (*self.tables.values(), self.refusals, *self.regions.by_index):
            found.extend(table.dirty())
        return found

    def load(self, pages: Iterable[StoredPage]) -> None:
        """Stored pages into a new view, range by range; ValueError or a msgspec error where they do not fit
        together. An iterator is read page by page, so that nothing is held twice."""
        regions = []
        for page in pages:
            if page.kind in (PageKind.REGION, PageKind.DIGESTS):
                regions.append(page)
            elif page.kind == PageKind.REFUSED:
                self.refusals.load(page)
            else:
                self.tables[page.kind].load(page)
        for table in self.tables.values():
            table.loaded()
        self.regions.load(regions)

    def services(self) -> Iterator[str]:
        """Every service that has instances."""
        return self.by_service.services()
