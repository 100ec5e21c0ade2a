"""The processes of one scale test on loopback: quorum, publishers, relays, hollow gateways, change clients.

This module writes the settings and starts, stops and ends the processes. It signals only processes that it
started, by process id, and has no access to their state other than through records, answers and logs.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from tests.fleet.procs.installation import ROOT, free_ports
from tests.scale.change_client import BEGUN, ChangeClientSpec, Scheduled, Summary
from tests.scale.hollow import Address, Answer, Command, HollowSpec, resident_bytes
from tests.scale.records import Fault, Recorder, Usage, now
from tests.scale.traffic import Request

PLATFORM = ROOT / "examples" / "config.json"
START_WAIT = 90.0  # seconds; a busy machine loads programs slowly, and no limit on that is tested
QUORUM = ("q1", "q2", "q3")
TICKS = os.sysconf("SC_CLK_TCK")  # a second


@dataclass(frozen=True)
class Scale:
    """The numbers of processes and the settings of the distribution.

    `candidates` is the number of publishers of each region; `rate` is in bytes a second; `batch_delay`,
    `heartbeat`, `silence`, `lease` and `beat` are milliseconds.
    """

    gateways: int = 12
    relays: int = 6
    regions: int = 2
    processes: int = 2  # processes that the gateways are divided among
    candidates: int = 2
    stored: float = 0.25  # share of the gateways that have a store
    rate: int = 14_336
    batch_delay: int = 100
    heartbeat: int = 400
    silence: int = 1_200
    lease: int = 1_500
    beat: int = 300
    poll_interval: float = 0.1  # seconds between two polls of a condition

    def region_names(self) -> list[str]:
        """Return the names of all regions."""
        return [f"r{number}" for number in range(1, self.regions + 1)]


@dataclass
class Hollow:
    """A process of hollow gateways, with the pipes for its commands and answers."""

    process: subprocess.Popen
    gateways: list[str]

    def request(self, command: Command) -> Answer:
        """Send a command, wait for its answer and return it."""
        self.send(command)
        return self.answer()

    def send(self, command: Command) -> None:
        """Send a command without waiting for its answer."""
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        self.process.stdin.flush()

    def answer(self) -> Answer:
        """Wait for the next answer and return it."""
        return msgspec.json.decode(self.process.stdout.readline(), type=Answer)


@dataclass
class Installation:
    """All processes of a test; `open` starts them in the folder of the test."""

    folder: Path
    scale: Scale
    seed: int
    running: dict[str, subprocess.Popen] = field(default_factory=dict)
    stopped: set[str] = field(default_factory=set)
    hollow: dict[str, Hollow] = field(default_factory=dict)
    clients_started: int = 0

    def __post_init__(self) -> None:
        regions = self.scale.region_names()
        each = self.scale.relays // self.scale.regions
        self.relays = {region: [f"{region}-relay{n}" for n in range(1, each + 1)] for region in regions}
        self.publishers = {
            region: [f"{region}-pub{n}" for n in range(1, self.scale.candidates + 1)] for region in regions
        }
        names = [name for group in (self.relays, self.publishers) for row in group.values() for name in row]
        members = [*QUORUM, *(name for row in self.publishers.values() for name in row)]
        ports = free_ports(len(names) + len(members))
        self.ports = dict(zip(names, ports[: len(names)], strict=True))
        self.member_ports = dict(zip(members, ports[len(names) :], strict=True))
        self.records = Recorder(self.folder / "test.records")

    # ---- settings ------------------------------------------------------------------------------------------

    def _settings(self, name: str, inside: str) -> None:
        text = f'<linenbridge xmlns="urn:linenbridge:premises:1">\n{inside}\n</linenbridge>'
        (self.folder / f"{name}.xml").write_text(text)

    def _distribution(self, role: str, name: str, region: str, more: str) -> str:
        scale = self.scale
        rows = "\n".join(
            f'<region name="{one}">{self._peers("relay", self.relays[one])}'
            f"{self._peers('publisher', self.publishers[one])}</region>"
            for one in scale.region_names()
        )
        max_followers = max(50, 3 * scale.gateways // max(1, scale.relays))
        return (
            f'<distribution role="{role}" name="{name}" region="{region}" '
            f'listen="127.0.0.1:{self.ports[name]}" followers="{max_followers}" '
            f'gather="{scale.batch_delay}ms" '
            f'heartbeat="{scale.heartbeat}ms" silence="{scale.silence}ms" {more}>\n{rows}\n</distribution>'
        )

    def _peers(self, kind: str, names: list[str]) -> str:
        return "".join(f'<{kind} name="{name}" address="127.0.0.1:{self.ports[name]}"/>' for name in names)

    def _member(self, name: str, task: str) -> str:
        scale = self.scale
        others = "".join(
            f'<member name="{other}" address="127.0.0.1:{port}"/>'
            for other, port in self.member_ports.items()
            if other != name
        )
        acceptors = "".join(f'<acceptor name="{one}"/>' for one in QUORUM)
        tasks = f'<task name="{task}"/>' if task else ""
        return (
            f'<fleet member="{name}" listen="127.0.0.1:{self.member_ports[name]}" store="{name}.db" '
            f'lease="{scale.lease}ms" longest="{scale.lease}ms" beat="{scale.beat}ms">{others}'
            f"<quorum>{acceptors}</quorum>{tasks}</fleet>"
        )

    def _write_settings(self) -> None:
        for name in QUORUM:
            self._settings(name, self._member(name, ""))
        for region in self.scale.region_names():
            for name in self.publishers[region]:
                element = self._distribution("publisher", name, region, f'platform="{PLATFORM}"')
                self._settings(name, self._member(name, f"publish-{region}") + "\n" + element)
            for name in self.relays[region]:
                (self.folder / name).mkdir()
                self._settings(name, self._distribution("relay", name, region, f'store="{name}"'))

    def _hollow_spec(self, process: str, region: str, gateways: list[str]) -> HollowSpec:
        scale = self.scale
        every = max(1, round(1 / scale.stored)) if scale.stored else 0
        stores = gateways[::every] if every else []
        relays = {
            one: {name: Address("127.0.0.1", self.ports[name]) for name in names}
            for one, names in self.relays.items()
        }
        return HollowSpec(
            process,
            region,
            gateways,
            stores,
            str(self.folder),
            relays,
            self.seed,
            scale.rate,
            scale.batch_delay * 1000,
            scale.heartbeat * 1000,
            scale.silence * 1000,
        )

    # ---- processes -----------------------------------------------------------------------------------------

    def open(self) -> None:
        """Start all processes and wait until every gateway follows a relay."""
        self._write_settings()
        names = [
            *QUORUM,
            *(name for group in (self.relays, self.publishers) for row in group.values() for name in row),
        ]
        for name in names:
            self.start(name)
        for name in names:
            self.wait_for(name, "member.started" if name in QUORUM else "distribution.started")
        self._open_hollow()

    def _open_hollow(self) -> None:
        scale = self.scale
        regions = self.scale.region_names()
        each = scale.gateways // scale.processes
        for number in range(scale.processes):
            process = f"hollow{number}"
            gateways = [f"g{number}-{one}" for one in range(each)]
            spec = self._hollow_spec(process, regions[number % len(regions)], gateways)
            path = self.folder / f"{process}.json"
            path.write_bytes(msgspec.json.encode(spec))
            arguments = ["-m", "tests.scale.hollow", str(path), str(self.folder / f"{process}.records")]
            running = self._run(process, arguments, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
            self.hollow[process] = Hollow(running, gateways)
        self.wait_until(lambda: self.following() == each * scale.processes, "all gateways to follow")

    def start(self, name: str) -> None:
        """Start a member of the quorum, a publisher or a relay."""
        self._run(name, ["-m", "linenbridge", "serve", "--settings", f"{name}.xml"])

    def _run(self, name: str, arguments: list[str], **pipes: int) -> subprocess.Popen:
        environ = {key: value for key, value in os.environ.items() if key != "LB_CONFIG"}
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=self.folder,
                stderr=log,
                env={**environ, "PYTHONPATH": str(ROOT)},
                **pipes,
            )
        self.running[name] = process
        return process

    def kill(self, name: str) -> None:
        """Kill a process and rename its log, so that a new process under that name has a log of its own."""
        self.records.write(Fault(now(), "killed", name))
        process = self.running.pop(name)
        process.kill()
        process.wait()
        (self.folder / f"{name}.log").rename(self.folder / f"{name}.{process.pid}.log")

    def pause(self, name: str) -> None:
        """Stop a process by SIGSTOP."""
        self.records.write(Fault(now(), "stopped", name))
        self.running[name].send_signal(signal.SIGSTOP)
        self.stopped.add(name)

    def resume(self, name: str) -> None:
        """Continue a process that `pause` stopped."""
        self.records.write(Fault(now(), "woken", name))
        self.stopped.discard(name)
        self.running[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """Terminate all processes; those that still run after 5 seconds are killed."""
        for name in list(self.stopped):
            self.resume(name)
        self.records.close()
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # ---- logs and answers ----------------------------------------------------------------------------------

    def wait_for(self, name: str, event: str) -> None:
        """Wait until the log of a process contains an event."""
        log = self.folder / f"{name}.log"
        self.wait_until(lambda: f'"{event}"'.encode() in log.read_bytes(), f"{event} of {name}")

    def publisher(self, region: str) -> str:
        """Return the running publisher of a region, by the last event of its log; "" if there is none."""
        for name in self.publishers[region]:
            if name in self.running and name not in self.stopped:
                text = (self.folder / f"{name}.log").read_text()
                if text.rfind('"distribution.publishing"') > max(
                    text.rfind('"distribution.stopped"'), text.rfind('"distribution.replaced"')
                ):
                    return name
        return ""

    def request_all(self, command: Command) -> list[Answer]:
        """Send a command to all processes of gateways at once and return their answers."""
        for hollow in self.hollow.values():
            hollow.send(command)
        return [hollow.answer() for hollow in self.hollow.values()]

    def following(self) -> int:
        """Return the number of gateways that follow a relay."""
        return sum(answer.following for answer in self.request_all(Command("where")))

    def wait_until(self, condition, what: str, wait: float = START_WAIT) -> float:  # noqa: ANN001
        """Wait until `condition` holds and return the seconds that this took.

        Raises TimeoutError, naming `what`, if the condition does not hold within `wait` seconds.
        """
        began = time.monotonic()
        while not condition():
            if time.monotonic() - began > wait:
                raise TimeoutError(f"waited {wait:.0f} s for {what}")
            time.sleep(self.scale.poll_interval)
        return time.monotonic() - began

    # ---- change clients ------------------------------------------------------------------------------------

    def start_change_client(
        self, requests: list[Request], seconds: float, in_force: bool = False
    ) -> subprocess.Popen:
        """Start a process with a change client, whose schedule begins now.

        `finish_change_client` returns its summary. Raises RuntimeError if the process ends before its
        schedule begins.
        """
        self.clients_started += 1
        name = f"client{self.clients_started}"
        publishers = {
            region: {one: Address("127.0.0.1", self.ports[one]) for one in names}
            for region, names in self.publishers.items()
        }
        schedule = [Scheduled(one.at, one.region, one.kind, one.name, one.value) for one in requests]
        spec = ChangeClientSpec(
            name, publishers, schedule, seconds, in_force, self.clients_started * 1_000_000
        )
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        arguments = ["-m", "tests.scale.change_client", str(path), str(self.folder / f"{name}.records")]
        process = self._run(name, arguments, stdout=subprocess.PIPE)
        if process.stdout.readline() != BEGUN:
            raise RuntimeError(f"{name} ended before its schedule began")
        return process

    def finish_change_client(self, process: subprocess.Popen) -> Summary:
        """Wait for the end of a change client and return its summary."""
        output, _ = process.communicate()
        self.running = {name: one for name, one in self.running.items() if one is not process}
        return msgspec.json.decode(output, type=Summary)

    # ---- the end -------------------------------------------------------------------------------------------

    def wait_until_equal(self, last: dict[str, int], wait: float) -> float:
        """Wait until all gateways are at the same sequence of every region, at least at those of `last`.

        Returns the seconds that this took; raises TimeoutError after `wait` seconds.
        """

        def equal() -> bool:
            answers = self.request_all(Command("where"))
            return all(
                {answer.lowest.get(region, 0) for answer in answers}
                == {answer.highest.get(region, 0) for answer in answers}
                and len({answer.highest.get(region, 0) for answer in answers}) == 1
                and min(answer.lowest.get(region, 0) for answer in answers) >= sequence
                for region, sequence in last.items()
            )

        return self.wait_until(equal, "all gateways to be equal", wait)

    def counters(self) -> dict[str, int]:
        """Return the sums of all gateways' counters."""
        total = dict[str, int]()
        for answer in self.request_all(Command("where")):
            for name, value in answer.counters.items():
                total[name] = total.get(name, 0) + value
        return total

    def processor_seconds(self) -> dict[str, float]:
        """Return the processor time of each running process, in seconds."""
        found = {}
        for name, process in self.running.items():
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            found[name] = (int(fields[11]) + int(fields[12])) / TICKS
        return found

    def record_usage(self, before: dict[str, float], seconds: float) -> None:
        """Record the resources that the relays, publishers and members of the quorum used.

        `before` is an earlier result of `processor_seconds`, `seconds` the time since then.
        """
        after = self.processor_seconds()
        roles = {name: "relay" for row in self.relays.values() for name in row}
        roles |= {name: "publisher" for row in self.publishers.values() for name in row}
        roles |= dict.fromkeys(QUORUM, "quorum")
        for name, role in roles.items():
            if name in after and name in before:
                memory = resident_bytes(self.running[name].pid)
                used = after[name] - before[name]
                self.records.write(Usage(now(), name, role, 0, seconds, used, 0, 0, memory))
