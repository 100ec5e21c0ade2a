"""The installation waits for a member's current process, whatever its earlier processes have logged."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.fleet.procs.installation import Installation

MEMBERS = ["g1", "g2", "g3"]


@asynccontextmanager
async def open_installation(folder: Path) -> AsyncIterator[Installation]:
    installation = Installation(folder, MEMBERS)
    await installation.open()
    try:
        yield installation
    finally:
        await installation.close()


def test_a_process_killed_before_it_logged_its_start_is_not_waited_for(tmp_path):
    async def kill_and_start_again() -> str:
        async with open_installation(tmp_path) as installation:
            installation.start("g1")
            installation.kill("g1")
            installation.start("g1")
            await installation.wait_until_started()
            return (tmp_path / "g1.log").read_text()

    assert asyncio.run(kill_and_start_again()).count('"member.started"') == 1


def test_log_lines_of_an_earlier_process_do_not_count_for_the_current_one(tmp_path):
    async def start_with_an_older_log() -> None:
        (tmp_path / "g1.log").write_text('{"event": "member.started"}\n{"event": "acceptor.recovered"}\n')
        async with open_installation(tmp_path) as installation:
            installation.start("g1")
            with pytest.raises(TimeoutError):
                await installation.wait_until_started(timeout=0.0)
            assert not await installation.has_recovered("g1", timeout=0.0)
            await installation.wait_until_started()

    asyncio.run(start_with_an_older_log())
