"""The requests of a day, drawn from a seed. Decides without I/O."""

from __future__ import annotations

from random import Random

from linenbridge.faults.deployment import PATHS
from linenbridge.faults.fake_proxy import Ask

SHARES = {"quote": 0.5, "lookup": 0.35, "confirm": 0.15}
AMISS = ("reset-before-read", "impatient", "leave-after-hand-out", "silent")


def plan(seed: int, rate: float, seconds: float, amiss: float) -> list[Ask]:
    """A day's requests: open loop, exponential gaps, faults by share."""
    chance, at, asks = Random(f"day/{seed}"), 0.0, []
    names, shares = list(SHARES), list(SHARES.values())
    while (at := at + chance.expovariate(rate)) < seconds:
        method = chance.choices(names, shares)[0]
        fault = chance.choice(AMISS) if chance.random() < amiss else ""
        path, verb = PATHS[method]
        asks.append(Ask(f"{chance.getrandbits(64):016x}", method, at, path, verb, fault))
    return asks
