"""The element `fleet` of the settings, from the checked XML to typed objects.

Checks what the schema can't express, such as values that exclude each other. Each fault is one line,
`file:line:column: what; what to do`. Defaults stand in the schema, not here.
"""

from __future__ import annotations

from dataclasses import dataclass

from lxml import etree

from linenbridge.configuration.read import SPACE, Configuration, ConfigurationError, attributes, duration
from linenbridge.errors import FileFaultError
from linenbridge.fleet.freezes.configuration import windows
from linenbridge.fleet.freezes.windows import Window
from linenbridge.fleet.leases.quorum import Quorum
from linenbridge.fleet.leases.timing import LeaseTiming
from linenbridge.net.discovery import host_port

ACCEPTORS = (3, 7)
RESTARTS_TASK = "restarts"  # the task whose places are the turns of planned restarts


class FleetSettingsError(FileFaultError):
    """One fault in the element `fleet`."""

    advice = "mend the settings; until then the member goes on by the earlier ones, or does not start"


@dataclass(frozen=True, slots=True)
class TaskSettings:
    """One task: how many members hold it at once, and where its holder sends each act, if anywhere."""

    task: str
    slots: int
    action_address: tuple[str, int] | None
    action_interval: int


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The element `fleet`. Times in microseconds."""

    member: str
    listen: tuple[str, int]
    store: str
    store_never_goes_back: bool
    timing: LeaseTiming
    members: dict[str, tuple[str, int]]
    quorum: Quorum
    first_term: int
    tasks: tuple[TaskSettings, ...]
    restart_timeout: int
    windows: tuple[Window, ...] = ()

    def is_acceptor(self) -> bool:
        """Whether this member is one of the acceptors."""
        return self.member in self.quorum.all_acceptors()


def fleet_settings(configuration: Configuration) -> FleetSettings | None:
    """The element, or None if there is none. ConfigurationError names every fault, one a line."""
    element = configuration.part("fleet")
    if element is None:
        return None
    wrong = list[FleetSettingsError]()

    def refuse(at: etree._Element, what: str, do: str) -> None:
        wrong.append(FleetSettingsError(what, configuration.place(at), do))

    said = attributes(element, "fleet")
    lease, longest, beat = (duration(said[name]) for name in ("lease", "longest", "beat"))
    apart = round(float(said["clocks-apart"].rstrip("%")) * 10_000)
    if longest < lease:
        refuse(element, "the lease is longer than `longest`", "raise `longest` at all members first")
    if beat * 3 > lease:
        refuse(element, "a lease has to last three beats", "shorten `beat` or lengthen `lease`")
    if apart >= 500_000:
        refuse(element, "clocks may not run apart by half", "name the bound that the machines' clocks keep")
    members = dict[str, tuple[str, int]]()
    for row in element.iterchildren(f"{SPACE}member"):
        if row.get("name") in members or row.get("name") == said["member"]:
            refuse(row, f"two members are named {row.get('name')}", "give each member a name of its own")
        members[row.get("name")] = host_port(row.get("address").replace("[", "").replace("]", ""))
    row = _quorum_element(element)
    quorum = _quorum(row, said["member"], members, refuse)
    first_term = int(attributes(row, "quorum")["first-term"])
    tasks = list[TaskSettings]()
    for row in element.iterchildren(f"{SPACE}task"):
        words = attributes(row, "task")
        if words["name"] in (RESTARTS_TASK, *(task.task for task in tasks)):
            refuse(row, f"the task {words['name']} is there already", "name it once")
        if int(words["places"]) > 64:
            refuse(row, "a task has 64 places at most", "lower `places`")
        act = host_port(words["act"]) if "act" in words else None
        tasks.append(TaskSettings(words["name"], int(words["places"]), act, duration(words["every"])))
    within = 0
    if (row := element.find(f"{SPACE}restarts")) is not None:
        words = attributes(row, "restarts")
        within = duration(words["within"])
        tasks.append(TaskSettings(RESTARTS_TASK, int(words["at-once"]), None, 0))
    if wrong:
        raise ConfigurationError("\n".join(str(error) for error in wrong))
    return FleetSettings(
        said["member"], host_port(said["listen"].replace("[", "").replace("]", "")),
        configuration.beside(said["store"]),
        said["store-never-goes-back"] in ("true", "1"), LeaseTiming(lease, longest, apart, beat), members,
        quorum, first_term, tuple(tasks), within, windows(configuration.beside(said["freezes"])),
    )  # fmt: skip


def _quorum_element(element: etree._Element) -> etree._Element:
    """The element `quorum`, or `council`, its earlier name; the schema allows exactly one of the two."""
    found = element.find(f"{SPACE}quorum")
    return found if found is not None else element.find(f"{SPACE}council")


def _quorum(element: etree._Element, own: str, members: dict, refuse) -> Quorum:  # noqa: ANN001
    now, before, changes = list[str](), list[str](), 0
    for row in element.iterchildren(f"{SPACE}acceptor", f"{SPACE}seat"):
        name, joins, leaves = (
            row.get("name"),
            *(row.get(word) in ("true", "1") for word in ("joins", "leaves")),
        )
        changes += joins or leaves
        if name != own and name not in members:
            refuse(row, f"nobody is named {name}", "add the member with its address, or mend the name")
        if name in now or name in before:
            refuse(row, f"{name} is an acceptor already", "name each acceptor once")
        if joins and leaves:
            refuse(row, f"{name} can't join and leave", "say one of the two")
        if not leaves:
            now.append(name)
        if not joins:
            before.append(name)
    if changes > 1:
        refuse(
            element,
            "two acceptors change at once",
            "change one acceptor, wait until all acceptors say `seat.returned`",
        )
    if not ACCEPTORS[0] <= len(now) <= ACCEPTORS[1]:
        refuse(
            element,
            f"a quorum has {ACCEPTORS[0]} to {ACCEPTORS[1]} acceptors, not {len(now)}",
            "add or remove acceptors",
        )
    return Quorum(int(attributes(element, "quorum")["generation"]), tuple(now), tuple(before))
