"""Gateways of a fleet are restarted one after another; the second one waits for its turn and is killed."""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import suppress
from pathlib import Path
from random import Random

from standins.case import LOOPBACK, Case, play
from standins.platform import ControlPlane, configuration, endpoint
from standins.resp2 import Command, Instance, encode, read_answer

GATEWAYS = [f"g{number}" for number in range(1, 11)]
ACCEPTORS = GATEWAYS[:3]
WITH_CLIENTS = ["g4", "g5"]
LONGEST_DEADLINE = 3.0  # seconds
KILL = LONGEST_DEADLINE + 0.7 + 0.1  # seconds from SIGTERM to SIGKILL
LAST_TAKEN = 0.7  # seconds after SIGTERM; what came later and is unanswered at SIGKILL is lost
BETWEEN = 5.0  # seconds between two restarts
CLIENTS = 8  # connections to each gateway

SETTINGS = """<linenbridge xmlns="urn:linenbridge:premises:1">
  <processor listen="127.0.0.1:{port}">
    <tickets use-within="100ms" remember="10m"/>
    <partner name="desk" address="127.0.0.0/8" ours="true" attempts="3" fail-open="false"/>
    <routes><![CDATA[
route quotes {{ when path starts "/v1/quotes" and verb is "GET" method "price-quote"
  tenant header("x-tenant") else "none" deadline 3s }}
    ]]></routes>
  </processor>
  <fleet member="{member}" listen="{listen}" store="{store}">{others}
    <quorum generation="1">{acceptors}</quorum>
    <restarts/>
  </fleet>
</linenbridge>
"""


class Clients:
    """The clients of one gateway, each on a connection of its own that it keeps while it stays open."""

    def __init__(self, case: Case, gateway: str, port: int) -> None:
        self.case = case
        self.gateway = gateway
        self.port = port
        self.random = Random(gateway)
        self.terminated_at: float | None = None
        self.killed_at: float | None = None
        self.taken = 0
        self.lost: list[str] = []

    async def client(self, number: int) -> None:
        """Send one request after another until the gateway is gone."""
        while self.terminated_at is None:
            with suppress(OSError):
                await self.connection(number)
            await asyncio.sleep(0.05)

    async def connection(self, number: int) -> None:
        """Send requests on one connection until it ends."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        try:
            while True:
                await asyncio.sleep(self.random.expovariate(3.0))
                if reader.at_eof():
                    return
                self.taken += 1
                name = f"{self.gateway}-{number}-{self.taken}"
                sent = self.case.now()
                await self.request(reader, writer, name, sent)
        finally:
            writer.close()

    async def request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str, sent: float
    ) -> None:
        """Send one request and record its answer; note it as lost if SIGKILL found it unanswered."""
        fields = b"c=price-quote,t=t1,d=%d" % int(LONGEST_DEADLINE * 1000)
        self.case.record(f"{name} sent")
        writer.write(encode(b"SVC.QUERY", b"k", name.encode(), fields))
        try:
            answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            since = "" if self.terminated_at is None else f"{sent - self.terminated_at:.3f}"
            self.case.record(f"{name} got no answer; sent {since} s after SIGTERM")
            late = self.terminated_at is not None and sent > self.terminated_at + LAST_TAKEN
            if late and self.killed_at is not None and sent < self.killed_at - 0.05:
                self.lost.append(name)
            raise
        self.case.record(f"{name} answered {answer.decode()}")


def write_files(
    case: Case, plane: ControlPlane, members: dict[str, int], discovery: int, platform: int
) -> None:
    """Write the settings and the configuration of each gateway."""
    profiles: list[dict[str, object]] = [
        {
            "name": "price-quote",
            "aim": 1.0,
            "give_up": LONGEST_DEADLINE,
            "worth": 3.0,
            "idempotency": "repeatable",
        }
    ]
    for member in GATEWAYS:
        others = "".join(
            f'<member name="{other}" address="{LOOPBACK}:{port}"/>'
            for other, port in members.items()
            if other != member
        )
        acceptors = "".join(f'<acceptor name="{name}"/>' for name in ACCEPTORS)
        (case.work / f"{member}.xml").write_text(
            SETTINGS.format(
                port=case.free_port(),
                member=member,
                listen=f"{LOOPBACK}:{members[member]}",
                store=case.work / f"{member}.db",
                others=others,
                acceptors=acceptors,
            )
        )
        listen = case.free_port()
        config = configuration(plane, listen, discovery, platform, profiles)
        (case.work / f"{member}.json").write_text(json.dumps(config))


def listening_port(case: Case, member: str) -> int:
    """Return the port on which a gateway serves clients."""
    config = json.loads((case.work / f"{member}.json").read_text())
    return int(config["listen"].rpartition(":")[2])


async def restart(case: Case, gateway: str, clients: Clients) -> None:
    """Restart a gateway as planned: SIGTERM, SIGKILL after the time of the protocol page, a new start."""
    case.signal(gateway, signal.SIGTERM)
    clients.terminated_at = case.now()
    await asyncio.sleep(KILL)
    if case.processes[gateway].poll() is None:
        clients.killed_at = case.now()
        case.signal(gateway, signal.SIGKILL)
    await asyncio.sleep(0.3)
    case.start(
        gateway,
        "serve",
        "--settings",
        f"{case.work}/{gateway}.xml",
        "--config",
        f"{case.work}/{gateway}.json",
    )


async def body(case: Case) -> bool:
    """Play the restarts; return whether SIGKILL found requests unanswered that came late."""

    async def work(_command: Command) -> None:
        await asyncio.sleep(0.15)

    ports = [case.free_port() for _ in range(6)]
    for port in ports:
        await asyncio.start_server(Instance(work).serve, LOOPBACK, port)
    plane = ControlPlane([endpoint(f"node{port}", f"{LOOPBACK}:{port}") for port in ports])
    discovery, platform = case.free_port(), case.free_port()
    await plane.open(discovery, platform)
    members = {member: case.free_port() for member in GATEWAYS}
    write_files(case, plane, members, discovery, platform)
    for member in GATEWAYS:
        files = f"{case.work}/{member}"
        case.start(member, "serve", "--settings", f"{files}.xml", "--config", f"{files}.json")
    for member in GATEWAYS:
        await case.wait_for(f"{member} starts", lambda name=member: case.lines(name, "started"), 40.0)
    for member in ACCEPTORS:
        await case.wait_for(
            f"{member} grants leases", lambda name=member: case.lines(name, "acceptor.recovered"), 40.0
        )
    all_clients = {name: Clients(case, name, listening_port(case, name)) for name in WITH_CLIENTS}
    tasks = [
        asyncio.create_task(clients.client(number))
        for clients in all_clients.values()
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(3.0)
    restarts = []
    for gateway, clients in all_clients.items():
        if case.trouble:
            restarts.append(asyncio.create_task(restart(case, gateway, clients)))
        await asyncio.sleep(BETWEEN)
    await asyncio.sleep(3.0)
    await asyncio.gather(*restarts)
    for task in tasks:
        task.cancel()
    lost = [name for clients in all_clients.values() for name in clients.lost]
    case.record(f"{sum(one.taken for one in all_clients.values())} requests, lost at SIGKILL: {lost}")
    return bool(lost)


play(Path(__file__).parent, body)
