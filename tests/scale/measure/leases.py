"""A seat of the lease quorum by the number of members: calls a second, processor time, memory.

The cores are the real ones under the simulated network of `tests/fleet/sim/world.py`, without its faults;
every member takes part in one task and a tenth of them restart in the end. The processor time is that of the
cores alone: neither the link nor the store's disk writes are in it.
"""

from __future__ import annotations

import gc
import sys
import time
from collections import Counter
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType
from typing import NamedTuple

import msgspec

from linenbridge.fleet.leases import acceptor as acceptor_module
from linenbridge.fleet.leases.acceptor import Acceptor
from linenbridge.fleet.leases.messages import LeaseReply, LeaseRequest

from tests.fleet.sim.world import SimulatedFleet, SECOND, FleetShape
from tests.scale.measure.costs import text_of
from tests.scale.slopes import Slope, record, slope

ROLE = "lease quorum: a seat"
MEMBER = "gateway: membership in leases"
MEASURED_BY = "tests.scale.measure.leases"
SIZES = (32, 320, 3_200)
ACCEPTORS = 5
SEED = 38
# Simulated seconds; the rush of the start comes before.
STEADY_FROM = 7
RESTART_AT = 11
SECONDS = 16
RESTARTED = 0.1  # a tenth of the members, at the same time
SHARED = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)


class Counted(SimulatedFleet):
    """A fleet that counts what one acceptor receives and sends and what that costs it, and the same of a
    member, in a steady time; then a tenth of the members restart."""

    def __init__(self, shape: FleetShape, seed: int) -> None:
        self.calls_in = Counter[int]()  # by simulated second
        self.bytes_in = self.bytes_out = self.nanoseconds = self.member_nanoseconds = 0
        super().__init__(shape, seed)
        self.counted_acceptor = self.acceptors[0]
        self.member = self.names[-1]
        for name in self.names[ACCEPTORS : ACCEPTORS + round(RESTARTED * len(self.names))]:
            self._at(RESTART_AT * SECOND, ("start", name))

    @property
    def steady(self) -> bool:
        return STEADY_FROM * SECOND <= self.now < RESTART_AT * SECOND

    def _deliver(self, name: str, to: str, message: object) -> None:
        started = time.process_time_ns()
        super()._deliver(name, to, message)
        elapsed = time.process_time_ns() - started
        if name == self.counted_acceptor and isinstance(message, LeaseRequest):
            self.calls_in[self.now // SECOND] += 1
            if self.steady:
                self.nanoseconds += elapsed
                self.bytes_in += len(msgspec.msgpack.encode(message))
        elif name == self.member and self.steady:
            self.member_nanoseconds += elapsed

    def _pump(self, core_name: str) -> None:
        if core_name != self.names[-1] or not self.steady:
            super()._pump(core_name)
            return
        started = time.process_time_ns()
        super()._pump(core_name)
        self.member_nanoseconds += time.process_time_ns() - started

    def _send(self, sender: str, to: str, message: object) -> None:
        if sender == self.acceptors[0] and isinstance(message, LeaseReply) and self.steady:
            self.bytes_out += len(msgspec.msgpack.encode(message))
        super()._send(sender, to, message)


def deep_bytes(made: object) -> int:
    """Bytes of an object and all that it alone leads to; types, modules and functions are not counted."""
    seen = set[int]()
    waiting = [made]
    total = 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, SHARED):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        waiting.extend(gc.get_referents(item))
    return total


def costs(members: int) -> dict[str, float]:
    """Of one acceptor and of one member, by the names of WHATS."""
    shape = FleetShape(
        gateways=members, acceptors=ACCEPTORS, tasks=1, seconds=SECONDS, faults=0, clock_spread=0.0
    )
    fleet = Counted(shape, SEED)
    fleet.run()
    counted = RESTART_AT - STEADY_FROM
    acceptor = fleet.cores[f"acceptor {fleet.counted_acceptor}"]
    assert isinstance(acceptor, Acceptor)
    return {
        "calls": sum(fleet.calls_in[second] for second in range(STEADY_FROM, RESTART_AT)) / counted,
        "burst": max(fleet.calls_in[second] for second in range(RESTART_AT, SECONDS)),
        "time": fleet.nanoseconds / 1000 / counted,
        "in": fleet.bytes_in / counted,
        "out": fleet.bytes_out / counted,
        "memory": deep_bytes((acceptor.granted_leases, acceptor.queues, acceptor.revisions)),
        "member": fleet.member_nanoseconds / 1000 / counted,
    }


NOTE = "simulated time and network, one task that all members stand for"


class What(NamedTuple):
    """One cost's place in the file of slopes."""

    role: str
    what: str
    unit: str
    form: str = "linear"


WHATS = {
    "calls": What(ROLE, "calls in", "a second"),
    "burst": What(ROLE, "calls in when a tenth of the members restart", "in the busiest second"),
    # The queues of those that wait for the task grow with the members.
    "time": What(ROLE, "processor time of the core", "us a second", "quadratic"),
    "in": What(ROLE, "bytes in", "bytes a second"),
    "out": What(ROLE, "bytes out", "bytes a second"),
    "memory": What(ROLE, "memory of the core", "bytes"),
    "member": What(MEMBER, "processor time of the core", "us a second", "constant"),
}


def rows() -> list[Slope]:
    found = [(members, costs(members)) for members in SIZES]
    common = dict(size="members", measured_by=MEASURED_BY, text=text_of(acceptor_module), note=NOTE)
    return [
        slope(
            what.form,
            [(members, cost[name]) for members, cost in found],
            role=what.role,
            what=what.what,
            unit=what.unit,
            **common,
        )
        for name, what in WHATS.items()
    ]


if __name__ == "__main__":
    record(rows())
