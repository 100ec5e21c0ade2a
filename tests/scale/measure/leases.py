"""Costs of a lease acceptor and of a member by the number of members: calls, processor time and memory.

The real cores run on the simulated network of `tests/fleet/sim/world.py`, without its faults. Every member
competes for one task, and a tenth of the members restart at the end. The processor time is that of the cores,
without the link and the disk writes of the store.
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
from tests.scale.measure.costs import execution_mode
from tests.scale.slopes import Slope, record, slope

ROLE = "lease quorum: a seat"
MEMBER = "gateway: membership in leases"
MEASURED_BY = "tests.scale.measure.leases"
SIZES = (32, 320, 3_200)
ACCEPTORS = 5
SEED = 38
# Simulated seconds; the burst of calls at the start ends before the steady period.
STEADY_FROM = 7
RESTART_AT = 11
SECONDS = 16
RESTARTED_SHARE = 0.1  # share of the members that restart at the same time
UNCOUNTED_TYPES = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)


class MeasuredFleet(SimulatedFleet):
    """A simulated fleet that counts the calls, bytes and processor time of one acceptor and one member.

    Bytes and processor time are counted in the steady period only. A tenth of the members restart after it.
    """

    def __init__(self, shape: FleetShape, seed: int) -> None:
        self.calls_in = Counter[int]()  # by simulated second
        self.bytes_in = self.bytes_out = self.nanoseconds = self.member_nanoseconds = 0
        super().__init__(shape, seed)
        self.counted_acceptor = self.acceptors[0]
        self.member = self.names[-1]
        for name in self.names[ACCEPTORS : ACCEPTORS + round(RESTARTED_SHARE * len(self.names))]:
            self._at(RESTART_AT * SECOND, ("start", name))

    @property
    def steady(self) -> bool:
        """Whether the simulated time is in the steady period."""
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


def deep_bytes(root: object) -> int:
    """Return the bytes of an object and all objects it refers to, except types, modules and functions."""
    seen = set[int]()
    waiting = [root]
    total = 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, UNCOUNTED_TYPES):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        waiting.extend(gc.get_referents(item))
    return total


def costs(members: int) -> dict[str, float]:
    """Return the costs of one acceptor and of one member, by the keys of WHATS."""
    shape = FleetShape(
        gateways=members, acceptors=ACCEPTORS, tasks=1, seconds=SECONDS, faults=0, clock_spread=0.0
    )
    fleet = MeasuredFleet(shape, SEED)
    fleet.run()
    steady_seconds = RESTART_AT - STEADY_FROM
    acceptor = fleet.cores[f"acceptor {fleet.counted_acceptor}"]
    assert isinstance(acceptor, Acceptor)
    return {
        "calls": sum(fleet.calls_in[second] for second in range(STEADY_FROM, RESTART_AT)) / steady_seconds,
        "burst": max(fleet.calls_in[second] for second in range(RESTART_AT, SECONDS)),
        "time": fleet.nanoseconds / 1000 / steady_seconds,
        "in": fleet.bytes_in / steady_seconds,
        "out": fleet.bytes_out / steady_seconds,
        "memory": deep_bytes((acceptor.granted_leases, acceptor.queues, acceptor.revisions)),
        "member": fleet.member_nanoseconds / 1000 / steady_seconds,
    }


NOTE = "simulated time and network, one task that all members stand for"


class CostRow(NamedTuple):
    """The fields of a cost's row in the file of slopes, and the form of its fit."""

    role: str
    what: str
    unit: str
    form: str = "linear"


WHATS = {
    "calls": CostRow(ROLE, "calls in", "a second"),
    "burst": CostRow(ROLE, "calls in when a tenth of the members restart", "in the busiest second"),
    # The queues of members that wait for the task grow with the number of members.
    "time": CostRow(ROLE, "processor time of the core", "us a second", "quadratic"),
    "in": CostRow(ROLE, "bytes in", "bytes a second"),
    "out": CostRow(ROLE, "bytes out", "bytes a second"),
    "memory": CostRow(ROLE, "memory of the core", "bytes"),
    "member": CostRow(MEMBER, "processor time of the core", "us a second", "constant"),
}


def rows() -> list[Slope]:
    """Measure the lease quorum at all sizes."""
    measured = [(members, costs(members)) for members in SIZES]
    common = dict(size="members", measured_by=MEASURED_BY, text=execution_mode(acceptor_module), note=NOTE)
    return [
        slope(
            what.form,
            [(members, cost[name]) for members, cost in measured],
            role=what.role,
            what=what.what,
            unit=what.unit,
            **common,
        )
        for name, what in WHATS.items()
    ]


if __name__ == "__main__":
    record(rows())
