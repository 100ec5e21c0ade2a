"""Bad clients send hundreds of commands at once; the usual clients' requests are counted."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from random import Random

from standins.case import LOOPBACK, ROOT, Case, play
from standins.platform import ControlPlane, configuration, endpoint
from standins.resp2 import Command, Instance, encode, read_answer

WAIT = 0.45  # seconds; of a usual client
SLACK = 0.5  # seconds after a client's time in which an answer only earns nothing
RATE = 40.0  # requests of usual clients a second
BAD_CLIENTS = 20
COMMANDS = 900  # at once
SECONDS = 20
NODES = 4


class Usual:
    """The usual clients: they keep their connections and open more when every one is busy."""

    def __init__(self, case: Case, port: int) -> None:
        self.case = case
        self.port = port
        self.free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.count = 0
        self.results: dict[str, int] = {}

    def note(self, name: str, result: str, after: float) -> None:
        """Count and record how a request ended."""
        self.results[result] = self.results.get(result, 0) + 1
        self.case.record(f"{name} {result} after {after:.3f} s")

    async def request(self) -> None:
        """Send one request and note its answer."""
        self.count += 1
        name = f"u{self.count}"
        sent = self.case.now()
        try:
            if self.free:
                reader, writer = self.free.pop()
            else:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
            sent = self.case.now()
            writer.write(
                encode(b"SVC.QUERY", b"k", name.encode(), b"c=price-quote,t=t1,d=%d" % (WAIT * 1000))
            )
            answer = await asyncio.wait_for(read_answer(reader), WAIT + SLACK + 4.0)
        except TimeoutError:
            self.note(name, "lost: no answer", WAIT + SLACK + 4.0)
            return
        except (OSError, asyncio.IncompleteReadError) as error:
            self.note(name, f"connection ended: {type(error).__name__}", self.case.now() - sent)
            return
        after = self.case.now() - sent
        kind = "served" if answer.startswith(b"value") else answer[:5].decode()
        self.note(name, f"lost: {kind} too late" if after > WAIT + SLACK else kind, after)
        self.free.append((reader, writer))


async def watch_lag(case: Case, lags: list[float]) -> None:
    """Note how late this script's own loop is, which no answer can be blamed for."""
    while True:
        due = case.now() + 0.01
        await asyncio.sleep(0.01)
        lags.append(case.now() - due)


async def body(case: Case) -> bool:
    """Play the flood; return whether a usual client's request was lost."""

    async def work(_command: Command) -> None:
        await asyncio.sleep(0.01)

    ports = [case.free_port() for _ in range(NODES)]
    for port in ports:
        await asyncio.start_server(Instance(work).serve, LOOPBACK, port)
    plane = ControlPlane([endpoint(f"node{port}", f"{LOOPBACK}:{port}") for port in ports])
    discovery, platform, listen = (case.free_port() for _ in range(3))
    await plane.open(discovery, platform)
    profiles: list[dict[str, object]] = [
        {"name": "price-quote", "aim": 0.15, "give_up": WAIT, "worth": 3.0, "idempotency": "repeatable"}
    ]
    path = case.work / "config.json"
    path.write_text(json.dumps(configuration(plane, listen, discovery, platform, profiles)))
    case.start("gateway", environ={"LB_CONFIG": str(path)})
    await case.wait_for("the gateway starts", lambda: case.lines("gateway", "started"), 30.0)
    usual = Usual(case, listen)
    lags: list[float] = []
    lag_watch = asyncio.create_task(watch_lag(case, lags))
    random = Random(6)
    tasks = []
    begin = case.now()
    flooded = False
    while case.now() < begin + SECONDS + 6:
        if case.trouble and not flooded and case.now() > begin + 3:
            flooded = True
            case.record("the bad clients begin")
            arguments = [str(one) for one in (listen, BAD_CLIENTS, COMMANDS, SECONDS - 3)]
            case.processes["rude"] = subprocess.Popen(
                [sys.executable, "-m", "standins.rude", *arguments], cwd=ROOT / "review"
            )
        tasks.append(asyncio.create_task(usual.request()))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.sleep(WAIT + SLACK + 4.5)
    lag_watch.cancel()
    case.record(f"this script's loop was {max(lags):.3f} s late at most")
    case.record(f"{usual.count} requests of usual clients: {usual.results}")
    return any(result.startswith("lost") for result in usual.results)


play(Path(__file__).parent, body)
