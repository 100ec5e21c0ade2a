"""One of five instances falls silent behind a proxy; the proxy reports its time-outs to the processor."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random

from standins import proxy
from standins.case import LOOPBACK, Case, play
from standins.platform import ControlPlane, configuration, endpoint

NODES = 5
DEADLINE = 4.0  # seconds; of a client
SLACK = 0.5  # seconds after a client's time in which an answer only earns nothing
TRY_TIMEOUT = 0.9  # seconds; of one attempt at the proxy
ATTEMPTS = 3  # of the proxy for one request
RATE = 60.0  # requests a second
WORK = 0.04  # seconds; mean of an instance
BEFORE, SILENT, AFTER = 6.0, 6.0, 2.0  # seconds
ENDPOINT, AGAIN = "x-gateway-destination-endpoint", "x-linenbridge-again"
OK, TIMED_OUT = 200, 504

SETTINGS = """<linenbridge xmlns="urn:linenbridge:premises:1">
  <processor listen="127.0.0.1:{port}">
    <tickets use-within="100ms" remember="10m"/>
    <partner name="desk" address="127.0.0.0/8" ours="true" attempts="3" fail-open="false"/>
    <routes><![CDATA[
route quotes {{ when path starts "/v1/quotes" and verb is "GET" method "price-quote"
  tenant header("x-tenant") else "none" deadline 4s }}
    ]]></routes>
  </processor>
</linenbridge>
"""


class World:
    """The instances behind the proxy, and the proxy's requests with their final answers."""

    def __init__(self, case: Case, link: proxy.ProcessorLink, addresses: dict[str, str]) -> None:
        self.case = case
        self.link = link
        self.addresses = addresses
        self.silent_until: dict[str, float] = {}
        self.random = Random(5)
        self.answers: dict[str, tuple[float, str]] = {}
        self.sent: dict[str, float] = {}
        self.waits: dict[str, str] = {}

    async def upstream(self, address: str) -> int:
        """Send a request to an instance; return its status, or that of the proxy's time-out."""
        now = self.case.now()
        silent_for = self.silent_until.get(self.addresses[address], 0.0) - now
        work = self.random.uniform(0.5, 1.5) * WORK + max(0.0, silent_for)
        await asyncio.sleep(min(work, TRY_TIMEOUT))
        return OK if work <= TRY_TIMEOUT else TIMED_OUT

    async def request(self, name: str) -> None:
        """Play one request of a client, with all attempts of the proxy."""
        self.sent[name] = self.case.now()
        self.case.record(f"{name} taken")
        for attempt in range(1, ATTEMPTS + 1):
            again = await self.attempt(name, attempt)
            if not again:
                return
        self.answer(name, "failed: no attempts left")

    def answer(self, name: str, text: str) -> None:
        """Note a client's final answer."""
        self.answers.setdefault(name, (self.case.now(), text))
        self.case.record(f"{name} answered {text}")

    async def attempt(self, name: str, attempt: int) -> bool:
        """Play one attempt; return whether the processor asks for another one."""
        stream = self.link.open()
        self.waits[name] = f"the decision on attempt {attempt}"
        self.link.send(stream, proxy.request_headers(name, attempt, "GET", "/v1/quotes/a"))
        decision = await stream.answers.get()
        if decision is None or decision.WhichOneof("response") == "immediate_response":
            code = "no answer" if decision is None else str(decision.immediate_response.status.code)
            self.answer(name, f"{code} by the processor")
            return False
        address = proxy.set_headers(decision.request_headers.response)[ENDPOINT]
        self.case.record(f"{name} attempt {attempt} sent to {self.addresses[address]}")
        status = await self.upstream(address)
        self.case.record(f"{name} attempt {attempt} status {status}, reported")
        self.waits[name] = f"the answer to the report {status} of attempt {attempt}"
        self.link.send(stream, proxy.response_headers(status))
        acknowledged = await stream.answers.get()
        self.link.half_close(stream)
        headers = {} if acknowledged is None else proxy.set_headers(acknowledged.response_headers.response)
        if status != OK and AGAIN in headers and attempt < ATTEMPTS:
            return True
        self.answer(name, str(status))
        return False


async def body(case: Case) -> bool:
    """Play the day; return whether a request that was taken got no answer."""
    ports = [case.free_port() for _ in range(NODES)]
    addresses = {f"{LOOPBACK}:{port}": f"node{number}" for number, port in enumerate(ports)}
    plane = ControlPlane([endpoint(name, address) for address, name in addresses.items()])
    discovery, platform, listen, port = (case.free_port() for _ in range(4))
    await plane.open(discovery, platform)
    profiles: list[dict[str, object]] = [
        {"name": "price-quote", "aim": 1.0, "give_up": DEADLINE, "worth": 3.0, "idempotency": "repeatable"}
    ]
    config, settings = case.work / "config.json", case.work / "settings.xml"
    config.write_text(json.dumps(configuration(plane, listen, discovery, platform, profiles)))
    settings.write_text(SETTINGS.format(port=port))
    case.start("processor", "processor", "--settings", str(settings), "--config", str(config))
    await case.wait_for("the processor listens", lambda: case.lines("processor", "started"), 30.0)
    await asyncio.sleep(0.5)
    world = World(case, await proxy.connect(port), addresses)
    tasks = []
    begin = case.now()
    fell_silent = False
    while case.now() < begin + BEFORE + SILENT + AFTER:
        if case.trouble and not fell_silent and case.now() > begin + BEFORE:
            fell_silent = True
            world.silent_until["node0"] = case.now() + SILENT
            case.record(f"node0 is silent for {SILENT} s")
        tasks.append(asyncio.create_task(world.request(f"r{len(tasks)}")))
        await asyncio.sleep(world.random.expovariate(RATE))
    await asyncio.sleep(DEADLINE + SLACK + 0.5)
    lost = [
        name
        for name, sent in world.sent.items()
        if name not in world.answers or world.answers[name][0] > sent + DEADLINE + SLACK
    ]
    for name in lost:
        case.record(f"lost: {name}, taken at {world.sent[name]:.3f}, waits for {world.waits[name]}")
    case.record(f"{len(world.sent)} requests, {len(lost)} lost")
    for task in tasks:
        task.cancel()
    return bool(lost)


play(Path(__file__).parent, body)
