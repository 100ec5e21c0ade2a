"""A gateway in its own process on loopback; the test controls the fake servers and clients byte by byte.

Provides the process and the sockets. What is asserted is up to each test; every wait has a time limit.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path

import linenbridge
from linenbridge.net import resp
from tests.net.bench import HEAD as HEAD

ROOT = Path(linenbridge.__file__).parents[1]
STEP_TIMEOUT = 10.0  # seconds; the limit of every single wait in a test


class PeerClosedError(Exception):
    """The peer has ended its sending."""


class Connection:
    """The test's end of one connection; it sends and reads only when the test calls for it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""
        sock.settimeout(STEP_TIMEOUT)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read_until(self, end: bytes) -> bytes:
        while end not in self.buffer:
            data = self.sock.recv(1 << 16)
            if not data:
                raise PeerClosedError(self.buffer)
            self.buffer += data
        received, _, self.buffer = self.buffer.partition(end)
        return received + end

    def read_reply(self) -> bytes:
        """Read one complete response of the gateway."""
        reply = self.read_until(b"\r\n")
        return reply + self.read_until(b"\r\n") if reply.startswith(b"$") else reply

    def read_to_end(self) -> bytes:
        """Read everything until the peer ends its sending; a reset fails the test."""
        while data := self.sock.recv(1 << 16):
            self.buffer += data
        received, self.buffer = self.buffer, b""
        return received

    def read_command(self) -> list[bytes]:
        """Read one complete RESP command and return its arguments."""
        argument_count = int(self.read_until(b"\r\n")[1:-2])
        arguments = []
        for _ in range(argument_count):
            size = int(self.read_until(b"\r\n")[1:-2])
            while len(self.buffer) < size + 2:
                if not (data := self.sock.recv(1 << 16)):
                    raise PeerClosedError(self.buffer)
                self.buffer += data
            arguments.append(self.buffer[:size])
            self.buffer = self.buffer[size + 2 :]
        return arguments

    def receives_nothing(self, seconds: float) -> bool:
        """Return whether neither data nor the end of the connection arrives within that time."""
        self.sock.settimeout(seconds)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) is None
        except TimeoutError:
            return True
        finally:
            self.sock.settimeout(STEP_TIMEOUT)

    def send_chunk(self, value: object) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode() + b"\n"
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def close(self) -> None:
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class FakeServer:
    """A fake server's listener; the test accepts each connection."""

    def __init__(self, backlog: int = 50) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.listener.settimeout(STEP_TIMEOUT)
        self.address = "{}:{}".format(*self.listener.getsockname())

    def accept(self) -> Connection:
        return Connection(self.listener.accept()[0])

    def reply_to_all(self, value: bytes) -> None:
        """Accept all connections from now on, and respond to each command with this value at once."""

        def serve(connection: Connection) -> None:
            with contextlib.suppress(PeerClosedError, OSError):
                while connection.read_command():
                    connection.send(value_reply(value))

        def accept_all() -> None:
            with contextlib.suppress(OSError):
                while True:
                    threading.Thread(target=serve, args=(self.accept(),), daemon=True).start()

        threading.Thread(target=accept_all, daemon=True).start()

    def receives_no_connection(self, seconds: float) -> bool:
        self.listener.settimeout(seconds)
        try:
            self.listener.accept()[0].close()
            return False
        except TimeoutError:
            return True
        finally:
            self.listener.settimeout(STEP_TIMEOUT)

    def close(self) -> None:
        self.listener.close()


class GatewayProcess:
    """A gateway process, with a fake instance, a fake discovery and a fake platform.

    With `known` the configuration lists the instance; with `answer_watch` discovery responds to the watch
    request with a keepalive. The code in `before` runs in the process before the gateway starts, and
    `permissions` override those of the settings. With an XML text in `settings` the process is that of
    `linenbridge serve`.
    """

    def __init__(
        self,
        folder: Path,
        known: bool = True,
        answer_watch: bool = True,
        before: str = "",
        limits: dict | None = None,
        settings: str = "",
        **permissions: object,
    ) -> None:
        # Stays bound, so that no other connection is given the port before the gateway listens.
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind(("127.0.0.1", 0))
        self.port = self.reservation.getsockname()[1]
        self.instance, self.discovery, self.platform = FakeServer(), FakeServer(), FakeServer()
        configuration = json.loads((ROOT / "examples" / "config.json").read_text())
        configuration |= {"listen": f"127.0.0.1:{self.port}", "discovery": self.discovery.address}
        configuration["platform"]["address"] = self.platform.address
        configuration["limits"] = limits or configuration["limits"]
        configuration["known"]["endpoints"] = [self.row()] if known else []
        configuration["settings"]["permissions"] |= permissions
        self.configuration, self.path = configuration, folder / "config.json"
        self.write_configuration()
        self.events: list[dict] = []
        self.changed = threading.Condition()
        arguments = [
            sys.executable,
            "-c",
            f"{before}\nimport sys, linenbridge.__main__ as m\nsys.exit(m.main())",
        ]
        if settings:
            (folder / "settings.xml").write_text(settings)
            files = ["--settings", str(folder / "settings.xml"), "--config", str(self.path)]
            arguments = [sys.executable, "-m", "linenbridge", "serve", *files]
        self.process = subprocess.Popen(
            arguments,
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**os.environ, "LB_CONFIG": str(self.path)},
        )
        self.reader = threading.Thread(target=self._read_events, daemon=True)
        self.reader.start()
        self.watch = self.discovery.accept()
        if answer_watch:
            self.watch.send(HEAD)
            self.watch.send_chunk(b"\n")

    def row(self, **fields: object) -> dict:
        return {"name": "s-1", "address": self.instance.address, "status": "active", "release": 1, **fields}

    def write_configuration(self, **fields: object) -> None:
        self.path.write_text(json.dumps(self.configuration | fields))

    def _read_events(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self.changed:
                self.events.append(json.loads(line) if line.startswith(b"{") else {"event": line.decode()})
                self.changed.notify_all()

    def wait_for_event(self, name: str) -> dict:
        """Return the first log line of that event; wait until it has been written."""
        with self.changed:
            assert self.changed.wait_for(
                lambda: any(e["event"] == name for e in self.events), STEP_TIMEOUT
            ), self.events
            return next(e for e in self.events if e["event"] == name)

    def counters(self) -> dict:
        """Make the gateway log its counters now, and return them."""
        event_count = len(self.events)
        self.signal(signal.SIGUSR1)
        with self.changed:
            assert self.changed.wait_for(
                lambda: any(e["event"] == "counters" for e in self.events[event_count:]), STEP_TIMEOUT
            )
            return next(e for e in self.events[event_count:] if e["event"] == "counters")

    def connect_client(self, buffer: int = 0) -> Connection:
        """Open a client connection once the gateway listens, with a receive buffer of `buffer` bytes."""
        self.wait_for_event("started")
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.connect(("127.0.0.1", self.port))
        return Connection(sock)

    def signal(self, number: int) -> float:
        self.process.send_signal(number)
        return time.monotonic()

    def wait_for_exit(self) -> int:
        code = self.process.wait(STEP_TIMEOUT)
        self.reader.join(STEP_TIMEOUT)
        return code

    def __enter__(self) -> GatewayProcess:
        return self

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.reader.join(STEP_TIMEOUT)
        self.process.stderr.close()
        for server in (self.instance, self.discovery, self.platform):
            server.close()
        self.reservation.close()


def request_command(rpc_id: str, method: str = "look", wait: int = 1900) -> bytes:
    command_name = b"SVC.QUERY" if method == "look" else b"SVC.SUBMIT"
    return resp.command([command_name, b"key", rpc_id.encode(), f"c={method},d={wait}".encode()])


PING = resp.command([b"PING"])


def value_reply(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
