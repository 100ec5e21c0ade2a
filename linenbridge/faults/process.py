"""One process that a fault run starts: its start, its log, its cost and its end.

Signals go only to the process that was started here, by its id.
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
    """Return a port of the loopback address on which no process listens now."""
    with socket.socket() as found:
        found.bind((LOOPBACK, 0))
        return found.getsockname()[1]


class Process:
    """One child process: started, waited for, and ended by its id.

    `before_start` is called before each start, also before a restart.
    """

    def __init__(self, arguments: list[str], environ: dict[str, str], folder: Path, name: str) -> None:
        self.log_path = folder / f"{name}.log"
        self.arguments, self.environ = arguments, environ
        self.process: subprocess.Popen | None = None
        self.before_start: Callable[[], object] = lambda: None
        self.start()

    def start(self) -> None:
        """Start the process, also after its end."""
        self.before_start()
        with open(self.log_path, "ab") as log_file:
            self.process = subprocess.Popen(
                self.arguments, stderr=log_file, stdout=log_file, env={**os.environ, **self.environ}
            )

    def events(self, name: str) -> list[dict]:
        """Return all log events with the name `name`."""
        found = []
        for line in self.log_path.read_text().splitlines():
            if line.startswith("{") and (event := json.loads(line)).get("event") == name:
                found.append(event)
        return found

    def cpu(self) -> float:
        """Return the processor time used so far, in seconds."""
        if self.process is None:
            return 0.0
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return the resident memory in mebibytes."""
        if self.process is None:
            return 0.0
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def end(self, signal_number: int = signal.SIGTERM) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def wait(self, seconds: float = 5.0) -> int | None:
        """Return the exit code; kill the process and return None if it does not end within `seconds`."""
        if self.process is None:
            return None
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(5.0)
            return None
