"""A fake network between processes: one listener for each ordered pair, with faults between.

Owns the bytes in transit, which it never changes. A pair is open, cut in one direction (what is sent arrives
once the pair is mended) or in both, slow, or reset (both ends notice, what is in transit is lost).
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

CHUNK_BYTES = 65_536
MENDED_INTERVAL = 0.02  # seconds between two looks whether a pair is mended
OUT = "out"  # from the member that dials
BACK = "back"


class Partition(StrEnum):
    """Which direction of a member's connections is blocked."""

    BOTH = "both"
    INBOUND = "inbound"  # nothing reaches the member
    OUTBOUND = "outbound"  # nothing of the member reaches others


@dataclass
class Pair:
    """From a member that dials to the acceptor that it dials. `delay` is in seconds; `blocked` names
    the blocked directions."""

    delay: float = 0.0
    blocked: set[str] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


class FakeNetwork:
    """Runs on the test's own loop. `ports[member, acceptor]` is the port at which the member reaches the
    acceptor."""

    def __init__(self) -> None:
        self.pairs: dict[tuple[str, str], Pair] = {}
        self.ports: dict[tuple[str, str], int] = {}
        self.servers: list[asyncio.Server] = []
        self.faults = 0

    async def open(self, member: str, acceptor: str, port: int) -> None:
        """Listen for the member, and connect it on to the acceptor's own port."""
        pair = self.pairs[member, acceptor] = Pair()

        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                writer.close()
                return
            pair.writers |= {writer, far_writer}
            for direction, source, target in ((OUT, reader, far_writer), (BACK, far_reader, writer)):
                task = asyncio.create_task(self._forward(pair, direction, source, target))
                pair.tasks.add(task)
                task.add_done_callback(pair.tasks.discard)

        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.servers.append(server)
        self.ports[member, acceptor] = server.sockets[0].getsockname()[1]

    async def _forward(
        self, pair: Pair, direction: str, source: asyncio.StreamReader, target: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if pair.delay:
                    await asyncio.sleep(pair.delay)
                while direction in pair.blocked:
                    await asyncio.sleep(MENDED_INTERVAL)
                target.write(data)
                await target.drain()
        except OSError:
            pass
        finally:
            pair.writers.discard(target)
            target.close()

    # ---- faults, by member: all pairs that it is in --------------------------------------------------------

    def _pairs_of(self, member: str) -> list[tuple[str, Pair]]:
        """The pairs of a member, each with the one that dials."""
        return [(names[0], pair) for names, pair in self.pairs.items() if member in names]

    def partition(self, member: str, partition: Partition) -> None:
        """Hold back what the member receives, what it sends, or both."""
        self.faults += 1
        for dialler, pair in self._pairs_of(member):
            inbound, outbound = (BACK, OUT) if dialler == member else (OUT, BACK)
            directions = {
                Partition.INBOUND: {inbound},
                Partition.OUTBOUND: {outbound},
                Partition.BOTH: {inbound, outbound},
            }
            pair.blocked |= directions[partition]

    def slow(self, member: str, delay: float) -> None:
        """Delay what the member sends and receives by so many seconds."""
        self.faults += 1
        for _, pair in self._pairs_of(member):
            pair.delay = delay

    def reset(self, member: str) -> None:
        """Break the member's connections; what is in transit is lost."""
        self.faults += 1
        for _, pair in self._pairs_of(member):
            for task in list(pair.tasks):
                task.cancel()
            for writer in list(pair.writers):
                writer.transport.abort()

    def mend(self) -> None:
        """End all delays and cuts."""
        for pair in self.pairs.values():
            pair.delay = 0.0
            pair.blocked.clear()

    async def close(self) -> None:
        """Close all listeners and what is in transit."""
        for server in self.servers:
            server.close()
        for pair in self.pairs.values():
            for task in list(pair.tasks):
                task.cancel()
