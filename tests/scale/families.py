"""The families of scale tests: the faults that each injects into an installation, and its outcome.

This module defines the scenarios and the line and row of each outcome. The breaches come from the checker,
which reads only the records.
"""

from __future__ import annotations

import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tests.scale.checker import BREACHES_SHOWN, Evidence, Lag, breaches, collect, lag
from tests.scale.hollow import Command
from tests.scale.installation import Installation, Scale
from tests.scale.records import Usage, now, read
from tests.scale.traffic import Request, Shape, first_content, steady, zone

FIRST_CONTENT_WAIT = 240.0  # seconds for the first content to be accepted, and again to reach all gateways
EQUALITY_WAIT = 90.0  # seconds after the last change within which all tables have to be equal
BURST_FACTOR = 10.0
SECOND = 1_000_000


@dataclass(frozen=True)
class Times:
    """The durations of the scenarios' parts, in seconds, and the factor of the change rate under faults."""

    steady: float = 2.0
    burst: float = 2.0
    stopped: float = 3.0  # how long a relay or publisher is stopped
    after: float = 0.5  # between a fault and the next step
    factor: float = 3.0  # of the size's rates, during faults


@dataclass
class Outcome:
    """The figures of one run of a family.

    Bytes a second and the processor shares are means over the run; `notes` are durations in seconds that
    the family itself measures, by name.
    """

    family: str
    scale: Scale
    seed: int
    changes: int = 0
    lag: Lag = field(default_factory=Lag)
    received: float = 0.0  # bytes a second of one gateway
    sent: float = 0.0  # bytes a second of one gateway
    gateway_share: float = 0.0  # of a core for one gateway, including its writing of records
    relay_share: float = 0.0  # of a core for the busiest relay
    publisher_share: float = 0.0  # of a core for the busiest publisher
    gateway_memory: float = 0.0  # MB; memory of the processes divided by their gateways
    relay_memory: float = 0.0  # MB of the largest relay
    equal: bool = False
    breaches: list[str] = field(default_factory=list)
    notes: dict[str, float] = field(default_factory=dict)

    def line(self) -> str:
        """Return the outcome as one line for a terminal."""
        scale = self.scale
        took = self.lag
        notes = "".join(f", {name} {value:.2f} s" for name, value in self.notes.items())
        return (
            f"scale {self.family}: {scale.gateways} gateways, {scale.relays} relays, seed {self.seed}, "
            f"{self.changes} changes, in force p50 {took.p50:.0f} p99 {took.p99:.0f} "
            f"max {took.maximum:.0f} ms "
            f"({took.pairs} pairs), a gateway {self.received:.0f} bytes/s in {self.sent:.0f} out, "
            f"{self.gateway_share:.3%} of a core, {self.gateway_memory:.1f} MB; a relay at most "
            f"{self.relay_share:.1%} of a core, {self.relay_memory:.0f} MB; a publisher at most "
            f"{self.publisher_share:.1%}{notes}; digests {'equal' if self.equal else 'UNEQUAL'}, "
            f"{len(self.breaches)} breaches"
        )

    def row(self) -> dict[str, object]:
        """Return the outcome as a row of docs/capacity/families.json."""
        return {
            "family": self.family,
            "gateways": self.scale.gateways,
            "relays": self.scale.relays,
            "regions": self.scale.regions,
            "seed": self.seed,
            "changes": self.changes,
            "pairs": self.lag.pairs,
            "p50_ms": round(self.lag.p50, 1),
            "p99_ms": round(self.lag.p99, 1),
            "max_ms": round(self.lag.maximum, 1),
            "bytes_in": round(self.received, 1),
            "bytes_out": round(self.sent, 1),
            "gateway_share": round(self.gateway_share, 6),
            "relay_share": round(self.relay_share, 4),
            "publisher_share": round(self.publisher_share, 4),
            "gateway_mb": round(self.gateway_memory, 2),
            "relay_mb": round(self.relay_memory, 1),
            "equal": self.equal,
            "breaches": len(self.breaches),
            "notes": {name: round(value, 2) for name, value in self.notes.items()},
        }


@dataclass
class FamilyRun:
    """One run of a family on an installation, with the state that its steps share.

    `last` is the newest sequence of each region that a change client has received; `began` and `ended` are
    microseconds.
    """

    installation: Installation
    shape: Shape
    times: Times
    seed: int
    family: str
    last: dict[str, int]
    changes: int = 0
    notes: dict[str, float] = field(default_factory=dict)
    equal: bool = False
    began: int = 0
    ended: int = 0

    def random(self, what: str) -> Random:
        """Return a random generator that depends on the seed and on `what`."""
        return Random(f"{what} {self.seed}")

    def start_client(
        self, seconds: float, factor: float = 1.0, more: list[Request] | None = None
    ) -> subprocess.Popen:
        """Start a change client with the steady changes and `more`."""
        regions = self.installation.scale.region_names()
        requests = steady(self.seed, self.shape, regions, seconds, factor) + (more or [])
        return self.installation.start_change_client(requests, seconds + EQUALITY_WAIT)

    def end(self, process: subprocess.Popen) -> None:
        """Wait for the end of a change client and take over its counts.

        Raises AssertionError if the client failed or a change was rejected.
        """
        summary = self.installation.finish_change_client(process)
        if process.returncode or summary.rejected:
            raise AssertionError(f"a change client ended with {summary}")
        self.changes += summary.accepted
        for region, sequence in summary.last.items():
            self.last[region] = max(sequence, self.last.get(region, 0))


# ---- families ----------------------------------------------------------------------------------------------


def run_steady(run: FamilyRun) -> None:
    """Publish changes at the size's rates."""
    run.end(run.start_client(run.times.steady))


def run_burst(run: FamilyRun) -> None:
    """Publish changes at ten times the size's rates."""
    run.end(run.start_client(run.times.burst, BURST_FACTOR))


def run_relays(run: FamilyRun) -> None:
    """Kill a relay and start it again, then stop another one for a while."""
    installation = run.installation
    random = run.random("relays")
    region = random.choice(installation.scale.region_names())
    killed, stopped = random.sample(installation.relays[region], 2)
    client = run.start_client(
        2 * run.times.steady + run.times.stopped + 4 * run.times.after, run.times.factor
    )
    time.sleep(run.times.after)
    gateway_count = installation.scale.gateways // installation.scale.processes * installation.scale.processes
    installation.kill(killed)
    time.sleep(0.2)
    run.notes["all follow after the kill"] = 0.2 + installation.wait_until(
        lambda: installation.following() == gateway_count, "all to follow another relay"
    )
    installation.start(killed)
    installation.wait_for(killed, "distribution.started")
    time.sleep(run.times.steady)
    installation.pause(stopped)
    time.sleep(run.times.stopped)
    installation.resume(stopped)
    run.end(client)


def run_restarts(run: FamilyRun) -> None:
    """Restart a tenth of the gateways together, first with their stores kept, then with stores emptied."""
    installation = run.installation
    random = run.random("restarts")
    stored = [
        name for one in installation.hollow.values() for name in one.gateways[:: _every(installation.scale)]
    ]
    count = max(1, installation.scale.gateways // 10)
    chosen = random.sample(stored, min(count, len(stored)))
    client = run.start_client(run.times.steady + 4 * run.times.after, run.times.factor)
    for retained in (True, False):
        time.sleep(2 * run.times.after)  # Stores are written once a second.
        began = time.monotonic()
        installation.request_all(Command("restart", chosen, retained))
        installation.wait_until_equal(run.last, EQUALITY_WAIT)
        label = "kept" if retained else "emptied"
        run.notes[f"{len(chosen)} restarted with stores {label}, all caught up"] = time.monotonic() - began
    run.end(client)


def _every(scale: Scale) -> int:
    return max(1, round(1 / scale.stored))


def run_publisher(run: FamilyRun) -> None:
    """Stop a region's publisher, wait for its successor and continue the stopped one."""
    installation = run.installation
    region = installation.scale.region_names()[0]
    first = installation.publisher(region)
    if not first:
        raise AssertionError(f"no publisher is active in {region}")
    client = run.start_client(2 * run.times.steady + run.times.stopped, run.times.factor)
    time.sleep(run.times.after)
    installation.pause(first)
    run.notes["replaced"] = installation.wait_until(
        lambda: installation.publisher(region) not in ("", first), "a successor", EQUALITY_WAIT
    )
    time.sleep(run.times.after)
    installation.resume(first)
    run.end(client)


def run_zone(run: FamilyRun) -> None:
    """Publish a lost zone and later its return, as one change each."""
    installation = run.installation
    region = installation.scale.region_names()[0]
    seconds = run.times.steady + run.times.stopped
    lost = round(run.times.after * SECOND)
    back = lost + round(run.times.stopped * SECOND)
    run.end(run.start_client(seconds, 1.0, [zone(region, 0, lost, True), zone(region, 0, back, False)]))


FAMILIES: dict[str, Callable[[FamilyRun], None]] = {
    "steady": run_steady,
    "burst": run_burst,
    "relays": run_relays,
    "restarts": run_restarts,
    "publisher": run_publisher,
    "zone": run_zone,
}


def run_families(
    families: list[str], folder: Path, scale: Scale, seed: int, shape: Shape, times: Times
) -> list[Outcome]:
    """Run the families one after the other on one installation and return their outcomes.

    `folder` has to be empty. The checker reads the records of all families together, and each outcome has the
    breaches of all of them.
    """
    installation = Installation(folder, scale, seed)
    last = dict[str, int]()
    runs = list[FamilyRun]()
    try:
        installation.open()
        _fill(FamilyRun(installation, shape, times, seed, "fill", last))
        for family in families:
            runs.append(FamilyRun(installation, shape, times, seed, family, last))
            _run_family(runs[-1])
        installation.request_all(Command("final"))
        installation.request_all(Command("stop"))
    finally:
        installation.close()
    evidence = collect(read(folder))
    found = breaches(evidence)[:BREACHES_SHOWN]
    return [_outcome(run, evidence, found) for run in runs]


def _fill(run: FamilyRun) -> None:
    """Publish the first content and wait until all gateways have it."""
    installation = run.installation
    content = list(first_content(run.shape, installation.scale.region_names()))
    run.end(installation.start_change_client(content, FIRST_CONTENT_WAIT))
    installation.wait_until_equal(run.last, FIRST_CONTENT_WAIT)


def _run_family(run: FamilyRun) -> None:
    """Run one family between two readings of the resource usage."""
    installation = run.installation
    before = installation.processor_seconds()
    began = time.monotonic()
    installation.request_all(Command("usage"))
    run.began = now()
    FAMILIES[run.family](run)
    run.equal = _becomes_equal(run)
    installation.request_all(Command("usage"))
    installation.record_usage(before, time.monotonic() - began)
    run.ended = now()


def _becomes_equal(run: FamilyRun) -> bool:
    try:
        run.notes["equal after the last"] = run.installation.wait_until_equal(run.last, EQUALITY_WAIT)
    except TimeoutError:
        return False
    return True


def _outcome(run: FamilyRun, evidence: Evidence, found: list[str]) -> Outcome:
    outcome = Outcome(run.family, run.installation.scale, run.seed, run.changes, notes=run.notes)
    outcome.lag = lag(evidence, run.began, run.ended)
    outcome.equal = run.equal
    outcome.breaches = found
    usage = [each for each in evidence.usage if run.began < each.at <= run.ended and each.seconds > 0]
    _add_gateways(outcome, [each for each in usage if each.role == "gateways"])
    for each in usage:
        if each.role == "relay":
            outcome.relay_share = max(outcome.relay_share, each.processor / each.seconds)
            outcome.relay_memory = max(outcome.relay_memory, each.memory / 1e6)
        elif each.role == "publisher":
            outcome.publisher_share = max(outcome.publisher_share, each.processor / each.seconds)
    return outcome


def _add_gateways(outcome: Outcome, usage: list[Usage]) -> None:
    gateways = sum(each.gateways for each in usage)
    if not gateways:
        return
    outcome.received = sum(each.received / each.seconds for each in usage) / gateways
    outcome.sent = sum(each.sent / each.seconds for each in usage) / gateways
    outcome.gateway_share = sum(each.processor / each.seconds for each in usage) / gateways
    outcome.gateway_memory = sum(each.memory for each in usage) / gateways / 1e6
