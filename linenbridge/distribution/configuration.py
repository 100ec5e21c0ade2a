"""What the settings say to the distribution: the element `distribution`, from checked XML to plain objects.

Owns what the element's words stand for, and which of them can't stand together. Each wrong place is one line,
`file:line:column: what; what to do`. It must never hold a tuned value: defaults stand in the schema.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from lxml import etree

from linenbridge.configuration.read import (
    SPACE, Configuration, ConfigurationError, attributes, duration, size,
)  # fmt: skip
from linenbridge.errors import FileFaultError
from linenbridge.net.discovery import host_port

Address = tuple[str, int]
Refuse = Callable[[etree._Element, str, str], None]

HEARTBEATS_IN_SILENCE = 2  # a peer is silent once it has missed at least so many heartbeats


class Role(StrEnum):
    """What a process does in the distribution."""

    GATEWAY = "gateway"
    RELAY = "relay"
    PUBLISHER = "publisher"


class DistributionSettingsError(FileFaultError):
    """One wrong place in the element `distribution`."""

    advice = "mend the settings; the process does not start with them"


@dataclass(frozen=True, slots=True)
class Region:
    """A region's relays, and the processes that stand for its publisher, by name."""

    relays: dict[str, Address]
    publishers: dict[str, Address]


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """All that the settings say of the distribution. Times in microseconds, rates in bytes a second; "" is no
    store, or no configuration of the platform. A relay's `store` is a folder, a gateway's a file."""

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
        """This process's own region."""
        return self.regions[self.region]

    def relay_address(self, relay: str) -> Address | None:
        """Where a relay of any region listens."""
        for region in self.regions.values():
            if relay in region.relays:
                return region.relays[relay]
        return None


def publishers_task(region: str) -> str:
    """The fleet's task whose holder is the region's publisher; its term is the epoch."""
    return f"publish-{region}"


def distribution(configuration: Configuration) -> DistributionSettings | None:
    """The element, or None where there is none; ConfigurationError names every wrong place, a line each."""
    element = configuration.part("distribution")
    if element is None:
        return None
    wrong = list[DistributionSettingsError]()

    def refuse(at: etree._Element, what: str, do: str) -> None:
        wrong.append(DistributionSettingsError(what, configuration.place(at), do))

    said = attributes(element, "distribution")
    regions = _regions(element, refuse)
    listen = said.get("listen")
    settings = DistributionSettings(
        Role(said["role"]), said["name"], said["region"], None if listen is None else _address(listen),
        configuration.beside(said["store"]), said["store-never-goes-back"] in ("true", "1"),
        configuration.beside(said["platform"]),
        size(said["rate"]), size(said["rate-between-regions"]), size(said["compiled-routes"]),
        duration(said["gather"]), duration(said["heartbeat"]), duration(said["silence"]),
        int(said["followers"]), int(said["authors"]), regions,
    )  # fmt: skip
    _check_times(element, settings, refuse)
    _check_role(element, settings, configuration, refuse)
    if wrong:
        raise ConfigurationError("\n".join(str(error) for error in wrong))
    return settings


def _address(text: str) -> Address:
    return host_port(text.replace("[", "").replace("]", ""))


def _regions(element: etree._Element, refuse: Refuse) -> dict[str, Region]:
    regions, names = dict[str, Region](), set[str]()
    for row in element.iterchildren(f"{SPACE}region"):
        if row.get("name") in regions:
            refuse(row, f"two regions are named {row.get('name')}", "give each region a name of its own")
        relays = _peers(row, "relay", names, refuse)
        publishers = _peers(row, "publisher", names, refuse)
        regions[row.get("name")] = Region(relays, publishers)
    return regions


def _peers(region: etree._Element, kind: str, names: set[str], refuse: Refuse) -> dict[str, Address]:
    """The processes of one kind in a region; a name is one process's in all regions."""
    found = dict[str, Address]()
    for row in region.iterchildren(SPACE + kind):
        name = row.get("name")
        if name in names:
            refuse(row, f"two processes are named {name}", "give each relay and publisher a name of its own")
        names.add(name)
        found[name] = _address(row.get("address"))
    return found


def _check_times(element: etree._Element, settings: DistributionSettings, refuse: Refuse) -> None:
    if settings.gather > settings.heartbeat:
        refuse(element, "changes are gathered longer than a heartbeat", "shorten `gather`")
    if settings.silence < HEARTBEATS_IN_SILENCE * settings.heartbeat:
        refuse(
            element, f"`silence` is shorter than {HEARTBEATS_IN_SILENCE} heartbeats",
            "shorten `heartbeat` or lengthen `silence`",
        )  # fmt: skip


def _check_role(
    element: etree._Element, settings: DistributionSettings, configuration: Configuration, refuse: Refuse
) -> None:
    home = settings.regions.get(settings.region)
    if home is None:
        refuse(element, f"no region is named {settings.region}", "add the region with its relays")
        return
    if settings.role != Role.GATEWAY and configuration.part("processor") is not None:
        refuse(element, f"a {settings.role} serves no proxies", "give the processor a process of its own")
    if settings.role == Role.GATEWAY:
        _check_gateway(element, settings, refuse)
        return
    if settings.listen is None:
        refuse(element, f"a {settings.role} is connected to by others", "add `listen`")
    if settings.role == Role.RELAY:
        _check_relay(element, settings, home, refuse)
    else:
        _check_publisher(element, settings, home, configuration, refuse)


def _check_gateway(element: etree._Element, settings: DistributionSettings, refuse: Refuse) -> None:
    for region in settings.regions.values():
        if settings.name in region.relays or settings.name in region.publishers:
            refuse(
                element,
                f"a relay or publisher is named {settings.name}",
                "give the gateway its own name",
            )
            return


def _check_relay(
    element: etree._Element, settings: DistributionSettings, home: Region, refuse: Refuse
) -> None:
    if settings.name not in home.relays:
        refuse(element, f"{settings.name} is no relay of {settings.region}", "add it to the region's relays")
    if not settings.store:
        refuse(
            element, "a relay without a disk accepts nothing", "add `store`, a folder on a disk that lasts"
        )


def _check_publisher(
    element: etree._Element, settings: DistributionSettings, home: Region, configuration: Configuration,
    refuse: Refuse,
) -> None:  # fmt: skip
    if settings.name not in home.publishers:
        where = f"add it among the publishers of {settings.region}, so that authors find it"
        refuse(element, f"{settings.name} is no publisher of {settings.region}", where)
    task = publishers_task(settings.region)
    fleet = configuration.part("fleet")
    if fleet is None:
        refuse(element, "a publisher holds a lease of the fleet", f"add the element fleet with a task {task}")
        return
    rows = [row for row in fleet.iterchildren(f"{SPACE}task") if row.get("name") == task]
    if not rows:
        refuse(fleet, f"no task is named {task}", "add the task: its holder is the region's publisher")
    elif attributes(rows[0], "task")["places"] != "1":
        refuse(rows[0], "a region has one publisher at a time", "set `places` to 1")
