"""Runs one upgrade in place and reports its result.

The next process is replaced only when the installation serves again: there is a publisher, a replaced
acceptor grants leases, the gateways follow relays, changes are acknowledged, and the lease holder of the task
sends fenced requests.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from tests.distribution.hosting.installation import Installation
from tests.fleet.procs.checker import breaches, longest_gap
from tests.fleet.procs.fake_resource import FakeResource
from tests.upgrade import checks
from tests.upgrade.checkout import Checkout
from tests.upgrade.event_names import in_present_terms
from tests.upgrade.load import IN_FORCE, ChangeLoad, request
from tests.upgrade.stores import relay_changes, stored_view

TASK = "sweep"  # the task whose lease holder sends fenced requests to the fake server
EVERY = "30ms"  # interval of the fenced requests
# The longest time without a fenced request, at a lease of 1 s and a `beat` of 200 ms. A relinquished lease is
# acquired again within one or two beats, any other lease within lease * 1.02 + 2 beats; 1 s is added
# for a busy machine.
MAX_GAP = 2.42  # seconds
REQUESTS_AFTER_STEP = 10  # fenced requests before the next process is replaced
CHANGES_AFTER_STEP = 3  # acknowledged changes before the next process is replaced
LAST_THREAD = 99  # the thread number in the key of the last change
ORDERS = {
    "acceptors first": ["w", "p1", "p2", "eu-1", "eu-2", "g-1", "g-2"],
    "gateways first": ["g-1", "g-2", "eu-1", "eu-2", "p1", "p2", "w"],
}


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a process of the installation."""

    name: str
    label: str  # label of the checkout
    pid: int


@dataclass
class Report:
    """Result of one upgrade: lines with counts, and faults. The upgrade passed if there are no faults."""

    lines: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def check(self, title: str, faults: list[str]) -> None:
        """Add the line of a check and its faults."""
        self.lines.append(f"{title}: {'ok' if not faults else f'{len(faults)} FAULTS'}")
        self.faults += [f"{title}: {fault}" for fault in faults]

    def __str__(self) -> str:
        shown = [f"  FAULT {fault}" for fault in self.faults[:40]]
        return "\n".join([*self.lines, *shown, "PASS" if not self.faults else "FAIL"])


class MixedInstallation(Installation):
    """Two relays, two gateways and three acceptors, two of which are candidates for publisher.

    Each process runs the code of the checkout that `replace` last set for it.
    """

    def __init__(self, folder: Path, first: Checkout, port: int) -> None:
        task = f'<task name="{TASK}" act="127.0.0.1:{port}" every="{EVERY}"/>'
        super().__init__(folder, relays=2, gateways=2, fleet_tasks=task, launch=first.launch)
        self.incarnations: list[Incarnation] = []
        self._checkouts = dict.fromkeys(self.process_names(), first)

    def start(self, *names: str) -> None:
        for name in names:
            self.launch = self._checkouts[name].launch
            super().start(name)
            self.incarnations.append(
                Incarnation(name, self._checkouts[name].label, self.running[name].pid or 0)
            )

    def replace(self, name: str, checkout: Checkout) -> int | None:
        """Stop a process, start it from another checkout, and return the exit code of the stopped one."""
        code = self.end(name)
        self._checkouts[name] = checkout
        self.start(name)
        return code

    def events(self, name: str, event: str = "") -> list[dict]:
        rows = super().events(name)
        if self._checkouts[name].label == "base":
            rows = [in_present_terms(row) for row in rows]
        return [row for row in rows if row["event"] == event] if event else rows

    def log_of(self, incarnation: Incarnation) -> bytes:
        earlier = self.folder / f"{incarnation.name}.{incarnation.pid}.log"
        return (earlier if earlier.exists() else self.folder / f"{incarnation.name}.log").read_bytes()


class Upgrade:
    """One upgrade; `on_step` is called with a line of text after each step."""

    def __init__(
        self,
        folder: Path,
        base: Checkout,
        new: Checkout,
        resource: FakeResource,
        on_step: Callable[[str], None],
    ) -> None:
        self.base = base
        self.new = new
        self.resource = resource
        self.on_step = on_step
        self.installation = MixedInstallation(folder, base, resource.port)
        self.load = ChangeLoad(self.installation, [base, new], threads=4)
        self.report = Report()
        self.replaced_holders = 0
        self.exit_faults: list[str] = []

    def run(self, order: list[str]) -> Report:
        """Replace the processes in `order` and return the report, also if a step times out."""
        try:
            self._replace_all(order)
        except TimeoutError as error:
            self.report.check("every step completed in time", [str(error)])
        finally:
            self.installation.close()
        self._check_processes()
        if not self.installation.running:
            self._check_changes()
        return self.report

    def _replace_all(self, order: list[str]) -> None:
        """Start all processes from the base, replace each of them, and stop them."""
        installation = self.installation
        installation.start(*installation.process_names())
        installation.wait_until_started(*installation.process_names())
        installation.wait_until(lambda: installation.publisher() != "", "a publisher")
        self.load.start()
        try:
            self._wait_until_served(order[0])
            since = time.monotonic()
            for name in order:
                self._replace(name)
        finally:
            self.load.stop()
        self._check_fenced_requests(since, time.monotonic())
        self._publish_last()
        for name in [*installation.gateways, *installation.publishers, *installation.relays, "w"]:
            self._end(name, installation.end(name))

    # ---- steps -------------------------------------------------------------------------------------------

    def _replace(self, name: str) -> None:
        began = time.monotonic()
        self.replaced_holders += self._holder() == name
        publishes = self.installation.publisher() == name
        self._end(name, self.installation.replace(name, self.new))
        self._wait_until_served(name)
        suffix = " (it published)" if publishes else ""
        self.on_step(f"  {name} replaced{suffix}: all served again after {time.monotonic() - began:.1f} s")

    def _end(self, name: str, code: int | None) -> None:
        if code != 0:
            self.exit_faults.append(f"{name} ended with {code}")

    def _wait_until_served(self, name: str) -> None:
        """Wait until process `name`, which was started last, and the whole installation serve."""
        installation = self.installation
        installation.wait_until_started(name)
        if name in installation.fleet_ports:
            installation.wait_until(
                lambda: bool(installation.events(name, "acceptor.recovered")), f"{name} to grant"
            )
        if name in installation.relays:
            installation.wait_until(lambda: installation.has_joined(name), f"{name} to count")
        installation.wait_until(lambda: installation.publisher() != "", "a publisher")
        for gateway in installation.gateways:
            installation.wait_until(
                lambda one=gateway: installation.followed_relay(one) != "", f"{gateway} to follow"
            )
        changes = self.load.acknowledged() + CHANGES_AFTER_STEP
        requests = len(self.resource.actions) + REQUESTS_AFTER_STEP
        installation.wait_until(lambda: self.load.acknowledged() >= changes, "changes to be acknowledged")
        installation.wait_until(lambda: len(self.resource.actions) >= requests, "fenced requests")

    def _holder(self) -> str:
        actions = self.resource.actions
        return actions[-1].member.partition("#")[0] if actions else ""

    def _publish_last(self) -> None:
        """Publish one more change and wait until it and all earlier changes are in force at each gateway."""
        installation = self.installation
        installation.wait_until(
            lambda: self.load.publish(request(LAST_THREAD, 0), self.new) == IN_FORCE, "a last change in force"
        )
        last = self.load.outcomes.acknowledged[-1].sequence
        for gateway in installation.gateways:
            installation.wait_until(
                lambda one=gateway: installation.in_force(one) >= last, f"{gateway} to have all"
            )

    # ---- checks ------------------------------------------------------------------------------------------

    def _check_fenced_requests(self, since: float, until: float) -> None:
        actions = [action for action in list(self.resource.actions) if action.task == TASK]
        terms = [action.term for action in actions]
        gap = longest_gap(actions, TASK, since, until)
        self.report.lines.append(
            f"fenced requests: {len(actions)}, terms {sorted(set(terms))}, holders in order "
            f"{list(dict.fromkeys(action.member.partition('#')[0] for action in actions))}, "
            f"longest time without one {gap:.2f} s (bound {MAX_GAP} s)"
        )
        self.report.check(
            "fenced requests",
            breaches(actions, [])
            + checks.term_faults(terms, self.replaced_holders)
            + [f"rejected: {action}" for action in actions if not action.accepted]
            + ([f"no request for {gap:.2f} s"] if gap > MAX_GAP else []),
        )

    def _check_processes(self) -> None:
        installation = self.installation
        for label in (self.base.label, self.new.label):
            incarnations = [
                incarnation for incarnation in installation.incarnations if incarnation.label == label
            ]
            found = [checks.read_log(installation.log_of(incarnation)) for incarnation in incarnations]
            events = dict[str, int]()
            for summary in found:
                for event, count in summary.events.items():
                    events[event] = events.get(event, 0) + count
            shown = ", ".join(f"{event} {count}" for event, count in sorted(events.items()))
            self.report.lines.append(f"logs of {len(incarnations)} processes of {label}: {shown}")
            faults = [
                f"{incarnation.name} ({label}): {fault}"
                for incarnation, summary in zip(incarnations, found, strict=True)
                for fault in summary.faults
            ]
            self.report.check(f"rejected or malformed in logs of {label}", faults)
            missing = [
                incarnation.name
                for incarnation, summary in zip(incarnations, found, strict=True)
                if not summary.events
            ]
            self.report.check(f"every process of {label} wrote its log", missing)
        self.report.check("processes ended with 0", self.exit_faults)

    def _check_changes(self) -> None:
        installation = self.installation
        outcomes = self.load.outcomes
        codes = ", ".join(f"{label} code {code}: {n}" for (label, code), n in sorted(outcomes.codes.items()))
        self.report.lines.append(
            f"changes: {len(outcomes.acknowledged)} acknowledged, {len(outcomes.unknown)} unknown, "
            f"{len(outcomes.rejected)} rejected ({codes}; 0 in force, 1 accepted, 2 rejected, 3 unknown)"
        )
        self.report.check("no change rejected", outcomes.rejected)
        last = max(change.sequence for change in outcomes.acknowledged)
        digests = dict[str, int | None]()
        for relay in installation.relays:
            table = checks.newest_of_each_key(relay_changes(installation.folder / relay, "eu"), last)
            digests[relay] = checks.table_digest(table.values())
            lost = checks.lost_changes(outcomes.acknowledged, table)
            self.report.check(f"acknowledged changes at {relay} ({len(table)} keys)", lost)
        for gateway in installation.gateways:
            self._check_gateway(gateway, last, digests)
        self.report.lines.append("digests: " + ", ".join(f"{name} {one}" for name, one in digests.items()))
        self.report.check("digests equal", checks.differing_digests(digests))

    def _check_gateway(self, gateway: str, last: int, digests: dict[str, int | None]) -> None:
        """Check that the stored view is at `last` without rejected changes; add its digest to `digests`."""
        view = stored_view(self.installation.folder / f"{gateway}.xml", "eu")
        digests[gateway] = view.digest
        wrong = [f"at {view.sequence}, not at {last}"] if view.sequence != last else []
        self.report.check(f"in force at {gateway} up to {last}", wrong + view.rejected)
