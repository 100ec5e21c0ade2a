"""Fake network between processes: a TCP proxy for each ordered pair of member and acceptor, with faults.

Forwards bytes unchanged. A link is open; blocked in one direction or both, in which case the bytes sent
arrive once the link has healed; slow; or reset, in which case both ends see a broken connection and the bytes
in transit are lost.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

CHUNK_BYTES = 65_536
HEAL_POLL_INTERVAL = 0.02  # seconds between two checks whether a blocked link has healed
TO_ACCEPTOR = "to_acceptor"  # direction from the dialing member to the acceptor
FROM_ACCEPTOR = "from_acceptor"


class Partition(StrEnum):
    """The blocked direction or directions of a member's connections."""

    BOTH = "both"
    INBOUND = "inbound"  # the member receives nothing
    OUTBOUND = "outbound"  # the others receive nothing from the member


@dataclass
class Link:
    """The proxied connections from one member to one acceptor.

    `delay` is in seconds; `blocked` contains the blocked directions.
    """

    delay: float = 0.0
    blocked: set[str] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


class FakeNetwork:
    """The proxies of all links; they run on the test's event loop.

    `ports[member, acceptor]` is the port at which the member reaches the acceptor.
    """

    def __init__(self) -> None:
        self.links: dict[tuple[str, str], Link] = {}
        self.ports: dict[tuple[str, str], int] = {}
        self.servers: list[asyncio.Server] = []
        self.faults = 0

    async def open(self, member: str, acceptor: str, port: int) -> None:
        """Listen for the member's connections and forward them to the acceptor's port `port`."""
        link = self.links[member, acceptor] = Link()

        async def on_connection(
            member_reader: asyncio.StreamReader, member_writer: asyncio.StreamWriter
        ) -> None:
            try:
                acceptor_reader, acceptor_writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                member_writer.close()
                return
            link.writers |= {member_writer, acceptor_writer}
            for direction, source, target in (
                (TO_ACCEPTOR, member_reader, acceptor_writer),
                (FROM_ACCEPTOR, acceptor_reader, member_writer),
            ):
                task = asyncio.create_task(self._forward(link, direction, source, target))
                link.tasks.add(task)
                task.add_done_callback(link.tasks.discard)

        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.servers.append(server)
        self.ports[member, acceptor] = server.sockets[0].getsockname()[1]

    async def _forward(
        self, link: Link, direction: str, source: asyncio.StreamReader, target: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if link.delay:
                    await asyncio.sleep(link.delay)
                while direction in link.blocked:
                    await asyncio.sleep(HEAL_POLL_INTERVAL)
                target.write(data)
                await target.drain()
        except OSError:
            pass
        finally:
            link.writers.discard(target)
            target.close()

    # ---- faults of one member: they affect all of its links ------------------------------------------------

    def _links_of(self, member: str) -> list[tuple[str, Link]]:
        """Return the links of a member, each with the name of the member that dials."""
        return [(names[0], link) for names, link in self.links.items() if member in names]

    def partition(self, member: str, partition: Partition) -> None:
        """Hold back the bytes that the member receives, those that it sends, or both."""
        self.faults += 1
        for dialing_member, link in self._links_of(member):
            inbound, outbound = (
                (FROM_ACCEPTOR, TO_ACCEPTOR) if dialing_member == member else (TO_ACCEPTOR, FROM_ACCEPTOR)
            )
            directions = {
                Partition.INBOUND: {inbound},
                Partition.OUTBOUND: {outbound},
                Partition.BOTH: {inbound, outbound},
            }
            link.blocked |= directions[partition]

    def slow(self, member: str, delay: float) -> None:
        """Delay each chunk that the member sends or receives by `delay` seconds."""
        self.faults += 1
        for _, link in self._links_of(member):
            link.delay = delay

    def reset(self, member: str) -> None:
        """Break the member's connections; bytes in transit are lost."""
        self.faults += 1
        for _, link in self._links_of(member):
            for task in list(link.tasks):
                task.cancel()
            for writer in list(link.writers):
                writer.transport.abort()

    def heal(self) -> None:
        """End all delays and partitions."""
        for link in self.links.values():
            link.delay = 0.0
            link.blocked.clear()

    async def close(self) -> None:
        """Close all listeners and stop forwarding."""
        for server in self.servers:
            server.close()
        for link in self.links.values():
            for task in list(link.tasks):
                task.cancel()
