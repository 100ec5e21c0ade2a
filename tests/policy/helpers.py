"""Small courses of RPCs through one gateway's module. It must never assert."""

from __future__ import annotations


from linenbridge import interface as face
from linenbridge.policy import Choice
from linenbridge.interface import SECOND
from tests.helpers import MS, pull


def outcome(gateway: Choice, now: int, name: str, result: str, method: str = "look") -> int:
    """Send one RPC and let its first pick end; returns the build that it went to."""
    gateway.on_rpc(now, name, method, 4 * SECOND, None, "", None)
    pick = next(d for d in pull(gateway, now) if d[0] == face.PICK and d[1] == name)
    gateway.on_reply(now + MS, name, 0, result, result == face.OK, MS, {})
    gateway.on_gone(now + MS, name)
    return gateway.fleet.build[gateway.fleet.index[pick[2]]]


def fail_trial(gateway: Choice, now: int, count: int, result: str = face.ERROR) -> int:
    """RPCs that fail at build 2 only, until `count` of them did."""
    failures = n = 0
    while failures < count:
        now, n = now + 10 * MS, n + 1
        gateway.on_rpc(now, f"f{now}", "look", 4 * SECOND, None, "", None)
        pick = next(d for d in pull(gateway, now) if d[0] == face.PICK and d[1] == f"f{now}")
        bad = pick[2] == 4
        gateway.on_reply(now + MS, f"f{now}", 0, result if bad else face.OK, not bad, MS, {})
        gateway.on_gone(now + MS, f"f{now}")
        failures += bad
    return now
