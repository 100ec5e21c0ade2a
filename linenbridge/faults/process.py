"""One process that a drill starts: its start, its log, what it costs, and its end.

Only the process that it started is signalled, by its id.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
from collections.abc import Callable
from pathlib import Path

from linenbridge.faults.fake_world import LOOPBACK


def free_port() -> int:
    """A port of the loopback address that nobody listens on now."""
    with socket.socket() as found:
        found.bind((LOOPBACK, 0))
        return found.getsockname()[1]


class Process:
    """One process of ours: started, waited for, and ended by its id."""

    def __init__(self, arguments: list[str], environ: dict[str, str], folder: Path, name: str) -> None:
        self.lines = folder / f"{name}.log"
        self.arguments, self.environ = arguments, environ
        self.process: subprocess.Popen | None = None
        self.anew: Callable[[], object] = lambda: None
        self.start()

    def start(self) -> None:
        self.anew()
        with open(self.lines, "ab") as lines:
            self.process = subprocess.Popen(
                self.arguments, stderr=lines, stdout=lines, env={**os.environ, **self.environ}
            )

    def events(self, name: str) -> list[dict]:
        found = []
        for line in self.lines.read_text().splitlines():
            if line.startswith("{") and (event := json.loads(line)).get("event") == name:
                found.append(event)
        return found

    def cpu(self) -> float:
        """Processor seconds used so far."""
        if self.process is None:
            return 0.0
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        if self.process is None:
            return 0.0
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def end(self, number: int = signal.SIGTERM) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, seconds: float = 5.0) -> int | None:
        """The exit code; a process that does not end in time is killed."""
        if self.process is None:
            return None
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(5.0)
            return None
