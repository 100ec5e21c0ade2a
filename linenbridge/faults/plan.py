"""Draws the requests of a day from a seed, without I/O."""

from __future__ import annotations

from random import Random

from linenbridge.faults.deployment import PATHS
from linenbridge.faults.fake_proxy import PlannedRequest

SHARES = {"quote": 0.5, "lookup": 0.35, "confirm": 0.15}
FAULTS = ("reset-before-read", "impatient", "leave-after-hand-out", "silent")


def plan(seed: int, rate: float, seconds: float, fault_share: float) -> list[PlannedRequest]:
    """Return a day's requests, in the order of their times in seconds.

    The load is an open loop with exponential gaps; `fault_share` of the requests have a fault.
    """
    generator, at, requests = Random(f"day/{seed}"), 0.0, []
    names, shares = list(SHARES), list(SHARES.values())
    while (at := at + generator.expovariate(rate)) < seconds:
        method = generator.choices(names, shares)[0]
        fault = generator.choice(FAULTS) if generator.random() < fault_share else ""
        path, verb = PATHS[method]
        requests.append(PlannedRequest(f"{generator.getrandbits(64):016x}", method, at, path, verb, fault))
    return requests
