"""A stand-in instance and the reading of RESP2 messages, as PROTOCOL describes them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

Command = list[bytes]


async def read_command(reader: asyncio.StreamReader) -> Command:
    """Read one command: an array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    command = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        command.append((await reader.readexactly(length + 2))[:-2])
    return command


def encode(*arguments: bytes) -> bytes:
    """Return a command's bytes."""
    parts = [b"*%d\r\n" % len(arguments)]
    parts += [b"$%d\r\n%b\r\n" % (len(one), one) for one in arguments]
    return b"".join(parts)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read a gateway's answer: the value of a bulk string, or the whole line of anything else."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line[1:2] != b"-":
        return (await reader.readexactly(int(line[1:-2]) + 2))[:-2]
    return line[:-2]


class Instance:
    """An instance: `work` waits for the work of a command, and its value is returned to the gateway."""

    def __init__(self, work: Callable[[Command], Awaitable[None]]) -> None:
        self.work = work

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one command after another."""
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                command = await read_command(reader)
                if command[0] not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                    writer.write(b"-ERR unknown\r\n")
                    continue
                await self.work(command)
                value = b"value of " + command[2]
                writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
                await writer.drain()
        writer.close()
