"""A seat of the lease quorum by the number of members: calls a second, processor time, memory.

The cores are the real ones under the simulated network of `tests/fleet/sim/world.py`, without its faults;
every member takes part in one task. The processor time is that of the seat's core alone: neither the link
nor the store's disk writes are in it.
"""

from __future__ import annotations

import gc
import sys
import time
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

import msgspec

from linenbridge.fleet.leases import seat as seat_module
from linenbridge.fleet.leases.seat import Seat
from linenbridge.fleet.leases.words import Round, Said

from tests.fleet.sim.world import Fleet, SECOND, Shape
from tests.scale.measure.costs import text_of
from tests.scale.slopes import Slope, merge, slope

ROLE = "lease quorum: a seat"
MEASURED_BY = "tests.scale.measure.leases"
SIZES = (20, 200, 2_000)
SEATS, SECONDS, SEED = 5, 20, 38
LATER_HALF = SECONDS // 2 * SECOND  # what comes before is the rush of the start
SHARED = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType)


class Counted(Fleet):
    """A fleet that counts, in the later half of its time, what one seat hears and what that costs."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.rounds, self.nanoseconds, self.bytes_in, self.bytes_out = 0, 0, 0, 0
        super().__init__(shape, seed)

    def _deliver(self, name: str, to: str, word: object) -> None:
        if name != self.seats[0] or not isinstance(word, Round) or self.now < LATER_HALF:
            super()._deliver(name, to, word)
            return
        started = time.process_time_ns()
        super()._deliver(name, to, word)
        self.nanoseconds += time.process_time_ns() - started
        self.rounds += 1
        self.bytes_in += len(msgspec.msgpack.encode(word))

    def _say(self, sender: str, to: str, word: object) -> None:
        if sender == self.seats[0] and isinstance(word, Said) and self.now >= LATER_HALF:
            self.bytes_out += len(msgspec.msgpack.encode(word))
        super()._say(sender, to, word)


def deep_bytes(made: object) -> int:
    """Bytes of an object and all that it alone leads to; types, modules and functions are not counted."""
    seen, waiting, total = set[int](), [made], 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, SHARED):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        waiting.extend(gc.get_referents(item))
    return total


def seat_costs(members: int) -> dict[str, float]:
    """Of one seat: calls in a second, microseconds a second, bytes in and out a second, bytes held."""
    shape = Shape(gateways=members, seats=SEATS, tasks=1, seconds=SECONDS, faults=0, apart=0.0)
    fleet = Counted(shape, SEED)
    fleet.play()
    counted = SECONDS - SECONDS // 2
    seat = fleet.cores[f"seat {fleet.seats[0]}"]
    assert isinstance(seat, Seat)
    return {
        "calls": fleet.rounds / counted,
        "time": fleet.nanoseconds / 1000 / counted,
        "in": fleet.bytes_in / counted,
        "out": fleet.bytes_out / counted,
        "held": deep_bytes((seat.guards, seat.queues, seat.heard)),
    }


FORMS = {"time": "quadratic"}  # queues of those that wait grow with the members
NOTE = "simulated time and network, one task that all members stand for"
WHATS = {
    "calls": ("calls in", "a second"),
    "time": ("processor time of the core", "us a second"),
    "in": ("bytes in", "bytes a second"),
    "out": ("bytes out", "bytes a second"),
    "held": ("memory of the core", "bytes"),
}


def rows() -> list[Slope]:
    costs = [(members, seat_costs(members)) for members in SIZES]
    common = dict(role=ROLE, size="members", measured_by=MEASURED_BY, text=text_of(seat_module))
    return [
        slope(FORMS.get(name, "linear"), [(n, cost[name]) for n, cost in costs],
              what=what, unit=unit, note=NOTE, **common)
        for name, (what, unit) in WHATS.items()
    ]  # fmt: skip


if __name__ == "__main__":
    merge(rows())
