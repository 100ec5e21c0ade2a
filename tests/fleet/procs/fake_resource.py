"""A stand-in for the thing acted on: it takes fenced acts over HTTP and writes down what reached it.

Owns the record, by the machine's one monotonic clock. It refuses a term that is older than the newest it has
seen of a place, by 409; it must never judge anything else.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import NamedTuple


class Act(NamedTuple):
    """One act as it arrived."""

    at: float
    task: str
    place: int
    term: int
    by: str
    taken: bool


class StandinResource:
    def __init__(self) -> None:
        self.acts: list[Act] = []
        self.newest: dict[tuple[str, int], int] = {}
        self.port = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._came, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _came(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
            said = json.loads(await reader.readexactly(length))
            key = said["task"], said["place"]
            taken = said["term"] >= self.newest.get(key, 0)
            if taken:
                self.newest[key] = said["term"]
            self.acts.append(Act(time.monotonic(), *key, said["term"], said["by"], taken))
            answer = b"HTTP/1.1 200 OK" if taken else b"HTTP/1.1 409 Conflict"
            writer.write(answer + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, StopIteration, ValueError):
            pass
        finally:
            writer.close()
