"""A soak of one gateway process on loopback: seeded clients, instances, signals, clock steps and hold-ups.

Run by hand: `python -m tests.net.soak --seeds 50 --first 1`. What is checked comes from the records of the
clients and instances alone: each request that a client sent on a connection got one whole response in time,
or its connection had ended before, and no request with an effect was executed twice.
"""

from __future__ import annotations

import argparse
import collections
import contextlib
import signal
import socket
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tests.net.loopback import GatewayProcess, PeerClosedError, request_command, value_reply

KILL_AFTER = 2.7  # seconds from SIGTERM: the longest deadline of the settings, 2 s, and 0.7 s
DURATION = 2.0  # seconds before SIGTERM
GRACE = 0.5  # seconds after its deadline in which a response only earns nothing
CROSSING = 0.002  # seconds; a request sent this shortly before the end of its connection has crossed it
HOLD_UP = 0.15  # seconds
STEP = """
import time
wall, wall_ns, at = time.time, time.time_ns, time.monotonic() + {after}
time.time = lambda: wall() + ({step} if time.monotonic() > at else 0)
time.time_ns = lambda: wall_ns() + (int({step} * 1e9) if time.monotonic() > at else 0)
"""
FAILING_ACCEPT = """
import errno, random, socket
accept, rng = socket.socket.accept, random.Random({seed})
def failing_accept(listener):
    if rng.random() < 0.2:
        number = rng.choice([errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE, errno.EPROTO])
        raise OSError(number, "injected")
    return accept(listener)
socket.socket.accept = failing_accept
"""


@dataclass
class Sent:
    """One request as its client saw it; times are seconds of the monotonic clock."""

    rpc_id: str
    method: str
    sent_at: float
    wait: float
    due_from: float = 0.0  # when it was sent, or when the response before it came; PROTOCOL, Figures
    answered_at: float | None = None
    ended_at: float | None = None


@dataclass
class Records:
    """What clients and instances have recorded."""

    sent: list[Sent] = field(default_factory=list)
    executed: collections.Counter = field(default_factory=collections.Counter)

    def violations(self) -> list[str]:
        """Return what broke a rule."""
        found = []
        for request in self.sent:
            if request.answered_at is not None:
                if request.answered_at > request.due_from + request.wait + GRACE:
                    found.append(f"{request.rpc_id} answered late: {request}")
            elif request.ended_at is None:
                found.append(f"{request.rpc_id} has no response: {request}")
            elif request.ended_at - request.sent_at > CROSSING:
                found.append(f"{request.rpc_id} lost with its connection: {request}")
        found += [f"{rpc_id} executed {n} times" for rpc_id, n in self.executed.items() if n > 1]
        return found


class Instances(threading.Thread):
    """Answers attempts after a random time, some never; closes some connections instead."""

    def __init__(self, listener: socket.socket, records: Records, rng: Random, hangs: bool) -> None:
        super().__init__(daemon=True)
        self.listener, self.records, self.rng, self.hangs = listener, records, rng, hangs

    def run(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(accepted, self.rng.random()), daemon=True).start()

    def _serve(self, accepted: socket.socket, seed: float) -> None:
        from tests.net.loopback import Connection

        connection, rng = Connection(accepted), Random(seed)
        accepted.settimeout(30)
        with contextlib.suppress(PeerClosedError, OSError, ValueError):
            while command := connection.read_command():
                if command[0] == b"SVC.SUBMIT":
                    self.records.executed[command[2].decode()] += 1
                fault = rng.random()
                if self.hangs and fault < 0.3:
                    time.sleep(20)
                if fault < 0.02:
                    connection.reset()
                    return
                time.sleep(rng.choice([0.0, 0.001, 0.01, 0.1]))
                connection.send(value_reply(command[2]))


class Client(threading.Thread):
    """Uses its connections until the process is gone; opens another when one has ended."""

    def __init__(self, port: int, records: Records, rng: Random, name: str, asks_once: bool) -> None:
        super().__init__(daemon=True, name=name)
        self.port, self.records, self.rng, self.asks_once = port, records, rng, asks_once
        self.until = float("inf")
        self.kept: list[socket.socket] = []

    def run(self) -> None:
        number = 0
        while time.monotonic() < self.until:
            try:
                sock = socket.create_connection(("127.0.0.1", self.port), 1)
            except OSError:
                time.sleep(0.02)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for _ in range(1 if self.asks_once else 10_000):
                depth = self.rng.choice([1, 1, 1, 2, 3])
                batch = []
                for _ in range(depth):
                    number += 1
                    batch.append(self._request(f"{self.name}.{number}"))
                if not self._exchange(sock, batch) or time.monotonic() > self.until:
                    break
                time.sleep(self.rng.choice([0.0, 0.0, 0.01, 0.05, 0.3]))
            self.kept.append(sock)  # Clients that ask once keep their connection.
            if len(self.kept) > 30 or not self.asks_once:
                self.kept.pop(0).close()

    def _request(self, rpc_id: str) -> Sent:
        method = self.rng.choice(["look", "look", "book"])
        return Sent(rpc_id, method, 0.0, self.rng.choice([0.3, 0.8, 1.5]))

    def _exchange(self, sock: socket.socket, batch: list[Sent]) -> bool:
        """Send the batch, in pieces at times, and read its responses; return whether the connection lives."""
        if not self._send(sock, batch):
            return False
        self.records.sent.extend(batch)
        due_from, buffer = batch[0].sent_at, b""
        for number, request in enumerate(batch):
            request.due_from = due_from
            while (end := reply_end(buffer)) is None:
                received = self._receive(sock, due_from + request.wait + GRACE + 1)
                if not received:
                    for unanswered in batch[number:]:
                        unanswered.ended_at = time.monotonic() if received is not None else None
                    return False
                buffer += received
            buffer = buffer[end:]
            due_from = request.answered_at = time.monotonic()
        return True

    def _send(self, sock: socket.socket, batch: list[Sent]) -> bool:
        data = b"".join(
            request_command(request.rpc_id, request.method, int(request.wait * 1000)) for request in batch
        )
        cut = self.rng.randrange(len(data)) if self.rng.random() < 0.1 else 0
        try:
            if cut:
                sock.sendall(data[:cut])
                time.sleep(0.03)
            sock.sendall(data[cut:])
        except OSError:
            return False
        for request in batch:
            request.sent_at = time.monotonic()
        return True

    def _receive(self, sock: socket.socket, until: float) -> bytes | None:
        """Return what arrives next: nothing for the end of the connection, None if time is up."""
        sock.settimeout(0.1)
        while time.monotonic() < until:
            try:
                return sock.recv(1 << 16)
            except TimeoutError:
                continue
            except OSError:
                return b""
        return None


def reply_end(buffer: bytes) -> int | None:
    """Return the length of the first whole response in the buffer, None if it is incomplete."""
    line_end = buffer.find(b"\r\n")
    if line_end < 0:
        return None
    if not buffer.startswith(b"$"):
        return line_end + 2
    end = line_end + 2 + int(buffer[1:line_end]) + 2
    return end if len(buffer) >= end else None


def crowd(port: int, rng: Random, until: float) -> None:
    """Open connections that send nothing, or half a command, and stay."""
    kept = []
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            sock = socket.create_connection(("127.0.0.1", port), 0.2)
            if rng.random() < 0.5:
                sock.send(request_command("half")[: rng.randrange(1, 20)])
            kept.append(sock)
        time.sleep(0.01)
        if len(kept) > 100:
            kept.pop(0).close()


@dataclass
class Plan:
    """What a seed draws."""

    shims: str
    sockets: int
    has_crowd: bool
    hangs: bool


def draw(seed: int, rng: Random) -> Plan:
    """Draw the faults of a seed."""
    shims = ""
    if rng.random() < 0.5:
        shims += STEP.format(after=rng.uniform(0.5, 3), step=rng.choice([-3600, -3, 3, 3600]))
    if rng.random() < 0.5:
        shims += FAILING_ACCEPT.format(seed=seed)
    return Plan(shims, rng.choice([128, 1024]), rng.random() < 0.4, rng.random() < 0.3)


def play(seed: int) -> list[str]:
    """Play one seed; return the violations found."""
    rng, records = Random(seed), Records()
    plan = draw(seed, rng)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": plan.sockets}
    with (
        tempfile.TemporaryDirectory() as folder,
        GatewayProcess(Path(folder), before=plan.shims, limits=limits) as gateway,
    ):
        gateway.instance.listener.settimeout(None)
        gateway.instance.listener.listen(500)
        Instances(gateway.instance.listener, records, Random(seed + 1), plan.hangs).start()
        gateway.wait_for_event("started")
        clients = start_clients(gateway.port, records, seed, plan)
        began = time.monotonic()
        while time.monotonic() < began + DURATION:
            time.sleep(rng.uniform(0.05, 0.4))
            _disturb(gateway, rng)
        was_killed = stop(gateway, rng)
        for client in clients:
            client.until = 0.0
        gateway.process.kill()
        for client in clients:
            client.join(5)
        violations = records.violations()
        if was_killed:
            violations.append("the process had not ended at the earliest kill")
        violations += [f"logged: {event}" for event in gateway.events if event["event"] == "failed"]
        crossed = sum(event.get("source") == "crossed" for event in gateway.events)
    print(
        f"seed {seed}: {len(records.sent)} requests, {len(violations)} violations, crossed {crossed}, {plan}"
    )
    return violations


def start_clients(port: int, records: Records, seed: int, plan: Plan) -> list[Client]:
    """Start the clients of a plan, and its crowd."""
    clients = [
        Client(port, records, Random(seed * 1000 + n), f"c{n}", n % 4 == 0 and plan.has_crowd)
        for n in range(20)
    ]
    for client in clients:
        client.start()
    if plan.has_crowd:
        until = time.monotonic() + DURATION + KILL_AFTER
        threading.Thread(target=crowd, args=(port, Random(seed + 2), until), daemon=True).start()
    return clients


def stop(gateway: GatewayProcess, rng: Random) -> bool:
    """Stop the process, disturb its stop, and return whether it has not ended at the earliest kill."""
    stopped = gateway.signal(signal.SIGTERM)
    while gateway.process.poll() is None and time.monotonic() < stopped + KILL_AFTER:
        time.sleep(rng.uniform(0.02, 0.3))
        if time.monotonic() < stopped + KILL_AFTER - 0.4:
            _disturb(gateway, rng, signal.SIGTERM)
    return gateway.process.poll() is None


def _disturb(gateway: GatewayProcess, rng: Random, *more: int) -> None:
    """Hold the process up, or send it a series of signals."""
    if gateway.process.poll() is not None:
        return
    if rng.random() < 0.3:
        gateway.signal(signal.SIGSTOP)
        time.sleep(HOLD_UP)
        gateway.signal(signal.SIGCONT)
    for _ in range(rng.randrange(3)):
        gateway.signal(rng.choice([signal.SIGHUP, signal.SIGUSR1, *more]))


def main() -> int:
    """Play the seeds that the command line asks for; return 1 if any rule was broken."""
    sys.setswitchinterval(0.0005)  # seconds; so that clients notice an end soon
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    options = parser.parse_args()
    failed = {}
    for seed in range(options.first, options.first + options.seeds):
        if violations := play(seed):
            failed[seed] = violations
            print("\n".join(violations[:5]), flush=True)
    print(f"{options.seeds} seeds played, {len(failed)} failed: {sorted(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
