"""A bad client, as a process of its own: hundreds of commands at once, again as soon as they are turned away.

Arguments: the gateway's port, how many connections, how many commands at once, and for how many seconds.
"""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress

from standins.case import LOOPBACK
from standins.resp2 import encode


async def client(port: int, number: int, commands: int, until: float) -> None:
    """Send commands at full speed, and read what is sent."""
    count = 0
    while time.monotonic() < until:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=1 << 20)
            while time.monotonic() < until:
                batch = []
                for _ in range(commands):
                    count += 1
                    batch.append(
                        encode(b"SVC.QUERY", b"k", b"b%d.%d" % (number, count), b"c=price-quote,t=t1,d=450")
                    )
                writer.write(b"".join(batch))
                for _ in range(commands):
                    line = await reader.readuntil(b"\r\n")
                    if line[:1] == b"$":
                        await reader.readexactly(int(line[1:-2]) + 2)
            writer.close()


async def main() -> None:
    """Run all connections."""
    port, connections, commands, seconds = (int(one) for one in sys.argv[1:])
    until = time.monotonic() + seconds
    await asyncio.gather(*(client(port, number, commands, until) for number in range(connections)))


asyncio.run(main())
