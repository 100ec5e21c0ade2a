"""Fake resource for task actions: it accepts fenced requests over HTTP and records them.

Owns the record, whose times are of the machine's monotonic clock. A request with a term older than the newest
accepted one of its slot is rejected with 409; nothing else is checked.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import NamedTuple


class Action(NamedTuple):
    """One received request. `at` is the time of the monotonic clock in seconds."""

    at: float
    task: str
    slot: int
    term: int
    member: str
    accepted: bool


class FakeResource:
    """The HTTP server of the resource; it runs on the test's event loop and listens on `port`."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.newest_terms: dict[tuple[str, int], int] = {}
        self.port = 0

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
            body = json.loads(await reader.readexactly(length))
            slot = body["task"], body["place"]
            accepted = body["term"] >= self.newest_terms.get(slot, 0)
            if accepted:
                self.newest_terms[slot] = body["term"]
            self.actions.append(Action(time.monotonic(), *slot, body["term"], body["by"], accepted))
            status = b"HTTP/1.1 200 OK" if accepted else b"HTTP/1.1 409 Conflict"
            writer.write(status + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, StopIteration, ValueError):
            pass
        finally:
            writer.close()
