"""What the cases share: processes of the program, a record, free ports, and small stand-ins on loopback.

The program is started with the command `run` of the deploy file. Stand-ins are asyncio servers in the process
of the script. `TROUBLE=0` in the environment leaves the disruption of a case out.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
FIRST_PORT, LAST_PORT = 10_000, 32_000  # below the ports of outgoing connections
MAX_LOG_LINES = 200  # of each process, at the end of the record


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free and that no outgoing connection gets."""
    found: set[int] = set()
    while len(found) < count:
        port = Random().randrange(FIRST_PORT, LAST_PORT)
        with suppress(OSError), socket.create_server((HOST, port)):
            found.add(port)
    return list(found)


class NotRunError(Exception):
    """The case could not run: a process did not start, or the script was too late."""


class Lab:
    """A temporary folder, the record of the case, and the processes that it has started."""

    def __init__(self, case: str) -> None:
        self.started_at = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.record_file = (ROOT / "review" / case / "record.txt").open("w", encoding="utf-8")
        self.processes: dict[str, subprocess.Popen] = {}
        self.stopped: set[str] = set()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.run_command = deploy["run"]
        # README, "For other proxies": commands are run from the root or from build/.
        self.from_root = False
        self.root_command = "exec .venv/bin/python -m linenbridge"
        self.note("case", f"{case}, disruption {'on' if TROUBLE else 'off'}")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def note(self, who: str, what: str) -> None:
        """Add a line to the record."""
        self.record_file.write(f"{self.now():8.3f} {who}: {what}\n")
        self.record_file.flush()

    # ---- processes of the program ------------------------------------------------------------------------

    def start(
        self,
        name: str,
        arguments: str = "",
        environ: dict[str, str] | None = None,
        *,
        from_root: bool = False,
    ) -> None:
        """Start the program with the deploy file's command, or from the root; its log is NAME.log."""
        command = self.root_command if from_root else self.run_command
        log = (self.folder / f"{name}.log").open("ab")
        inherited = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "PYTHON"))}
        self.processes[name] = subprocess.Popen(
            ["/bin/sh", "-c", f"{command} {arguments}".strip()],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**inherited, **(environ or {})},
        )
        log.close()
        self.note(name, f"started: {arguments or 'gateway'}")

    def log_text(self, name: str) -> str:
        """Return all that a process has written."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def events(self, name: str, event: str) -> list[dict]:
        """Return the log lines of a process with this event."""
        rows = []
        for line in self.log_text(name).splitlines():
            if line.startswith("{") and line.endswith("}"):
                row = json.loads(line)
                if row.get("event") == event:
                    rows.append(row)
        return rows

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this case."""
        self.note(name, f"gets {number.name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGSTOP:
            self.stopped.add(name)
        elif number == signal.SIGCONT:
            self.stopped.discard(name)

    async def wait_for(self, what: str, condition: Callable[[], object], seconds: float = 30.0) -> None:
        """Wait until a condition is true; raise NotRunError after `seconds`."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise NotRunError(f"waited {seconds:.0f} s for {what}")
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """End all processes, and remove the folder unless KEEP is set."""
        for name in list(self.stopped):
            self.processes[name].send_signal(signal.SIGCONT)
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(6)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines()[:MAX_LOG_LINES]:
                self.record_file.write(f"log of {path.stem}: {line}\n")
        self.record_file.close()
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case: str, play: Callable[[Lab], Awaitable[bool]], seconds: float = 100.0) -> None:
    """Play a case, and exit with 0 if the rule held, 1 if it was broken and 2 if the case could not run."""
    sys.unraisablehook = lambda _: None  # connections that are open at the end
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # so that the processes are ended
    lab = Lab(case)
    code = NOT_RUN
    try:
        broken = asyncio.run(asyncio.wait_for(play(lab), seconds))
        code = BROKEN if broken else HELD
    except (NotRunError, TimeoutError) as error:
        lab.note("case", f"could not run: {error or 'too slow'}")
    except Exception:
        lab.note("case", f"could not run: {traceback.format_exc()}")
    finally:
        lab.note("case", {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
        lab.close()
    sys.exit(code)


# ---- stand-ins ---------------------------------------------------------------------------------------------


async def read_http(reader: asyncio.StreamReader) -> tuple[str, bytes] | None:
    """Read one HTTP/1.1 request and return its first line and body; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    fields = dict(line.lower().split(":", 1) for line in lines[1:] if ":" in line)
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], body


def http_response(value: object, status: str = "200 OK") -> bytes:
    """Return a complete response with a JSON body."""
    body = json.dumps(value).encode()
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Stream:
    """An endless chunked response, with one JSON object a line and a sign of life at an interval."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send(self, text: str) -> None:
        """Send one line in a chunk of its own."""
        data = text.encode() + b"\n"
        if not self.writer.is_closing():
            self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Discovery:
    """Discovery as PROTOCOL has it: the whole list at the opening of a watch, then its changes."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        self.index = 1
        self.rows: dict[str, dict] = {}
        self.streams: list[Stream] = []
        self.address = ""

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def message(self, *names: str) -> dict:
        """Return the whole list, or the entries of some instances."""
        rows = [self.rows[name] for name in names] if names else list(self.rows.values())
        return {"index": self.index, "snapshot": not names, "endpoints": rows}

    def put(self, name: str, address: str, release: int, status: str = "active", since_ms: int = 0) -> None:
        """Set an entry, and tell it to all watches."""
        self.index += 1
        self.rows[name] = {
            "name": name, "address": address, "zone": "a", "type": "m", "group": 0,
            "status": status, "weight": 1.0, "since_ms": since_ms, "release": release,
        }  # fmt: skip
        self.lab.note("discovery", f"tells {name}: release {release}, {status}")
        for stream in self.streams:
            stream.send(json.dumps(self.message(name)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if await read_http(reader) is None:
            return
        stream = Stream(writer)
        stream.send(json.dumps(self.message()))
        self.streams.append(stream)
        try:
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                stream.send("")
        finally:
            self.streams.remove(stream)


class Proxy:
    """A TCP proxy. While `holds_answers` is set, nothing passes from the server to the client.

    If `hold_after` is set, it begins to hold answers when a client sends bytes that contain it.
    """

    def __init__(self, lab: Lab, name: str, port: int) -> None:
        self.lab, self.name, self.port = lab, name, port
        self.holds_answers = False
        self.hold_after = b""
        self.clients: dict[asyncio.StreamWriter, bool] = {}  # whether one waits for an answer
        self.address = ""

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection(HOST, self.port)
        except OSError:
            writer.transport.abort()
            return
        self.clients[writer] = False
        await asyncio.gather(self._pass_requests(reader, back, writer), self._pass_answers(there, writer))
        del self.clients[writer]

    async def _pass_requests(
        self, reader: asyncio.StreamReader, back: asyncio.StreamWriter, client: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65536):
                if self.hold_after and self.hold_after in data:
                    self.holds_answers = True
                    self.lab.note(self.name, "holds the answers back from now on")
                self.clients[client] = True
                back.write(data)
        back.close()

    async def _pass_answers(self, there: asyncio.StreamReader, client: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await there.read(65536):
                while self.holds_answers and not client.is_closing():
                    await asyncio.sleep(0.01)
                client.write(data)
                self.clients[client] = False
        client.close()

    def reset(self) -> int:
        """Reset the connections of clients that wait for an answer, and return their number."""
        waiting = [client for client, waits in self.clients.items() if waits and not client.is_closing()]
        if waiting:
            self.lab.note(self.name, f"resets {len(waiting)} connection(s) under requests")
        for client in waiting:
            client.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
            )
            client.transport.abort()
        return len(waiting)


class Instance:
    """An instance as PROTOCOL has it: it answers each command after `work` seconds."""

    def __init__(self, lab: Lab, name: str, release: int, work: float = 0.005) -> None:
        self.lab, self.name, self.release, self.work = lab, name, release, work
        self.attempts: list[tuple[float, str, str]] = []  # when the last byte came, id, class
        self.address = ""

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def answer(self, key: str) -> bytes:
        """Return the answer to a command for a key."""
        value = f"{key} by {self.release}".encode()
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (words := await read_command(reader)) is not None:
                fields = dict(part.split("=", 1) for part in words[3].split(","))
                self.attempts.append((self.lab.now(), words[2], fields["c"]))
                self.lab.note(self.name, f"release {self.release} got {words[0]} id {words[2]}, {words[3]}")
                await asyncio.sleep(self.work)
                writer.write(self.answer(words[1]))
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()


async def read_command(reader: asyncio.StreamReader) -> list[str] | None:
    """Read one RESP2 command, an array of bulk strings; return None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2].decode())
    return words


async def read_answer(reader: asyncio.StreamReader) -> str:
    """Read the answer to a command and return it as text; an empty text at the end of the connection."""
    line = (await reader.readline()).decode().strip()
    if line.startswith("$") and line != "$-1":
        return (await reader.readexactly(int(line[1:]) + 2))[:-2].decode()
    return line


class Client:
    """A client that keeps connections, and opens one more when every one is busy."""

    def __init__(self, lab: Lab, port: int) -> None:
        self.lab, self.port, self.number, self.idle = lab, port, 0, []
        self.answers: dict[str, tuple[float, str]] = {}
        self.sent: dict[str, float] = {}

    async def ping(self) -> bool:
        """Return whether the gateway answers PING."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        answer = await reader.readline()
        writer.close()
        return answer == b"+PONG\r\n"

    async def request(self, command: str, method: str, deadline_ms: int) -> str:
        """Send one request and return its answer."""
        self.number += 1
        request = f"r{self.number:05d}"
        reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(HOST, self.port)
        words = [command, f"key{self.number}", request, f"c={method},d={deadline_ms}"]
        writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word.encode()) for word in words))
        self.sent[request] = self.lab.now()
        try:
            answer = await asyncio.wait_for(read_answer(reader), deadline_ms / 1000 + 0.6)
        except (OSError, TimeoutError):
            answer = ""
        self.answers[request] = (self.lab.now(), answer)
        self.lab.note("client", f"{request} {method}: {answer or 'no answer'}")
        if answer:
            self.idle.append((reader, writer))
        else:
            writer.close()
        return answer
