"""Read the element `distribution` of the settings from validated XML into typed values.

This module checks what the schema can't express, such as values that exclude each other. Each fault is one
line, `file:line:column: what; what to do`. The schema has the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from lxml import etree

from linenbridge.configuration.faults import SettingsFaults
from linenbridge.configuration.read import (
    SPACE,
    Configuration,
    attributes,
    duration,
    size,
)
from linenbridge.configuration.values import Address, flag, socket_address
from linenbridge.errors import FileFaultError

MIN_HEARTBEATS_IN_SILENCE = 2  # missed at least, before a peer counts as silent


class Role(StrEnum):
    """The role of a process in the distribution."""

    GATEWAY = "gateway"
    RELAY = "relay"
    PUBLISHER = "publisher"


class DistributionSettingsError(FileFaultError):
    """A fault in the element `distribution`."""

    advice = "mend the settings; the process does not start with them"


@dataclass(frozen=True, slots=True)
class Region:
    """Addresses of a region's relays and of the candidates for its publisher, by name."""

    relays: dict[str, Address]
    publishers: dict[str, Address]


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """The element `distribution`, with times in microseconds and rates in bytes a second.

    The names of the fields are those that `settings show` prints. `store` is a folder for a relay and a file
    for a gateway; it is "" if there is no store. `platform` is "" if there is no configuration of the
    platform. `trusted` is set if the operator assures that the store never goes back to an earlier state.
    `gather` is how long a relay collects changes for one batch. `followers` is the most followers of a relay,
    `authors` the most change clients of a publisher.
    """

    role: Role
    name: str
    region: str
    listen: Address | None
    store: str
    trusted: bool
    platform: str
    rate: int
    rate_between_regions: int
    compiled_routes: int
    gather: int
    heartbeat: int
    silence: int
    followers: int
    authors: int
    regions: dict[str, Region]

    @property
    def home(self) -> Region:
        """Region of this process."""
        return self.regions[self.region]

    def relay_address(self, relay: str) -> Address | None:
        """Return the address of a relay of any region; None if no region has a relay of that name."""
        for region in self.regions.values():
            if relay in region.relays:
                return region.relays[relay]
        return None


def publishers_task(region: str) -> str:
    """Return the name of the fleet's task whose holder is the region's publisher; the task's term is the
    epoch."""
    return f"publish-{region}"


def distribution(configuration: Configuration) -> DistributionSettings | None:
    """Return the element's values, or None if the settings have no such element.

    Raises ConfigurationError, which names every fault, one a line."""
    element = configuration.part("distribution")
    if element is None:
        return None
    faults = SettingsFaults(configuration, DistributionSettingsError)
    settings = _settings(configuration, element, _regions(element, faults))
    _check_times(element, settings, faults)
    _check_role(element, settings, faults)
    faults.raise_all()
    return settings


def _settings(
    configuration: Configuration, element: etree._Element, regions: dict[str, Region]
) -> DistributionSettings:
    values = attributes(element, "distribution")
    listen = values.get("listen")
    return DistributionSettings(
        role=Role(values["role"]),
        name=values["name"],
        region=values["region"],
        listen=None if listen is None else socket_address(listen),
        store=configuration.beside(values["store"]),
        trusted=flag(values["store-never-goes-back"]),
        platform=configuration.beside(values["platform"]),
        rate=size(values["rate"]),
        rate_between_regions=size(values["rate-between-regions"]),
        compiled_routes=size(values["compiled-routes"]),
        gather=duration(values["gather"]),
        heartbeat=duration(values["heartbeat"]),
        silence=duration(values["silence"]),
        followers=int(values["followers"]),
        authors=int(values["authors"]),
        regions=regions,
    )


def _regions(element: etree._Element, faults: SettingsFaults) -> dict[str, Region]:
    regions = dict[str, Region]()
    names = set[str]()
    for row in element.iterchildren(f"{SPACE}region"):
        if row.get("name") in regions:
            faults.add(row, f"two regions are named {row.get('name')}", "give each region a name of its own")
        relays = _peers(row, "relay", names, faults)
        publishers = _peers(row, "publisher", names, faults)
        regions[row.get("name")] = Region(relays, publishers)
    return regions


def _peers(region: etree._Element, kind: str, names: set[str], faults: SettingsFaults) -> dict[str, Address]:
    """Return the addresses of a region's processes of one kind, by name; names are unique across all
    regions."""
    found = dict[str, Address]()
    for row in region.iterchildren(SPACE + kind):
        name = row.get("name")
        if name in names:
            what = f"two processes are named {name}"
            faults.add(row, what, "give each relay and publisher a name of its own")
        names.add(name)
        found[name] = socket_address(row.get("address"))
    return found


def _check_times(element: etree._Element, settings: DistributionSettings, faults: SettingsFaults) -> None:
    if settings.gather > settings.heartbeat:
        faults.add(element, "`gather` is longer than `heartbeat`", "shorten `gather`")
    if settings.silence < MIN_HEARTBEATS_IN_SILENCE * settings.heartbeat:
        what = f"`silence` is shorter than {MIN_HEARTBEATS_IN_SILENCE} heartbeats"
        faults.add(element, what, "shorten `heartbeat` or lengthen `silence`")


def _check_role(element: etree._Element, settings: DistributionSettings, faults: SettingsFaults) -> None:
    home = settings.regions.get(settings.region)
    if home is None:
        faults.add(element, f"no region is named {settings.region}", "add the region with its relays")
        return
    if settings.role != Role.GATEWAY and faults.configuration.part("processor") is not None:
        what = f"a {settings.role} cannot have the element `processor`"
        faults.add(element, what, "run the processor in a process of its own")
    if settings.role == Role.GATEWAY:
        _check_gateway(element, settings, faults)
        return
    if settings.listen is None:
        faults.add(element, f"a {settings.role} has no `listen`", "add `listen`, the address for its peers")
    if settings.role == Role.RELAY:
        _check_relay(element, settings, home, faults)
    else:
        _check_publisher(element, settings, home, faults)
        _check_publishers_task(element, settings, faults)


def _check_gateway(element: etree._Element, settings: DistributionSettings, faults: SettingsFaults) -> None:
    names = {name for region in settings.regions.values() for name in (*region.relays, *region.publishers)}
    if settings.name in names:
        what = f"a relay or publisher is named {settings.name}"
        faults.add(element, what, "give the gateway its own name")


def _check_relay(
    element: etree._Element, settings: DistributionSettings, home: Region, faults: SettingsFaults
) -> None:
    if settings.name not in home.relays:
        what = f"{settings.name} is not a relay of region {settings.region}"
        faults.add(element, what, "add it to the region's relays")
    if not settings.store:
        what = "a relay has no `store`"
        faults.add(element, what, "add `store`, a folder on a persistent disk")


def _check_publisher(
    element: etree._Element, settings: DistributionSettings, home: Region, faults: SettingsFaults
) -> None:
    if settings.name not in home.publishers:
        what = f"{settings.name} is not a publisher of region {settings.region}"
        do = f"add it to the publishers of {settings.region}, so that change clients find it"
        faults.add(element, what, do)


def _check_publishers_task(
    element: etree._Element, settings: DistributionSettings, faults: SettingsFaults
) -> None:
    """Check that the element `fleet` has the region's task, with one holder at a time."""
    task = publishers_task(settings.region)
    fleet = faults.configuration.part("fleet")
    if fleet is None:
        do = f"add the element `fleet` with a task {task}"
        faults.add(element, "a publisher requires the element `fleet`, for its lease", do)
        return
    rows = [row for row in fleet.iterchildren(f"{SPACE}task") if row.get("name") == task]
    if not rows:
        do = "add the task: its holder is the region's publisher"
        faults.add(fleet, f"no task is named {task}", do)
    elif attributes(rows[0], "task")["places"] != "1":
        faults.add(rows[0], "`places` is not 1: a region has one publisher at a time", "set `places` to 1")
