"""The three acceptors are killed and started anew, with their stores; the holder of the lease goes on."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import NamedTuple

from standins.case import LOOPBACK, Case, play

ACCEPTORS = ["g1", "g2", "g3"]  # quorum-only members: they have no task
GATEWAYS = ["g4", "g5", "g6", "g7", "g8", "g9"]
MEMBERS = ACCEPTORS + GATEWAYS
LEASE, BEAT = 10.0, 2.0  # seconds; the defaults of the settings
ROUNDS = 9
WATCHED = 5.0  # seconds after each restart
UNDER_WAY = 0.5  # seconds that an action may have been under way
RECENT = 1.0  # seconds


class Action(NamedTuple):
    """One task action as the resource received it."""

    at: float
    term: int
    member: str
    accepted: bool


class Resource:
    """Receives task actions, and refuses a term older than the newest that it has accepted."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.actions: list[Action] = []
        self.newest = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request on its connection."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
            length = next(int(line.split(":")[1]) for line in head if line.startswith("content-length"))
            body = json.loads(await reader.readexactly(length))
            accepted = body["term"] >= self.newest
            self.newest = max(self.newest, body["term"])
            self.actions.append(Action(self.case.now(), body["term"], body["by"], accepted))
            self.case.record(f"act by {body['by']} term {body['term']} {'200' if accepted else '409'}")
            status = b"200 OK" if accepted else b"409 Conflict"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, StopIteration, ValueError):
            pass
        finally:
            writer.close()

    def holder(self) -> str:
        """Return the member whose action was accepted last and lately, or an empty text."""
        recent = [one for one in self.actions if one.accepted and one.at > self.case.now() - RECENT]
        return recent[-1].member.partition("#")[0] if recent else ""

    def stale(self) -> list[Action]:
        """Return the actions of members that were no holder any more.

        Another member had acted under a newer term more than UNDER_WAY before they came.
        """
        found = []
        for place, action in enumerate(self.actions):
            newer = [
                other
                for other in self.actions[:place]
                if other.term > action.term
                and other.member != action.member
                and other.at < action.at - UNDER_WAY
            ]
            if newer:
                found.append(action)
        return found


def write_settings(case: Case, member: str, ports: dict[str, int], act: int) -> None:
    """Write the settings file of one member."""
    others = "".join(
        f'<member name="{other}" address="{LOOPBACK}:{ports[other]}"/>'
        for other in MEMBERS
        if other != member
    )
    acceptors = "".join(f'<acceptor name="{name}"/>' for name in ACCEPTORS)
    task = f'<task name="sweep" act="{LOOPBACK}:{act}" every="200ms"/>' if member in GATEWAYS else ""
    (case.work / f"{member}.xml").write_text(
        f'<linenbridge xmlns="urn:linenbridge:premises:1"><fleet member="{member}" '
        f'listen="{LOOPBACK}:{ports[member]}" store="{case.work}/{member}.db" store-never-goes-back="true" '
        f'lease="{LEASE:.0f}s" longest="{LEASE:.0f}s" beat="{BEAT:.0f}s">{others}'
        f'<quorum generation="1">{acceptors}</quorum>{task}</fleet></linenbridge>'
    )


async def body(case: Case) -> bool:
    """Play the rounds; return whether a member acted that another one had replaced."""
    resource = Resource(case)
    act = case.free_port()
    server = await asyncio.start_server(resource.serve, LOOPBACK, act)
    ports = {member: case.free_port() for member in MEMBERS}
    for member in MEMBERS:
        write_settings(case, member, ports, act)
        case.start(member, "serve", "--settings", f"{case.work}/{member}.xml")
    await case.wait_for("a member acts", resource.holder, 40.0)
    for _ in range(ROUNDS):
        # The holder has held for a while: its lease has been renewed at all acceptors.
        await asyncio.sleep(1.5 * BEAT)
        await case.wait_for("a member acts", resource.holder, 20.0)
        if case.trouble:
            for name in ACCEPTORS:
                case.signal(name, signal.SIGKILL)
            for name in ACCEPTORS:
                case.start(name, "serve", "--settings", f"{case.work}/{name}.xml")
        await asyncio.sleep(WATCHED)
        if resource.stale():
            break
    server.close()
    stale = resource.stale()
    for action in stale[:20]:
        case.record(f"stale: {action}")
    return bool(stale)


play(Path(__file__).parent, body)
