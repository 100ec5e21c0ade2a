"""The quorum changes and members end in order, between processes: nobody acts beside another."""

from __future__ import annotations

import asyncio
import json
import signal
import time

from tests.fleet.procs.checker import breaches
from tests.fleet.procs.installation import LEASE, Installation
from tests.fleet.procs.test_leases import AFTER_ALL, TAKEN_UP

MEMBERS = ["g1", "g2", "g3", "g4", "g5"]


def lines(fleet: Installation, member: str, event: str) -> list[dict]:
    """A member's log lines of one kind."""
    rows = (fleet.folder / f"{member}.log").read_text().splitlines()
    return [row for row in map(json.loads, rows) if row["event"] == event]


async def until(true, wait: float) -> bool:  # noqa: ANN001
    end = time.monotonic() + wait
    while time.monotonic() < end:
        if true():
            return True
        await asyncio.sleep(0.05)
    return False


def settled(fleet: Installation, generation: int, *acceptors: str) -> bool:
    return all(
        any(row["generation"] == generation for row in lines(fleet, acceptor, "acceptor.recovered"))
        for acceptor in acceptors
    )


def hand_out(fleet: Installation, generation: int, acceptors: str) -> None:
    """New settings for all members; each is sent SIGHUP, one after the other."""
    for member in fleet.members:
        file = fleet.folder / f"{member}.xml"
        text = file.read_text()
        begin, end = text.index("<council"), text.index("</council>")
        file.write_text(f'{text[:begin]}<council generation="{generation}">{acceptors}{text[end:]}')
        fleet.running[member].send_signal(signal.SIGHUP)


async def grows(fleet: Installation) -> None:
    """From three acceptors to four and back to three others, while one holds and one is cut off for a
    while."""
    for member in MEMBERS:
        for acceptor in MEMBERS:
            if acceptor != member and (member, acceptor) not in fleet.links.ports:
                await fleet.links.open(member, acceptor, fleet.ports[acceptor])
        fleet.write(member)
        fleet.start(member)
    await fleet.up()
    assert await fleet.held(AFTER_ALL + 3.0)
    named = "".join(f'<seat name="{acceptor}"/>' for acceptor in ("g1", "g2", "g3"))
    hand_out(fleet, 2, named + '<seat name="g4" joins="true"/>')
    assert await until(lambda: settled(fleet, 2, "g1", "g2", "g3", "g4"), 10.0)
    fleet.links.cut("g5", "both")
    left = '<seat name="g1" leaves="true"/>' + named.replace('<seat name="g1"/>', "") + '<seat name="g4"/>'
    await asyncio.sleep(LEASE)
    hand_out(fleet, 3, left)
    assert await until(lambda: settled(fleet, 3, "g2", "g3", "g4"), 10.0)
    fleet.links.mend()
    fleet.kill("g1")
    assert await fleet.held(AFTER_ALL)


def test_the_quorum_changes_one_by_one_under_a_holder(tmp_path):
    async def play() -> list[str]:
        fleet = Installation(tmp_path, MEMBERS)
        await fleet.open()
        try:
            await grows(fleet)
            return breaches(fleet.resource.acts, fleet.woken)
        finally:
            await fleet.close()

    assert asyncio.run(play()) == []


def test_bad_settings_at_a_hangup_change_nothing(tmp_path):
    async def play() -> None:
        fleet = Installation(tmp_path, MEMBERS[:3])
        await fleet.open()
        try:
            for member in fleet.members:
                fleet.start(member)
            await fleet.up()
            assert await fleet.held(AFTER_ALL + 3.0)
            hand_out(fleet, 2, '<seat name="g1"/><seat name="g9"/>')
            assert await until(
                lambda: all(lines(fleet, m, "fleet.settings_rejected") for m in fleet.members), 5.0
            )
            (refused,) = lines(fleet, "g1", "fleet.settings_rejected")
            assert (
                "g1.xml:3:" in refused["error"] and "nobody is named g9; add the member" in refused["error"]
            )
            assert await fleet.held(LEASE)
        finally:
            await fleet.close()

    asyncio.run(play())


def test_a_member_that_ends_in_order_gives_its_task_back_at_once_and_ends_in_its_turn(tmp_path):
    """Two members are told to end together; one turn at a time is allowed, and it lasts a lease."""

    async def play() -> tuple[float, float]:
        fleet = Installation(tmp_path, MEMBERS)
        await fleet.open()
        try:
            for member in MEMBERS:
                file = fleet.folder / f"{member}.xml"
                file.write_text(
                    file.read_text().replace("</fleet>", '<restarts at-once="1" within="20s"/></fleet>')
                )
                fleet.start(member)
            await fleet.up()
            assert await fleet.held(AFTER_ALL + 3.0)
            await asyncio.sleep(0.5)
            holder = fleet.holder()
            other = next(member for member in ("g5", "g4") if member != holder)
            for member in (holder, other):
                fleet.running[member].terminate()
            ended = {}
            for member in (holder, other):
                process = fleet.running[member]
                assert await until(lambda process=process: process.poll() is not None, 15.0)
                ended[member] = json.loads((fleet.folder / f"{member}.log").read_text().splitlines()[-1])[
                    "at"
                ]
            codes = [fleet.running.pop(member).returncode for member in (holder, other)]
            assert codes == [0, 0] and await fleet.held(TAKEN_UP)
            assert not breaches(fleet.resource.acts, [])
            return abs(ended[holder] - ended[other]), LEASE
        finally:
            await fleet.close()

    apart, lease = asyncio.run(play())
    assert apart > 0.8 * lease, "both ended in one turn"
