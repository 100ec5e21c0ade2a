"""Several processes of the program on loopback, with stand-ins between and around them.

Owns starting, stopping and killing them, their settings and their disks. Only processes that it started are
signalled, by id. It must never reach into one.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random

from tests.fleet.procs.fake_network import StandinLinks
from tests.fleet.procs.fake_resource import StandinResource

ROOT = Path(__file__).parents[3]
LEASE, BEAT = 1.0, 0.2
LISTENING = range(10_000, 32_000)  # the system's ephemeral ports begin at 32,768


def free_ports(count: int) -> list[int]:
    """Ports to listen on, free at this moment, below those that the system gives to outgoing connections: one
    of those could be taken again before its process listens, or while it is down."""
    sockets = list[socket.socket]()
    for port in Random().sample(LISTENING, len(LISTENING)):
        if len(sockets) == count:
            break
        with contextlib.suppress(OSError):
            sockets.append(socket.create_server(("127.0.0.1", port)))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Installation:
    """`members` in order; the first `acceptors` sit on the quorum."""

    def __init__(
        self, folder: Path, members: list[str], acceptors: int = 3, rates: dict[str, float] | None = None
    ):
        self.folder, self.members, self.acceptors = folder, members, members[:acceptors]
        self.rates = rates or {}
        self.ports = dict(zip(members, free_ports(len(members)), strict=True))
        self.links, self.resource = StandinLinks(), StandinResource()
        self.running: dict[str, subprocess.Popen] = {}
        self.stopped: set[str] = set()
        self.woken: list[tuple[float, str]] = []
        self.saved: dict[str, Path] = {}
        self.log_starts: dict[
            str, int
        ] = {}  # by member, where in its log the present process begins, in bytes

    async def open(self) -> None:
        await self.resource.open()
        for member in self.members:
            for acceptor in self.acceptors:
                if acceptor != member:
                    await self.links.open(member, acceptor, self.ports[acceptor])
            self.write(member)

    def write(self, member: str) -> None:
        others = "".join(
            f'<member name="{other}" address="127.0.0.1:{self.links.ports.get((member, other), 9)}"/>'
            for other in self.members if other != member
        )  # fmt: skip
        acceptors = "".join(f'<seat name="{acceptor}"/>' for acceptor in self.acceptors)
        (self.folder / f"{member}.xml").write_text(
            f'<linenbridge xmlns="urn:linenbridge:premises:1">\n<fleet member="{member}" '
            f'listen="127.0.0.1:{self.ports[member]}" store="{member}.db" lease="{int(LEASE * 1000)}ms" '
            f'longest="{int(LEASE * 1000)}ms" beat="{int(BEAT * 1000)}ms">{others}\n'
            f'<council>{acceptors}</council>\n<task name="sweep" act="127.0.0.1:{self.resource.port}" '
            f'every="30ms"/>\n</fleet></linenbridge>'
        )

    def start(self, member: str) -> None:
        environ = {**os.environ, "LB_TEST_RATE": str(self.rates.get(member, 1.0))}
        environ.pop("LB_CONFIG", None)
        words = [sys.executable, "-m", "tests.fleet.procs.run_member", "serve", "--settings"]
        with open(self.folder / f"{member}.log", "ab") as log:
            self.log_starts[member] = log.tell()
            self.running[member] = subprocess.Popen(
                [*words, str(self.folder / f"{member}.xml")], cwd=ROOT, stderr=log, env=environ
            )

    def kill(self, member: str) -> None:
        process = self.running.pop(member)
        process.kill()
        process.wait()
        self.stopped.discard(member)

    def pause(self, member: str) -> None:
        self.running[member].send_signal(signal.SIGSTOP)
        self.stopped.add(member)

    def wake(self, member: str) -> None:
        if member in self.stopped and member in self.running:
            self.stopped.discard(member)
            self.woken.append((time.monotonic(), member))
            self.running[member].send_signal(signal.SIGCONT)

    def disk(self, member: str, what: str) -> None:
        """`kept` as it is, `emptied`, or `older`: as it was when last saved. Of a member that is not
        running."""
        files = [self.folder / f"{member}.db{end}" for end in ("", "-wal", "-shm")]
        if what != "kept":
            for file in files:
                file.unlink(missing_ok=True)
        if what == "older" and member in self.saved:
            for file in self.saved[member].iterdir():
                shutil.copy(file, self.folder / file.name)

    def save(self, member: str) -> None:
        """A copy of the disk of a member that is not running."""
        folder = self.folder / f"saved-{member}"
        folder.mkdir(exist_ok=True)
        for file in self.folder.glob(f"{member}.db*"):
            shutil.copy(file, folder / file.name)
        self.saved[member] = folder

    async def up(self, wait: float = 60.0) -> None:
        """Until every process that runs has said so: how long a busy machine takes to load a program is none
        of what is promised. One that was killed before it said so is not waited for."""
        end = time.monotonic() + wait
        for member in self.running:
            while not self.said(member, "member.started"):
                if time.monotonic() > end:
                    raise TimeoutError(f"{member} did not start within {wait:.0f} s")
                await asyncio.sleep(0.05)

    def said(self, member: str, event: str) -> bool:
        """Whether the member's present process has logged the event; earlier ones do not count."""
        log = (self.folder / f"{member}.log").read_bytes()
        return f'"{event}"'.encode() in log[self.log_starts[member] :]

    async def returned(self, acceptor: str, wait: float) -> bool:
        """Whether an acceptor says within that time that it grants again, after its last start."""
        end = time.monotonic() + wait
        while not self.said(acceptor, "acceptor.recovered"):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.05)
        return True

    async def held(self, wait: float) -> bool:
        """Whether somebody acts within that time from now."""
        since, end = len(self.resource.acts), time.monotonic() + wait
        while time.monotonic() < end:
            if any(act.taken for act in self.resource.acts[since:]):
                return True
            await asyncio.sleep(0.02)
        return False

    def holder(self) -> str | None:
        """Who acted last, of late."""
        acts = [act for act in self.resource.acts if act.taken and act.at > time.monotonic() - 0.3]
        return acts[-1].by.partition("#")[0] if acts else None

    async def close(self) -> None:
        for member in list(self.stopped):
            self.wake(member)
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            try:
                process.wait(3)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        await self.links.close()
