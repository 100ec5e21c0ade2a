"""Processes of a distribution on loopback: relays, candidates for publishers, a witness, gateways, authors.

Owns their settings, disks, starts and ends. Only processes that it started are signalled, by id. It must
never reach into one: what they did is read from their logs.
"""

from __future__ import annotations

import json
import os
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing.process import BaseProcess
from pathlib import Path

from tests.distribution.hosting.processes import begin
from tests.fleet.procs.installation import ROOT, free_ports

PLATFORM = ROOT / "examples" / "config.json"
START_WAIT = 60.0  # seconds: how long a busy machine takes to load a program is none of what is promised
ROUTES = 'route a {{ when always method "look" soft {soft}ms }}'


SAYS_WHETHER_IT_PUBLISHES = frozenset(
    ("distribution.publishing", "distribution.stopped", "distribution.replaced", "distribution.log_recovery")
)


@dataclass
class Told:
    """What an author was told: the command's output and exit code."""

    code: int
    lines: list[str]
    error: str


class Installation:
    """Relays eu-1.. of the region eu, its publishers p1 and p2, whose quorum has the witness w as third
    acceptor, and gateways g-1..; `others` are relays of the region us, which then has the gateway g-us.
    Nothing runs before `start`."""

    def __init__(
        self, folder: Path, relays: int = 3, gateways: int = 2, others: tuple[str, ...] = ()
    ) -> None:
        self.folder = folder
        self.relays = [f"eu-{number}" for number in range(1, relays + 1)]
        self.publishers = ["p1", "p2"]
        self.gateways = [f"g-{number}" for number in range(1, gateways + 1)]
        self.others = list(others)
        self.gateways += ["g-us"] if others else []
        members = [*self.publishers, "w"]
        names = [*self.relays, *self.others, *self.publishers]
        ports = free_ports(len(names) + len(members))
        self.ports = dict(zip(names, ports, strict=False))
        self.fleet_ports = dict(zip(members, ports[len(names) :], strict=True))
        self.running: dict[str, BaseProcess] = {}
        self.stopped: set[str] = set()
        self.authors = 0
        self._write_all()

    # ---- settings ----------------------------------------------------------------------------------------

    def _write_all(self) -> None:
        for relay in (*self.relays, *self.others):
            (self.folder / relay).mkdir()
            region = "eu" if relay in self.relays else "us"
            words = f'role="relay" name="{relay}" region="{region}" store="{relay}" {self._listen(relay)}'
            self.write(relay, self.distribution(words))
        for publisher in self.publishers:
            words = f'role="publisher" name="{publisher}" region="eu" platform="{PLATFORM}" '
            element = self.distribution(words + self._listen(publisher))
            self.write(publisher, self.fleet(publisher, '<task name="publish-eu"/>') + element)
        self.write("w", self.fleet("w", ""))
        for gateway in self.gateways:
            region = "us" if gateway == "g-us" else "eu"
            words = f'role="gateway" name="{gateway}" region="{region}" store="{gateway}.db" '
            words += f'platform="{PLATFORM}"'
            self.write(gateway, self.distribution(words))

    def write(self, name: str, inside: str) -> None:
        text = f'<linenbridge xmlns="urn:linenbridge:premises:1">\n{inside}\n</linenbridge>'
        (self.folder / f"{name}.xml").write_text(text)

    def _listen(self, name: str) -> str:
        return f'listen="127.0.0.1:{self.ports[name]}"'

    def distribution(self, words: str) -> str:
        """The element; heartbeats are short so that tests are."""
        rows = [self._region("eu", self.relays, self.publishers)]
        if self.others:
            rows.append(self._region("us", self.others, []))
        return (
            f'<distribution {words} gather="50ms" heartbeat="300ms" silence="900ms">\n'
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
        seats = "".join(f'<seat name="{seat}"/>' for seat in self.fleet_ports)
        return (
            f'<fleet member="{member}" listen="127.0.0.1:{self.fleet_ports[member]}" lease="1s" longest="1s" '
            f'beat="200ms" store="{member}.db">{others}<council>{seats}</council>{tasks}</fleet>\n'
        )

    # ---- processes ---------------------------------------------------------------------------------------

    def everybody(self) -> list[str]:
        return [*self.relays, *self.others, *self.publishers, "w", *self.gateways]

    def start(self, *names: str) -> None:
        for name in names:
            log = self.folder / f"{name}.log"
            self.running[name] = begin(["serve", "--settings", f"{name}.xml"], self.folder, log, log)

    def up(self, *names: str) -> None:
        """Until each has said that it stands, in this life."""
        for name in names:
            event = "member.started" if name == "w" else "distribution.started"
            pid = self.running[name].pid
            self.until(
                lambda name=name, event=event: bool(self.events(name, event)), f"{name} {pid} to start"
            )

    def kill(self, name: str) -> None:
        """At once; what it has logged before counts for no later `events`."""
        process = self.running.pop(name)
        self.stopped.discard(name)
        process.kill()
        process.join()
        log = self.folder / f"{name}.log"
        log.rename(self.folder / f"{name}.{process.pid}.log")

    def pause(self, name: str) -> None:
        os.kill(self.running[name].pid, signal.SIGSTOP)
        self.stopped.add(name)

    def wake(self, name: str) -> None:
        self.stopped.discard(name)
        os.kill(self.running[name].pid, signal.SIGCONT)

    def close(self) -> None:
        for name in list(self.stopped):
            self.wake(name)
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            process.join(5)
            if process.exitcode is None:
                process.kill()
                process.join()

    # ---- what they said ----------------------------------------------------------------------------------

    def events(self, name: str, event: str = "") -> list[dict]:
        """The lines of a process's present life, of one kind or all."""
        log = self.folder / f"{name}.log"
        rows = []
        for line in log.read_bytes().split(b"\n") if log.exists() else ():
            if line.startswith(b"{") and line.endswith(b"}"):
                rows.append(json.loads(line))
        return [row for row in rows if row["event"] == event] if event else rows

    @staticmethod
    def until(found: Callable[[], bool], what: str, wait: float = START_WAIT) -> float:
        """The seconds that it took."""
        began = time.monotonic()
        while not found():
            if time.monotonic() - began > wait:
                raise TimeoutError(f"waited {wait:.0f} s for {what}")
            time.sleep(0.02)
        return time.monotonic() - began

    def publisher(self) -> str:
        """Who publishes, by its own last word; "" where nobody says so."""
        return next((name for name in self.publishers if self.publisher_of(name)), "")

    def publisher_of(self, name: str) -> bool:
        """Whether this one's last word is that it publishes."""
        rows = [row for row in self.events(name) if row["event"] in SAYS_WHETHER_IT_PUBLISHES]
        return name in self.running and bool(rows) and rows[-1]["event"] == "distribution.publishing"

    def followed_by(self, gateway: str) -> str:
        """The relay that a gateway follows; "" where it has left one and not reached the next."""
        rows = self.events(gateway)
        rows = [row for row in rows if row["event"] in ("distribution.following", "distribution.left")]
        return rows[-1]["relay"] if rows and rows[-1]["event"] == "distribution.following" else ""

    def has_joined(self, relay: str) -> bool:
        """Whether the publisher has taken up the relay's present life."""
        (began,) = self.events(relay, "distribution.incarnation_began")
        joined = [row for name in self.publishers for row in self.events(name, "distribution.relay_joins")]
        return any((row["relay"], row["incarnation"]) == (relay, began["incarnation"]) for row in joined)

    def in_force(self, gateway: str) -> int:
        """The newest sequence that a gateway has said to be in force in this life."""
        return max((row["sequence"] for row in self.events(gateway, "distribution.in_force")), default=0)

    def publish(self, name: str, value: str, *more: str, kind: str = "routes") -> Told:
        """As an author does, with the settings of the first gateway; in the end, what was told."""
        return self.told(self.begin_publish(name, value, *more, kind=kind))

    def begin_publish(
        self, name: str, value: str, *more: str, kind: str = "routes"
    ) -> tuple[BaseProcess, Path]:
        """The same without waiting."""
        self.authors += 1
        file = self.folder / f"value-{self.authors}"
        file.write_text(value)
        words = ["publish", "--settings", f"{self.gateways[0]}.xml", "--kind", kind, "--name", name]
        out = file.with_suffix(".out")
        value_words = [] if "--delete" in more else ["--value", str(file)]
        process = begin([*words, *value_words, *more], self.folder, out, file.with_suffix(".err"))
        return process, out

    @staticmethod
    def told(author: tuple[BaseProcess, Path]) -> Told:
        process, out = author
        process.join(90)
        return Told(process.exitcode, out.read_text().splitlines(), out.with_suffix(".err").read_text())
