# ruff: noqa: D103, E501  # settings stand on a line each; figures are the case's own
"""Case 8: after its connections were reset for some seconds, a gateway turns all requests away for good."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

from lab import (
    HOST,
    TROUBLE,
    Client,
    Discovery,
    Instance,
    Lab,
    Proxy,
    Stream,
    free_ports,
    http_response,
    read_http,
    run_case,
)

STAGE = {"version": 41, "step": 2, "status": "live", "maxWeight": 1.0, "observedAgoMs": 60000}
INSTANCES, REQUESTS_PER_SECOND = 5, 20
CALM, RESETS, AFTER = 4.0, 6.0, 30.0  # seconds; STANDING, split+mass: 6 s


def configuration(port: int, discovery: Discovery, platform: str) -> dict:
    """Return a gateway's configuration: WIRE's example, for a service with one method that must not run twice."""
    return {
        "name": "n1", "listen": f"{HOST}:{port}", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "platform": {"address": platform, "news": STAGE}, "known": discovery.message(),
        "settings": {
            "discovery": "push", "balancers": 3, "slot_no": 0, "over_share_worth": 0.1, "value_by": "work",
            "profiles": [
                {"name": "book-confirm", "aim": 0.75, "give_up": 3.0, "worth": 5.0, "idempotency": "once"},
            ],
            "family_info": {
                "gate_mode": "share", "style": "beside", "shares": [0.1, 0.35, 1.0], "caps": [0.12, 0.42, 1.0],
                "closed_stages": 1, "per": "all", "spare_tries": 3.0, "forward_only": False, "vote_stands": 6.0,
                "answer_wait": 1.2, "back_votes": 2, "metrics_period": 2.0, "api_rate": 150.0,
            },
            "permissions": {
                "max_attempts": 3, "second_copies": True, "may_cancel": True, "retry_after": True,
                "max_retry_after": 2.0, "idle_close": 15.0, "connect_timeout": 0.25,
            },
            "rules": {"cold_from": 0.34, "cold": 4.7, "fall_multiple": 3.0},
        },
    }  # fmt: skip


async def serve_platform(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """The platform: one released build."""
    while (request := await read_http(reader)) is not None:
        if request[0].startswith("POST"):
            writer.write(http_response(STAGE))
            continue
        stream = Stream(writer)
        stream.send(json.dumps({"type": "stage", "object": STAGE}))
        while not writer.is_closing():
            await asyncio.sleep(1.0)
            stream.send("{}")


async def play(lab: Lab) -> bool:
    discovery = Discovery(lab)
    await discovery.open()
    platform = await asyncio.start_server(serve_platform, HOST, 0)
    instances = [Instance(lab, f"s-{number}", 41, work=0.06) for number in range(INSTANCES)]
    proxies = []
    for instance in instances:
        await instance.open()
        proxy = Proxy(lab, f"network of {instance.name}", int(instance.address.partition(":")[2]))
        await proxy.open()
        proxies.append(proxy)
        discovery.put(instance.name, proxy.address, instance.release)
    (port,) = free_ports(1)
    path = lab.folder / "config.json"
    path.write_text(
        json.dumps(configuration(port, discovery, f"{HOST}:{platform.sockets[0].getsockname()[1]}"))
    )
    lab.start("gateway", environ={"LB_CONFIG": str(path)})
    client = Client(lab, port)
    for _ in range(300):
        if await client.ping():
            break
        await asyncio.sleep(0.1)
    began = lab.now()
    requests = []
    next_reset = began + CALM
    resets = 0
    while lab.now() < began + CALM + RESETS + AFTER:
        requests.append(asyncio.create_task(client.request("SVC.SUBMIT", "book-confirm", 3000)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        if TROUBLE and next_reset <= lab.now() < began + CALM + RESETS:
            next_reset = lab.now() + 0.5
            resets += sum(proxy.reset() for proxy in proxies)
    await asyncio.gather(*requests)
    last_third = lab.now() - (CALM + RESETS + AFTER) / 3
    answers = [answer for request, (_, answer) in client.answers.items() if client.sent[request] > last_third]
    attempts = sum(at > last_third for instance in instances for at, *_ in instance.attempts)
    served = sum(bool(answer) and not answer.startswith("-") for answer in answers)
    turned_away = sum(answer.startswith("-BUSY") for answer in answers)
    lab.note(
        "case",
        f"{resets} resets; last third of the run, from {last_third:.3f}: {len(answers)} requests, {served} served, {turned_away} "
        f"turned away, {attempts} attempts at {INSTANCES} instances that are all well",
    )
    return served < len(answers) / 5


run_case("8", play)
