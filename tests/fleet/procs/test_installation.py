"""The installation waits for the process that runs now, whatever earlier ones of the member have said."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.fleet.procs.installation import Installation

MEMBERS = ["g1", "g2", "g3"]


@asynccontextmanager
async def installation(folder: Path) -> AsyncIterator[Installation]:
    fleet = Installation(folder, MEMBERS)
    await fleet.open()
    try:
        yield fleet
    finally:
        await fleet.close()


def test_a_process_that_ended_before_it_said_so_is_not_waited_for(tmp_path):
    async def ended_at_once() -> str:
        async with installation(tmp_path) as fleet:
            fleet.start("g1")
            fleet.kill("g1")
            fleet.start("g1")
            await fleet.up()
            return (tmp_path / "g1.log").read_text()

    assert asyncio.run(ended_at_once()).count('"member.started"') == 1


def test_what_an_earlier_process_said_does_not_count_for_the_present_one(tmp_path):
    async def started_anew() -> None:
        (tmp_path / "g1.log").write_text('{"event": "member.started"}\n{"event": "acceptor.recovered"}\n')
        async with installation(tmp_path) as fleet:
            fleet.start("g1")
            with pytest.raises(TimeoutError):
                await fleet.up(wait=0.0)
            assert not await fleet.returned("g1", wait=0.0)
            await fleet.up()

    asyncio.run(started_anew())
