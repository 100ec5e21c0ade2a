"""What all scripts share: the record, free ports, the project's processes, and the exit codes.

A script exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
FIRST_PORT, LAST_PORT = 10_000, 32_000  # below the system's ephemeral ports
LONGEST = 115.0  # seconds that a script may take


class CannotRunError(Exception):
    """The case couldn't run: what it needs did not come about."""


class Case:
    """One run of a script: its folder, its record and its processes."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = (folder / "record.txt").open("w")
        self.began = time.monotonic()
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports: set[int] = set()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self.began

    def record(self, text: str) -> None:
        """Write one line to record.txt."""
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    def free_port(self) -> int:
        """Return a port on which nobody listens and that no outgoing connection gets."""
        while True:
            port = Random().randrange(FIRST_PORT, LAST_PORT)
            if port in self.ports:
                continue
            with suppress(OSError), socket.create_server((LOOPBACK, port)):
                self.ports.add(port)
                return port

    def start(self, name: str, *arguments: str, environ: dict[str, str] | None = None) -> None:
        """Start the project's program by the command of the deploy file, with further arguments."""
        command = "cd build && exec ../.venv/bin/python -m linenbridge " + " ".join(arguments)
        inherited = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "PYTHON"))}
        with (self.work / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**inherited, **(environ or {})},
            )
        self.record(f"started {name}")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this script started."""
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def lines(self, name: str, event: str) -> list[dict]:
        """Return the log lines of a process with this event."""
        found = []
        for line in (self.work / f"{name}.log").read_text(errors="replace").splitlines():
            with suppress(ValueError):
                parsed = json.loads(line)
                if isinstance(parsed, dict) and parsed.get("event") == event:
                    found.append(parsed)
        return found

    async def wait_for(self, what: str, condition: Callable[[], object], seconds: float) -> None:
        """Wait until a condition holds; raises CannotRunError if it does not within that time."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRunError(f"not within {seconds:.0f} s: {what}")
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """End all processes that this script started, and remove its temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for log in sorted(self.work.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[:400]:
                self.record_file.write(f"log {log.stem}: {line}\n")
        self.record_file.close()
        shutil.rmtree(self.work, ignore_errors=True)


def play(folder: Path, body: Callable[[Case], Awaitable[bool]]) -> None:
    """Run a case, whose body returns whether the rule was broken, and exit."""
    case = Case(folder)
    code = COULD_NOT_RUN

    async def bounded() -> bool:
        # Connections that are open at the end are cut without a report.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(body(case), LONGEST)

    try:
        broken = asyncio.run(bounded())
        code = BROKEN if broken else HELD
        case.record(f"trouble={int(case.trouble)}: the rule {'was broken' if broken else 'held'}")
    except (CannotRunError, TimeoutError, OSError) as error:
        case.record(f"the case couldn't run: {type(error).__name__}: {error}")
        print(f"the case couldn't run: {error}", file=sys.stderr)
    finally:
        case.close()
    print(f"exit {code}")
    sys.exit(code)
