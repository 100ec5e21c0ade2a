"""The requests of a day, drawn from a seed. Decides without I/O."""

from __future__ import annotations

from random import Random

from linenbridge.faults.deployment import PATHS
from linenbridge.faults.fake_proxy import PlannedRequest

SHARES = {"quote": 0.5, "lookup": 0.35, "confirm": 0.15}
FAULTS = ("reset-before-read", "impatient", "leave-after-hand-out", "silent")


def plan(seed: int, rate: float, seconds: float, fault_share: float) -> list[PlannedRequest]:
    """A day's requests: open loop, exponential gaps, faults by share."""
    chance, at, requests = Random(f"day/{seed}"), 0.0, []
    names, shares = list(SHARES), list(SHARES.values())
    while (at := at + chance.expovariate(rate)) < seconds:
        method = chance.choices(names, shares)[0]
        fault = chance.choice(FAULTS) if chance.random() < fault_share else ""
        path, verb = PATHS[method]
        requests.append(PlannedRequest(f"{chance.getrandbits(64):016x}", method, at, path, verb, fault))
    return requests
