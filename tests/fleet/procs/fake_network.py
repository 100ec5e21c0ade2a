"""A stand-in for the network between processes: one listener for each ordered pair, with faults put between.

Owns the bytes in transit. A pair is open, cut one way (what is sent is held and never comes), cut both ways,
late by a time, reset (both ends see it), or held back and then let through late. It must never change a byte.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Pair:
    """From a member that dials to the acceptor it dials. `late` in seconds; `shut` names the ways that are
    cut."""

    late: float = 0.0
    shut: set[str] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


class StandinLinks:
    """Runs on the test's own loop. `ports[dialler, acceptor]` is where the dialler is told that the acceptor
    listens."""

    def __init__(self) -> None:
        self.pairs: dict[tuple[str, str], Pair] = {}
        self.ports: dict[tuple[str, str], int] = {}
        self.servers: list[asyncio.Server] = []
        self.faults = 0

    async def open(self, dialler: str, acceptor: str, port: int) -> None:
        pair = self.pairs[dialler, acceptor] = Pair()

        async def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                writer.close()
                return
            pair.writers |= {writer, far_writer}
            ways = (("out", reader, far_writer), ("back", far_reader, writer))
            for way, one, other in ways:
                task = asyncio.create_task(self._carry(pair, way, one, other))
                pair.tasks.add(task)
                task.add_done_callback(pair.tasks.discard)

        server = await asyncio.start_server(came, "127.0.0.1", 0)
        self.servers.append(server)
        self.ports[dialler, acceptor] = server.sockets[0].getsockname()[1]

    async def _carry(
        self, pair: Pair, way: str, one: asyncio.StreamReader, other: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await one.read(65536):
                if pair.late:
                    await asyncio.sleep(pair.late)
                while way in pair.shut:
                    await asyncio.sleep(0.02)
                other.write(data)
                await other.drain()
        except OSError:
            pass
        finally:
            pair.writers.discard(other)
            other.close()

    # ---- faults, by member: all pairs that it is in --------------------------------------------------

    def _of(self, member: str) -> list[tuple[tuple[str, str], Pair]]:
        return [(names, pair) for names, pair in self.pairs.items() if member in names]

    def cut(self, member: str, ways: str) -> None:
        """`both`, `deaf` (nothing reaches it) or `mute` (nothing of it reaches others)."""
        self.faults += 1
        for (dialler, _), pair in self._of(member):
            to_it, from_it = ("back", "out") if dialler == member else ("out", "back")
            pair.shut |= {to_it} if ways == "deaf" else {from_it} if ways == "mute" else {to_it, from_it}

    def slow(self, member: str, late: float) -> None:
        self.faults += 1
        for _, pair in self._of(member):
            pair.late = late

    def reset(self, member: str) -> None:
        """Connections break under what is in transit, which is dropped."""
        self.faults += 1
        for _, pair in self._of(member):
            for task in list(pair.tasks):
                task.cancel()
            for writer in list(pair.writers):
                writer.transport.abort()

    def mend(self) -> None:
        for pair in self.pairs.values():
            pair.late = 0.0
            pair.shut.clear()

    async def close(self) -> None:
        for server in self.servers:
            server.close()
        for pair in self.pairs.values():
            for task in list(pair.tasks):
                task.cancel()
