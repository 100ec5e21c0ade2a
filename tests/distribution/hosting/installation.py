"""Processes of a distribution on loopback: relays, candidates for publisher, gateways, `publish` commands.

This module writes the settings of the processes, starts and stops them, and reads their logs and output.
Signals are sent by process id, and only to processes that this module started.
"""

from __future__ import annotations

import itertools
import json
import os
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from tests.distribution.hosting.processes import start_program
from tests.fleet.procs.installation import ROOT, free_ports

PLATFORM_FILE = ROOT / "examples" / "config.json"
MAX_START_SECONDS = 60.0  # generous, because no test checks the start-up time on a busy machine
ROUTES = 'route a {{ when always method "look" soft {soft}ms }}'
PUBLISHING_EVENTS = frozenset(
    ("distribution.publishing", "distribution.stopped", "distribution.replaced", "distribution.log_recovery")
)


class RunningProcess(Protocol):
    """A process with the interface of `multiprocessing`. `exitcode` is None while the process runs."""

    @property
    def pid(self) -> int | None: ...
    @property
    def exitcode(self) -> int | None: ...
    def terminate(self) -> None: ...
    def kill(self) -> None: ...
    def join(self, timeout: float | None = None) -> None: ...


class Launch(Protocol):
    """Starts `linenbridge ARGUMENTS` in a folder; standard output and error are appended to two files."""

    def __call__(self, arguments: list[str], folder: Path, output: Path, error: Path) -> RunningProcess: ...


@dataclass
class PublishResult:
    """The exit code, the output lines and the error output of one `publish` command."""

    code: int
    lines: list[str]
    error: str


class Installation:
    """Processes of the region eu: relays eu-1.., publishers p1 and p2, acceptor w, and gateways g-1..

    p1, p2 and w are the acceptors of the quorum. The acceptor w is not a candidate for publisher.
    `other_relays` are relays of the region us, which then has the gateway g-us. Every member is also a
    candidate for the tasks in `fleet_tasks` (XML). No process runs before `start`.
    """

    def __init__(
        self,
        folder: Path,
        relays: int = 3,
        gateways: int = 2,
        other_relays: tuple[str, ...] = (),
        fleet_tasks: str = "",
        launch: Launch = start_program,
    ) -> None:
        self.folder = folder
        self.fleet_tasks = fleet_tasks
        self.launch = launch
        self.relays = [f"eu-{number}" for number in range(1, relays + 1)]
        self.publishers = ["p1", "p2"]
        self.gateways = [f"g-{number}" for number in range(1, gateways + 1)]
        self.other_relays = list(other_relays)
        self.gateways += ["g-us"] if other_relays else []
        members = [*self.publishers, "w"]
        names = [*self.relays, *self.other_relays, *self.publishers]
        ports = free_ports(len(names) + len(members))
        self.ports = dict(zip(names, ports, strict=False))
        self.fleet_ports = dict(zip(members, ports[len(names) :], strict=True))
        self.running: dict[str, RunningProcess] = {}
        self.paused: set[str] = set()
        self.command_numbers = itertools.count(1)
        self._write_all()

    # ---- settings ----------------------------------------------------------------------------------------

    def _write_all(self) -> None:
        for relay in (*self.relays, *self.other_relays):
            (self.folder / relay).mkdir()
            region = "eu" if relay in self.relays else "us"
            attributes = (
                f'role="relay" name="{relay}" region="{region}" store="{relay}" {self._listen(relay)}'
            )
            self.write(relay, self.distribution(attributes))
        for publisher in self.publishers:
            attributes = f'role="publisher" name="{publisher}" region="eu" platform="{PLATFORM_FILE}" '
            element = self.distribution(attributes + self._listen(publisher))
            self.write(publisher, self.fleet(publisher, '<task name="publish-eu"/>') + element)
        self.write("w", self.fleet("w", ""))
        for gateway in self.gateways:
            region = "us" if gateway == "g-us" else "eu"
            attributes = f'role="gateway" name="{gateway}" region="{region}" store="{gateway}.db" '
            attributes += f'platform="{PLATFORM_FILE}"'
            self.write(gateway, self.distribution(attributes))

    def write(self, name: str, elements: str) -> None:
        text = f'<linenbridge xmlns="urn:linenbridge:premises:1">\n{elements}\n</linenbridge>'
        (self.folder / f"{name}.xml").write_text(text)

    def _listen(self, name: str) -> str:
        return f'listen="127.0.0.1:{self.ports[name]}"'

    def distribution(self, attributes: str) -> str:
        """Return the element `distribution`, with short heartbeats so that tests are short."""
        rows = [self._region("eu", self.relays, self.publishers)]
        if self.other_relays:
            rows.append(self._region("us", self.other_relays, []))
        return (
            f'<distribution {attributes} gather="50ms" heartbeat="300ms" silence="900ms">\n'
            + "\n".join(rows)
            + "\n</distribution>"
        )

    def _region(self, name: str, relays: list[str], publishers: list[str]) -> str:
        rows = [self._peer("relay", relay) for relay in relays]
        rows += [self._peer("publisher", publisher) for publisher in publishers]
        return f'<region name="{name}">{"".join(rows)}</region>'

    def _peer(self, kind: str, name: str) -> str:
        return f'<{kind} name="{name}" address="127.0.0.1:{self.ports[name]}"/>'

    def fleet(self, member: str, tasks: str) -> str:
        others = "".join(
            f'<member name="{other}" address="127.0.0.1:{port}"/>'
            for other, port in self.fleet_ports.items()
            if other != member
        )
        acceptors = "".join(f'<seat name="{acceptor}"/>' for acceptor in self.fleet_ports)
        return (
            f'<fleet member="{member}" listen="127.0.0.1:{self.fleet_ports[member]}" lease="1s" longest="1s" '
            f'beat="200ms" store="{member}.db">{others}<council>{acceptors}</council>'
            f"{tasks}{self.fleet_tasks}</fleet>\n"
        )

    # ---- processes ---------------------------------------------------------------------------------------

    def process_names(self) -> list[str]:
        return [*self.relays, *self.other_relays, *self.publishers, "w", *self.gateways]

    def start(self, *names: str) -> None:
        for name in names:
            log = self.folder / f"{name}.log"
            self.running[name] = self.launch(["serve", "--settings", f"{name}.xml"], self.folder, log, log)

    def wait_until_started(self, *names: str) -> None:
        """Wait until the present process of each name has logged its start."""
        for name in names:
            event = "member.started" if name == "w" else "distribution.started"
            pid = self.running[name].pid
            self.wait_until(
                lambda name=name, event=event: bool(self.events(name, event)), f"{name} {pid} to start"
            )

    def kill(self, name: str) -> None:
        """Kill a process; `events` no longer reads its log."""
        self.running[name].kill()
        self._set_log_aside(name)

    def end(self, name: str) -> int | None:
        """End a process by SIGTERM and return its exit code; `events` no longer reads its log."""
        process = self.running[name]
        process.terminate()
        process.join(MAX_START_SECONDS)
        if process.exitcode is None:
            raise TimeoutError(f"{name} did not end within {MAX_START_SECONDS:.0f} s")
        self._set_log_aside(name)
        return process.exitcode

    def _set_log_aside(self, name: str) -> None:
        process = self.running.pop(name)
        self.paused.discard(name)
        process.join()
        (self.folder / f"{name}.log").rename(self.folder / f"{name}.{process.pid}.log")

    def pause(self, name: str) -> None:
        os.kill(self.running[name].pid, signal.SIGSTOP)
        self.paused.add(name)

    def resume(self, name: str) -> None:
        self.paused.discard(name)
        os.kill(self.running[name].pid, signal.SIGCONT)

    def close(self) -> None:
        for name in list(self.paused):
            self.resume(name)
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            process.join(5)
            if process.exitcode is None:
                process.kill()
                process.join()

    # ---- logs and commands -------------------------------------------------------------------------------

    def events(self, name: str, event: str = "") -> list[dict]:
        """Return the lines that the present process of a name has logged, of one event or of all."""
        log = self.folder / f"{name}.log"
        lines = log.read_bytes().split(b"\n") if log.exists() else []
        rows = [json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}")]
        return [row for row in rows if row["event"] == event] if event else rows

    @staticmethod
    def wait_until(
        condition: Callable[[], bool], description: str, max_seconds: float = MAX_START_SECONDS
    ) -> float:
        """Wait until `condition` is true and return the seconds elapsed.

        Raise TimeoutError after `max_seconds`.
        """
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > max_seconds:
                raise TimeoutError(f"waited {max_seconds:.0f} s for {description}")
            time.sleep(0.02)
        return time.monotonic() - started_at

    def publisher(self) -> str:
        """Return the name of the process that publishes according to its own log, or "" if there is none."""
        return next((name for name in self.publishers if self.is_publishing(name)), "")

    def is_publishing(self, name: str) -> bool:
        """Return whether a process runs and its last event of `PUBLISHING_EVENTS` is `publishing`."""
        rows = [row for row in self.events(name) if row["event"] in PUBLISHING_EVENTS]
        return name in self.running and bool(rows) and rows[-1]["event"] == "distribution.publishing"

    def followed_relay(self, gateway: str) -> str:
        """Return the relay that a gateway follows, or "" if it has left one and not reached the next."""
        rows = self.events(gateway)
        rows = [row for row in rows if row["event"] in ("distribution.following", "distribution.left")]
        return rows[-1]["relay"] if rows and rows[-1]["event"] == "distribution.following" else ""

    def has_joined(self, relay: str) -> bool:
        """Return whether a publisher has logged that the relay's present incarnation has joined."""
        (began,) = self.events(relay, "distribution.incarnation_began")
        joined = [row for name in self.publishers for row in self.events(name, "distribution.relay_joins")]
        return any((row["relay"], row["incarnation"]) == (relay, began["incarnation"]) for row in joined)

    def in_force(self, gateway: str) -> int:
        """Return the newest sequence in force that the present process of a gateway has logged, or 0."""
        return max((row["sequence"] for row in self.events(gateway, "distribution.in_force")), default=0)

    def publish(self, name: str, value: str, *more: str, kind: str = "routes") -> PublishResult:
        """Run the `publish` command to its end, with the settings of the first gateway."""
        return self.publish_result(self.begin_publish(name, value, *more, kind=kind))

    def begin_publish(
        self, name: str, value: str, *more: str, kind: str = "routes", launch: Launch | None = None
    ) -> tuple[RunningProcess, Path]:
        """Start the `publish` command, by `launch` if given, else by `self.launch`."""
        file = self.folder / f"value-{next(self.command_numbers)}"
        file.write_text(value)
        arguments = ["publish", "--settings", f"{self.gateways[0]}.xml", "--kind", kind, "--name", name]
        output = file.with_suffix(".out")
        value_arguments = [] if "--delete" in more else ["--value", str(file)]
        process = (launch or self.launch)(
            [*arguments, *value_arguments, *more], self.folder, output, file.with_suffix(".err")
        )
        return process, output

    @staticmethod
    def publish_result(command: tuple[RunningProcess, Path]) -> PublishResult:
        process, output = command
        process.join(90)
        return PublishResult(
            process.exitcode, output.read_text().splitlines(), output.with_suffix(".err").read_text()
        )
