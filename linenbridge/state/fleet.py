"""The fleet as parallel arrays under a dense index.

Keeps state without I/O. It must never choose among instances, nor hold how fast its figures are forgotten.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable, Sequence
from itertools import accumulate
from math import exp
from random import Random
from zlib import crc32

from linenbridge.interface import InstanceState, Id, EndpointEntry
from linenbridge.state.free_indices import FreeIndices
from linenbridge.state.ready_order import ReadyOrder


def draw(random: Random, items: list[int], sums: Sequence[float]) -> int:
    """One item by weight, given the running sums of the weights: `random.choices` less its checks."""
    return items[bisect(sums, random.random() * sums[-1], 0, len(sums) - 1)]


def draw_two(random: Random, items: list[int], weights: list[float]) -> tuple[int, int]:
    """Two draws by weight; they may be the same item."""
    sums = list(accumulate(weights))
    return draw(random, items, sums), draw(random, items, sums)


class Fleet:
    """Per-instance figures; an instance keeps its index while it is listed or in use. `near` lists the ready
    ones of a build in an order of this gateway's own, the same after a restart, whatever else is listed."""

    def __init__(self, number: int, now: int) -> None:
        self.number = number
        self.index: dict[Id, int] = {}
        self.ids: list[Id] = []
        self.build: list[int] = []
        self.zone: list[str] = []
        self.cell: list[Id] = []
        self.state: list[int] = []
        self.size: list[float] = []
        self.started_at: list[int] = []
        self.out: list[int] = []
        self.busy_since: list[int] = []
        self.last_reply: list[int] = []
        self.gap: list[float] = []
        self.behind: list[int] = []
        self.failing: list[float] = []
        self.limit: list[float] = []
        self.cut_at: list[int] = []
        self.strikes: list[int] = []
        self.shun_until: list[int] = []
        self.others: list[float] = []
        self.reported_at: list[int] = []
        self.slow_start_tokens: list[float] = []
        self.slow_start_mark: list[float] = []
        self.others_mean = 0.0
        self.usual_size, self.listed_at = 0.0, now
        self.rank: list[int] = []
        self.free = FreeIndices()
        self.order = ReadyOrder(self.build, self.size, self.state, self.rank)
        self.ready, self.sums, self.near = self.order.ready, self.order.sums, self.order.near

    def update(
        self, entries: Iterable[EndpointEntry], whole: bool, gap: float, limit: float, used: set[int]
    ) -> None:
        """Take in a list; an instance that a whole list leaves out is gone. A new one takes the index of one
        that is gone, unless that is among those `used`, so that no run of new ids makes the arrays grow.
        What the list leaves as it was costs a look; only what it changes is put in order anew."""
        named = set[Id]()
        self.free.begin(len(self.ids))
        self.order.begin()
        for entry in entries:
            if whole:
                named.add(entry.instance)
            i = self.index.get(entry.instance)
            if i is not None:
                self._change(i, entry, gap, limit)
            elif entry.state != InstanceState.REMOVED:
                i = self._add(entry.instance, self.free.take(self.state, used))
                self._reset(i, entry, gap, limit)
                self._change(i, entry, gap, limit)
        if whole:
            for instance, i in self.index.items():
                if instance not in named:
                    self._gone(i)
        self.order.finish()
        self.free.finish()

    def _change(self, i: int, entry: EndpointEntry, gap: float, limit: float) -> None:
        """What the list says of a known instance."""
        size, listed = self.size[i], self.state[i] == InstanceState.READY
        stays = listed and entry.state == InstanceState.READY and entry.build == self.build[i]
        if entry.state == InstanceState.REMOVED:
            self._gone(i)
        elif listed and not stays:
            self.order.remove(i)
        if entry.state == InstanceState.READY and (entry.started_at, entry.build) != (
            self.started_at[i],
            self.build[i],
        ):
            self._reset(i, entry, gap, limit)
        self.state[i], self.zone[i], self.cell[i] = entry.state, entry.zone, entry.cell
        self.size[i] = max(entry.size, 1e-6)
        if entry.state == InstanceState.READY and not stays:
            self.order.add(i)
        elif stays and self.size[i] != size:
            self.order.resize(i)

    def _gone(self, i: int) -> None:
        """The instance is there no more; its index may be given to another one."""
        if self.state[i] == InstanceState.READY:
            self.order.remove(i)
        if self.state[i] != InstanceState.REMOVED:
            self.free.release(i)
        self.state[i] = InstanceState.REMOVED

    def _add(self, instance: Id, free: int | None) -> int:
        i = len(self.ids) if free is None else free
        if free is not None:
            del self.index[self.ids[i]]
        self.index[instance] = i
        arrays: list[tuple[list, object]] = [
            (self.build, 0),
            (self.zone, ""),
            (self.cell, 0),
            (self.state, InstanceState.REMOVED),
            (self.size, 1.0),
            (self.started_at, 0),
            (self.out, 0),
            (self.busy_since, 0),
            (self.last_reply, 0),
            (self.gap, 0.0),
            (self.behind, 0),
            (self.failing, 0.0),
            (self.limit, 0.0),
            (self.cut_at, 0),
            (self.strikes, 0),
            (self.shun_until, 0),
            (self.others, 0.0),
            (self.reported_at, 0),
            (self.slow_start_tokens, 0.0),
            (self.slow_start_mark, -1.0),
            (self.rank, crc32(f"{self.number}/{instance}".encode()) << 32 | i),
            (self.ids, instance),
        ]
        for array, empty in arrays:
            array[i : i + 1] = [empty]
        return i

    def _reset(self, i: int, entry: EndpointEntry, gap: float, limit: float) -> None:
        """A process that starts anew inherits nothing from the one before it."""
        self.build[i], self.started_at[i], self.size[i] = entry.build, entry.started_at, max(entry.size, 1e-6)
        self.gap[i], self.limit[i] = gap, limit
        self.failing[i], self.strikes[i], self.shun_until[i] = 0.0, 0, 0
        self.others[i], self.slow_start_tokens[i], self.slow_start_mark[i] = 0.0, 0.0, -1.0

    def sent(self, i: int, now: int) -> None:
        if not self.out[i]:
            self.busy_since[i], self.behind[i] = now, 0
        self.out[i] += 1

    def silence(self, i: int, now: int) -> int:
        """How long an instance with something out has not answered."""
        return now - max(self.last_reply[i], self.busy_since[i])

    def answered(self, i: int, now: int, weight: float) -> None:
        """The gap is kept for one RPC in flight: where several have been out since the answer before, the
        next comes that much sooner, and a single one after a strike must not look silent to their pace."""
        self.gap[i] += (self.silence(i, now) * self.flow(i, self.out[i] + 1) - self.gap[i]) * weight
        self.last_reply[i], self.behind[i] = now, self.out[i]
        self.strikes[i], self.shun_until[i] = 0, 0

    def flow(self, i: int, out: int) -> int:
        """How many of those out have been so all through the present silence. What was sent to an idle
        instance is no flow: two sent together are both answered one service time later, not half of one."""
        return max(1, min(self.behind[i], out))

    def reported(self, i: int, now: int, in_flight: float, weight: float) -> None:
        """A load report: what others have there, and the fleet's mean of that for its size."""
        self.others[i], self.reported_at[i] = max(0.0, in_flight - self.out[i]), now
        self.others_mean += (self.others[i] / self.size[i] - self.others_mean) * weight

    def others_now(self, i: int, now: int, memory: int) -> float:
        """What others are likely to have there: the last report, forgotten in favour of the fleet's mean."""
        usual = self.others_mean * self.size[i]
        return usual + (self.others[i] - usual) * exp((self.reported_at[i] - now) / memory)

    def failing_now(self, i: int, now: int, memory: int) -> float:
        """Share of an instance's last answers that were errors or refusals; forgotten when left alone."""
        return self.failing[i] * exp((self.last_reply[i] - now) / memory)

    def listed(self, now: int, memory: int) -> None:
        """The size of all that are ready, of late."""
        ready = self.sums[-1] if self.sums else 0.0
        keep = exp((self.listed_at - now) / memory) if self.usual_size else 0.0
        self.usual_size, self.listed_at = self.usual_size * keep + ready * (1 - keep), now
