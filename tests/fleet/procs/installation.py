"""Members as processes on loopback, with a fake network between them and a fake resource.

Starts, pauses and kills the processes, and owns their settings and their stores. Only processes started here
are signalled, by id, and only their logs are read.
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
from enum import StrEnum
from pathlib import Path
from random import Random

from tests.fleet.procs.fake_network import FakeNetwork
from tests.fleet.procs.fake_resource import FakeResource

ROOT = Path(__file__).parents[3]
LEASE = 1.0  # seconds
HEARTBEAT = 0.2  # seconds
LISTENING_PORTS = range(10_000, 32_000)  # the system's ephemeral ports begin at 32,768
RECENT_ACTION = 0.3  # seconds for which an accepted action shows its holder


class StoreState(StrEnum):
    """State of a member's store at its next start, compared with the end of the last one."""

    UNCHANGED = "unchanged"
    EMPTY = "empty"
    OLDER = "older"  # as it was at the last `save_store`


def free_ports(count: int) -> list[int]:
    """Return ports to listen on that are free now and below the system's ephemeral ports.

    An outgoing connection could take an ephemeral port before the process listens on it, or while the process
    is down.
    """
    sockets = list[socket.socket]()
    for port in Random().sample(LISTENING_PORTS, len(LISTENING_PORTS)):
        if len(sockets) == count:
            break
        with contextlib.suppress(OSError):
            sockets.append(socket.create_server(("127.0.0.1", port)))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


class Installation:
    """The members of one test; the first `acceptors` of them are the quorum.

    `rates` are the rates of those members' clocks that run fast or slow, 1.0 being true time.
    """

    def __init__(
        self, folder: Path, members: list[str], acceptors: int = 3, rates: dict[str, float] | None = None
    ) -> None:
        self.folder = folder
        self.members = members
        self.acceptors = members[:acceptors]
        self.rates = rates or {}
        self.ports = dict(zip(members, free_ports(len(members)), strict=True))
        self.network = FakeNetwork()
        self.resource = FakeResource()
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.paused: set[str] = set()
        self.resumed: list[tuple[float, str]] = []  # time of the monotonic clock in seconds, and member
        self.saved_stores: dict[str, Path] = {}
        self.log_starts: dict[str, int] = {}  # by member, offset in bytes of the current process's lines

    async def open(self) -> None:
        await self.resource.open()
        for member in self.members:
            for acceptor in self.acceptors:
                if acceptor != member:
                    await self.network.open(member, acceptor, self.ports[acceptor])
            self.write_settings(member)

    def write_settings(self, member: str) -> None:
        others = "".join(
            f'<member name="{other}" address="127.0.0.1:{self.network.ports.get((member, other), 9)}"/>'
            for other in self.members
            if other != member
        )
        acceptors = "".join(f'<seat name="{acceptor}"/>' for acceptor in self.acceptors)
        (self.folder / f"{member}.xml").write_text(
            f'<linenbridge xmlns="urn:linenbridge:premises:1">\n<fleet member="{member}" '
            f'listen="127.0.0.1:{self.ports[member]}" store="{member}.db" lease="{int(LEASE * 1000)}ms" '
            f'longest="{int(LEASE * 1000)}ms" beat="{int(HEARTBEAT * 1000)}ms">{others}\n'
            f'<council>{acceptors}</council>\n<task name="sweep" act="127.0.0.1:{self.resource.port}" '
            f'every="30ms"/>\n</fleet></linenbridge>'
        )

    def start(self, member: str) -> None:
        environ = {**os.environ, "LB_TEST_RATE": str(self.rates.get(member, 1.0))}
        environ.pop("LB_CONFIG", None)
        command = [sys.executable, "-m", "tests.fleet.procs.run_member", "serve", "--settings"]
        with open(self.folder / f"{member}.log", "ab") as log:
            self.log_starts[member] = log.tell()
            self.running[member] = subprocess.Popen(
                [*command, str(self.folder / f"{member}.xml")], cwd=ROOT, stderr=log, env=environ
            )

    def kill(self, member: str) -> None:
        process = self.running.pop(member)
        process.kill()
        process.wait()
        self.paused.discard(member)

    def pause(self, member: str) -> None:
        self.running[member].send_signal(signal.SIGSTOP)
        self.paused.add(member)

    def resume(self, member: str) -> None:
        if member in self.paused and member in self.running:
            self.paused.discard(member)
            self.resumed.append((time.monotonic(), member))
            self.running[member].send_signal(signal.SIGCONT)

    def change_store(self, member: str, state: StoreState) -> None:
        """Change the store of a member that is not running."""
        files = [self.folder / f"{member}.db{suffix}" for suffix in ("", "-wal", "-shm")]
        if state != StoreState.UNCHANGED:
            for file in files:
                file.unlink(missing_ok=True)
        if state == StoreState.OLDER and member in self.saved_stores:
            for file in self.saved_stores[member].iterdir():
                shutil.copy(file, self.folder / file.name)

    def save_store(self, member: str) -> None:
        """Copy the store of a member that is not running, for `StoreState.OLDER`."""
        folder = self.folder / f"saved-{member}"
        folder.mkdir(exist_ok=True)
        for file in self.folder.glob(f"{member}.db*"):
            shutil.copy(file, folder / file.name)
        self.saved_stores[member] = folder

    async def wait_until_started(self, timeout: float = 60.0) -> None:
        """Wait until every running process has logged its start.

        The time that a busy machine needs to load a program is not part of any guaranteed bound. Killed
        processes are not waited for. Raises TimeoutError after `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        for member in self.running:
            while not self.has_logged(member, "member.started"):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{member} did not start within {timeout:.0f} s")
                await asyncio.sleep(0.05)

    def has_logged(self, member: str, event: str) -> bool:
        """Return whether the member's current process, not an earlier one, has logged the event."""
        log = (self.folder / f"{member}.log").read_bytes()
        return f'"{event}"'.encode() in log[self.log_starts[member] :]

    async def has_recovered(self, acceptor: str, timeout: float) -> bool:
        """Return whether an acceptor's current process logs its recovery within `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while not self.has_logged(acceptor, "acceptor.recovered"):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.05)
        return True

    async def has_holder(self, timeout: float) -> bool:
        """Return whether the resource accepts an action within `timeout` seconds from now."""
        since = len(self.resource.actions)
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if any(action.accepted for action in self.resource.actions[since:]):
                return True
            await asyncio.sleep(0.02)
        return False

    def holder(self) -> str | None:
        """Return the member with the last accepted action of the last `RECENT_ACTION` seconds, or None."""
        since = time.monotonic() - RECENT_ACTION
        actions = [action for action in self.resource.actions if action.accepted and action.at > since]
        return actions[-1].member.partition("#")[0] if actions else None

    async def close(self) -> None:
        for member in list(self.paused):
            self.resume(member)
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            try:
                process.wait(3)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        await self.network.close()
