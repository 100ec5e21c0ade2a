"""Stand-ins for discovery and the platform, over HTTP/1.1 with JSON, as PROTOCOL describes them."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from standins.case import LOOPBACK

Row = dict[str, object]


def endpoint(name: str, address: str, release: int = 1, status: str = "active") -> Row:
    """Return one entry of the list, of an instance that has run for long."""
    return {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "std",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
        "release": release,
    }


class ControlPlane:
    """Discovery and the platform's feed and votes, on two ports."""

    def __init__(self, rows: list[Row]) -> None:
        self.rows = rows
        self.state = {"version": 1, "step": 0, "status": "live", "maxWeight": 1.0, "observedAgoMs": 0}

    async def open(self, discovery_port: int, platform_port: int) -> None:
        """Listen."""
        await asyncio.start_server(self._discovery, LOOPBACK, discovery_port)
        await asyncio.start_server(self._platform, LOOPBACK, platform_port)

    def whole_list(self) -> dict[str, object]:
        """Return the whole list."""
        return {"index": 1, "snapshot": True, "endpoints": self.rows}

    async def _discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self._begin(writer)
            self._line(writer, json.dumps(self.whole_list()))
            while True:
                await asyncio.sleep(2.0)
                self._line(writer, "")
                await writer.drain()

    async def _platform(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, StopIteration):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            if head.startswith("get"):
                self._begin(writer)
                self._line(writer, json.dumps({"type": "stage", "object": self.state}))
                while True:
                    await asyncio.sleep(1.0)
                    self._line(writer, "{}")
                    await writer.drain()
            length = next(
                int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length")
            )
            await reader.readexactly(length)
            body = json.dumps(self.state).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()

    @staticmethod
    def _begin(writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    @staticmethod
    def _line(writer: asyncio.StreamWriter, text: str) -> None:
        data = text.encode() + b"\n"
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


def configuration(
    plane: ControlPlane, listen: int, discovery: int, platform: int, profiles: list[dict[str, object]]
) -> dict[str, object]:
    """Return a gateway's configuration, with settings like those of a small deployment."""
    return {
        "name": "n1",
        "listen": f"{LOOPBACK}:{listen}",
        "discovery": f"{LOOPBACK}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "platform": {"address": f"{LOOPBACK}:{platform}", "news": plane.state},
        "known": plane.whole_list(),
        "settings": {
            "discovery": "push",
            "profiles": profiles,
            "family_info": {
                "gate_mode": "share",
                "style": "beside",
                "shares": [0.1, 0.35, 1.0],
                "caps": [0.12, 0.42, 1.0],
                "closed_stages": 1,
                "per": "all",
                "spare_tries": 3.0,
                "forward_only": False,
                "vote_stands": 6.0,
                "answer_wait": 1.2,
            },
            "permissions": {
                "max_attempts": 3,
                "second_copies": True,
                "may_cancel": True,
                "retry_after": True,
                "max_retry_after": 1.0,
                "idle_close": 15.0,
                "connect_timeout": 0.25,
            },
            "rules": {"cold_from": 0.34, "cold": 4.7, "fall_multiple": 3.0},
        },
    }
