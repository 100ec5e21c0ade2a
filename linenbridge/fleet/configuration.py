"""Convert the element `fleet` of the settings from validated XML to typed objects.

Checks what the schema can't express, such as values that exclude each other. Each fault is one line,
`file:line:column: fault; advice`. Defaults are in the schema, not here.
"""

from __future__ import annotations

from dataclasses import dataclass

from lxml import etree

from linenbridge.configuration.faults import SettingsFaults
from linenbridge.configuration.read import SPACE, Configuration, attributes, duration
from linenbridge.configuration.values import Address, flag, socket_address
from linenbridge.errors import FileFaultError
from linenbridge.fleet.freezes.configuration import windows
from linenbridge.fleet.freezes.windows import Window
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.timing import LeaseTiming
from linenbridge.net.discovery import host_port

RESTARTS_TASK = "restarts"  # each slot of this task lets one member restart
MIN_ACCEPTORS = 3
MAX_ACCEPTORS = 7
MAX_SLOTS = 64  # per task
MIN_HEARTBEATS_PER_LEASE = 3
PPM_PER_PERCENT = 10_000
MAX_DRIFT_PPM = 500_000  # exclusive


class FleetSettingsError(FileFaultError):
    """One fault in the element `fleet`."""

    advice = "correct the settings; until then the member keeps its earlier settings, or does not start"


@dataclass(frozen=True, slots=True)
class TaskSettings:
    """One task: how many members hold it at once, and where each holder sends its actions.

    `action_address` is None for a task without actions. `action_interval` is in microseconds.
    """

    task: str
    slots: int
    action_address: Address | None
    action_interval: int


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The values of the element `fleet`. Times are in microseconds; `members` excludes this member."""

    member: str
    listen: Address
    store: str
    store_never_goes_back: bool
    timing: LeaseTiming
    members: dict[str, Address]
    quorum: Quorum
    first_term: int
    tasks: tuple[TaskSettings, ...]
    restart_timeout: int
    windows: tuple[Window, ...] = ()

    def is_acceptor(self) -> bool:
        """Return whether this member is one of the acceptors."""
        return self.member in self.quorum.all_acceptors()


def fleet_settings(configuration: Configuration) -> FleetSettings | None:
    """Return the values of the element `fleet`, or None if the file has no such element.

    Raise ConfigurationError with one line for each fault.
    """
    element = configuration.part("fleet")
    if element is None:
        return None
    faults = SettingsFaults(configuration, FleetSettingsError)
    values = attributes(element, "fleet")
    timing = _lease_timing(element, values, faults)
    members = _members(element, values["member"], faults)
    quorum_element = _quorum_element(element)
    quorum = _quorum(quorum_element, values["member"], members, faults)
    tasks = _tasks(element, faults)
    restarts, restart_timeout = _restarts(element)
    faults.raise_all()
    return FleetSettings(
        member=values["member"],
        listen=socket_address(values["listen"]),
        store=configuration.beside(values["store"]),
        store_never_goes_back=flag(values["store-never-goes-back"]),
        timing=timing,
        members=members,
        quorum=quorum,
        first_term=int(attributes(quorum_element, "quorum")["first-term"]),
        tasks=(*tasks, *restarts),
        restart_timeout=restart_timeout,
        windows=windows(configuration.beside(values["freezes"])),
    )


def _lease_timing(element: etree._Element, values: dict[str, str], faults: SettingsFaults) -> LeaseTiming:
    lease = duration(values["lease"])
    max_lease = duration(values["longest"])
    heartbeat = duration(values["beat"])
    drift_ppm = round(float(values["clocks-apart"].rstrip("%")) * PPM_PER_PERCENT)
    if max_lease < lease:
        faults.add(
            element,
            f"`lease` is {values['lease']}, longer than `longest` ({values['longest']})",
            "lower `lease`, or raise `longest` at all members first",
        )
    if heartbeat * MIN_HEARTBEATS_PER_LEASE > lease:
        faults.add(
            element,
            f"`lease` is {values['lease']}, shorter than three times `beat`",
            "shorten `beat` or lengthen `lease`",
        )
    if drift_ppm >= MAX_DRIFT_PPM:
        faults.add(
            element,
            f"`clocks-apart` is {values['clocks-apart']}, but has to be below 50%",
            "set it to the upper bound of the clock drift between the machines",
        )
    return LeaseTiming(lease, max_lease, drift_ppm, heartbeat)


def _members(element: etree._Element, own_name: str, faults: SettingsFaults) -> dict[str, Address]:
    """Return the addresses of the other members by name."""
    members: dict[str, Address] = {}
    for row in element.iterchildren(f"{SPACE}member"):
        name = row.get("name")
        if name in members or name == own_name:
            faults.add(row, f"two members are named {name}", "give each member a name of its own")
        members[name] = socket_address(row.get("address"))
    return members


def _tasks(element: etree._Element, faults: SettingsFaults) -> list[TaskSettings]:
    tasks: list[TaskSettings] = []
    for row in element.iterchildren(f"{SPACE}task"):
        values = attributes(row, "task")
        slots = int(values["places"])
        if values["name"] in (RESTARTS_TASK, *(task.task for task in tasks)):
            faults.add(
                row,
                f"the task name {values['name']} is already in use",
                "give each task its own name, other than `restarts`",
            )
        if slots > MAX_SLOTS:
            faults.add(row, f"`places` is {slots}, above the maximum of {MAX_SLOTS}", "lower `places`")
        address = host_port(values["act"]) if "act" in values else None
        tasks.append(TaskSettings(values["name"], slots, address, duration(values["every"])))
    return tasks


def _restarts(element: etree._Element) -> tuple[list[TaskSettings], int]:
    """Return the task of planned restarts, if configured, and a member's maximum wait in microseconds."""
    row = element.find(f"{SPACE}restarts")
    if row is None:
        return [], 0
    values = attributes(row, "restarts")
    return [TaskSettings(RESTARTS_TASK, int(values["at-once"]), None, 0)], duration(values["within"])


def _quorum_element(element: etree._Element) -> etree._Element:
    """Return the element `quorum`, or `council`, its earlier name; the schema requires one of the two."""
    found = element.find(f"{SPACE}quorum")
    return found if found is not None else element.find(f"{SPACE}council")


def _quorum(
    element: etree._Element, own_name: str, members: dict[str, Address], faults: SettingsFaults
) -> Quorum:
    """Return the quorum with its current and previous acceptors.

    An acceptor that joins is only in the current list, one that leaves only in the previous list.
    """
    current: list[str] = []
    previous: list[str] = []
    changes = 0
    for row in element.iterchildren(f"{SPACE}acceptor", f"{SPACE}seat"):
        name = row.get("name")
        joins = flag(row.get("joins"))
        leaves = flag(row.get("leaves"))
        changes += joins or leaves
        if name != own_name and name not in members:
            faults.add(
                row, f"no member is named {name}", "add the member with its address, or correct the name"
            )
        if name in current or name in previous:
            faults.add(row, f"{name} is an acceptor already", "name each acceptor once")
        if joins and leaves:
            faults.add(row, f"{name} has both `joins` and `leaves`", "set one of the two")
        if not leaves:
            current.append(name)
        if not joins:
            previous.append(name)
    _check_quorum(element, len(current), changes, faults)
    return Quorum(int(attributes(element, "quorum")["generation"]), tuple(current), tuple(previous))


def _check_quorum(element: etree._Element, acceptors: int, changes: int, faults: SettingsFaults) -> None:
    if changes > 1:
        faults.add(
            element,
            "more than one acceptor joins or leaves",
            "let only one acceptor join or leave at a time, "
            "and wait until all acceptors have logged `acceptor.recovered` before the next",
        )
    if not MIN_ACCEPTORS <= acceptors <= MAX_ACCEPTORS:
        faults.add(
            element,
            f"a quorum has {MIN_ACCEPTORS} to {MAX_ACCEPTORS} acceptors, not {acceptors}",
            "add or remove acceptors",
        )
