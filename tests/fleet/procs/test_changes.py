"""Changes of the quorum and orderly shutdown of members, between processes: no two members act at once."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Callable

from tests.fleet.procs.checker import breaches
from tests.fleet.procs.fake_network import Partition
from tests.fleet.procs.installation import LEASE, Installation
from tests.fleet.procs.test_leases import MAX_GAP, MAX_RECOVERY, START_TIMEOUT

MEMBERS = ["g1", "g2", "g3", "g4", "g5"]


def log_lines(installation: Installation, member: str, event: str) -> list[dict]:
    """Return the log lines of a member with the given event."""
    rows = (installation.folder / f"{member}.log").read_text().splitlines()
    return [row for row in map(json.loads, rows) if row["event"] == event]


async def wait_until(condition: Callable[[], bool], timeout: float) -> bool:
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False


def all_recovered(installation: Installation, generation: int, *acceptors: str) -> bool:
    return all(
        any(
            row["generation"] == generation for row in log_lines(installation, acceptor, "acceptor.recovered")
        )
        for acceptor in acceptors
    )


def reload_with_quorum(installation: Installation, generation: int, acceptors: str) -> None:
    """Write settings with a new quorum and send SIGHUP, to one member after the other."""
    for member in installation.members:
        file = installation.folder / f"{member}.xml"
        text = file.read_text()
        begin, end = text.index("<council"), text.index("</council>")
        file.write_text(f'{text[:begin]}<council generation="{generation}">{acceptors}{text[end:]}')
        installation.running[member].send_signal(signal.SIGHUP)


async def change_the_quorum_twice(installation: Installation) -> None:
    """Change the quorum from three acceptors to four, then to three others.

    A member holds the task meanwhile, and another member is partitioned during the second change.
    """
    for member in MEMBERS:
        for acceptor in MEMBERS:
            if acceptor != member and (member, acceptor) not in installation.network.ports:
                await installation.network.open(member, acceptor, installation.ports[acceptor])
        installation.write_settings(member)
        installation.start(member)
    await installation.wait_until_started()
    assert await installation.has_holder(START_TIMEOUT)
    three_acceptors = "".join(f'<seat name="{acceptor}"/>' for acceptor in ("g1", "g2", "g3"))
    reload_with_quorum(installation, 2, three_acceptors + '<seat name="g4" joins="true"/>')
    assert await wait_until(lambda: all_recovered(installation, 2, "g1", "g2", "g3", "g4"), 10.0)
    installation.network.partition("g5", Partition.BOTH)
    without_first = (
        '<seat name="g1" leaves="true"/>'
        + three_acceptors.replace('<seat name="g1"/>', "")
        + '<seat name="g4"/>'
    )
    await asyncio.sleep(LEASE)
    reload_with_quorum(installation, 3, without_first)
    assert await wait_until(lambda: all_recovered(installation, 3, "g2", "g3", "g4"), 10.0)
    installation.network.heal()
    installation.kill("g1")
    assert await installation.has_holder(MAX_RECOVERY)


def test_no_two_members_act_at_once_while_the_quorum_changes_twice(tmp_path):
    async def play() -> list[str]:
        installation = Installation(tmp_path, MEMBERS)
        await installation.open()
        try:
            await change_the_quorum_twice(installation)
            return breaches(installation.resource.actions, installation.resumed)
        finally:
            await installation.close()

    assert asyncio.run(play()) == []


def test_invalid_settings_at_a_reload_are_rejected_and_the_old_ones_stay(tmp_path):
    async def play() -> None:
        installation = Installation(tmp_path, MEMBERS[:3])
        await installation.open()
        try:
            for member in installation.members:
                installation.start(member)
            await installation.wait_until_started()
            assert await installation.has_holder(START_TIMEOUT)
            reload_with_quorum(installation, 2, '<seat name="g1"/><seat name="g9"/>')
            assert await wait_until(
                lambda: all(
                    log_lines(installation, member, "fleet.settings_rejected")
                    for member in installation.members
                ),
                5.0,
            )
            (rejected,) = log_lines(installation, "g1", "fleet.settings_rejected")
            assert "g1.xml:3:" in rejected["error"]
            assert "no member is named g9; add the member" in rejected["error"]
            assert await installation.has_holder(LEASE)
        finally:
            await installation.close()

    asyncio.run(play())


def test_two_members_terminated_together_stop_one_after_the_other_a_lease_apart(tmp_path):
    """Two members receive SIGTERM together. The setting allows one restart at a time, which lasts a lease."""

    async def play() -> tuple[float, float]:
        installation = Installation(tmp_path, MEMBERS)
        await installation.open()
        try:
            for member in MEMBERS:
                file = installation.folder / f"{member}.xml"
                file.write_text(
                    file.read_text().replace("</fleet>", '<restarts at-once="1" within="20s"/></fleet>')
                )
                installation.start(member)
            await installation.wait_until_started()
            assert await installation.has_holder(START_TIMEOUT)
            await asyncio.sleep(0.5)
            holder = installation.holder()
            other = next(member for member in ("g5", "g4") if member != holder)
            for member in (holder, other):
                installation.running[member].terminate()
            ended_at = {}
            for member in (holder, other):
                process = installation.running[member]
                assert await wait_until(lambda process=process: process.poll() is not None, 15.0)
                ended_at[member] = json.loads(
                    (installation.folder / f"{member}.log").read_text().splitlines()[-1]
                )["at"]
            codes = [installation.running.pop(member).returncode for member in (holder, other)]
            assert codes == [0, 0]
            assert await installation.has_holder(MAX_GAP)
            assert not breaches(installation.resource.actions, [])
            return abs(ended_at[holder] - ended_at[other]), LEASE
        finally:
            await installation.close()

    apart, lease = asyncio.run(play())
    assert apart > 0.8 * lease, "both members stopped in the same restart slot"
