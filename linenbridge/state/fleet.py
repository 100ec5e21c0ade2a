"""The fleet as parallel arrays under a dense index."""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from linenbridge.interface import GONE, READY, ListEntry


class Fleet:
    """Per-instance figures; an instance keeps its index for the life of the gateway. `near` lists the ready
    ones of a build in an order of this gateway's own, the same after a restart, whatever else is listed."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.index: dict[int, int] = {}
        self.ids: list[int] = []
        self.build: list[int] = []
        self.zone: list[str] = []
        self.cell: list[int] = []
        self.state: list[int] = []
        self.size: list[float] = []
        self.started: list[int] = []
        self.out: list[int] = []
        self.busy_since: list[int] = []
        self.last_reply: list[int] = []
        self.gap: list[float] = []
        self.failing: list[float] = []
        self.limit: list[float] = []
        self.cut_at: list[int] = []
        self.strikes: list[int] = []
        self.shun_until: list[int] = []
        self.others: list[float] = []
        self.reported_at: list[int] = []
        self.cold_tokens: list[float] = []
        self.cold_mark: list[float] = []
        self.rank: list[int] = []
        self.ready: list[int] = []
        self.sizes: list[float] = []
        self.near: dict[int, list[int]] = {}

    def update(self, entries: Iterable[ListEntry], whole: bool, gap: float, limit: float) -> None:
        """Take in a list; an instance that a whole list leaves out is gone."""
        named = set()
        for entry in entries:
            named.add(entry.instance)
            i = self.index.get(entry.instance)
            if i is None:
                i = self._add(entry.instance)
                self._reset(i, entry, gap, limit)
            elif entry.state == READY and (entry.started, entry.build) != (self.started[i], self.build[i]):
                self._reset(i, entry, gap, limit)
            self.state[i], self.zone[i], self.cell[i] = entry.state, entry.zone, entry.cell
            self.size[i] = max(entry.size, 1e-6)
        if whole:
            for instance, i in self.index.items():
                if instance not in named:
                    self.state[i] = GONE
        self.ready = [i for i, state in enumerate(self.state) if state == READY]
        self.sizes = [self.size[i] for i in self.ready]
        self.near = {build: [] for build in sorted({self.build[i] for i in self.ready})}
        for i in sorted(self.ready, key=self.rank.__getitem__):
            self.near[self.build[i]].append(i)

    def _add(self, instance: int) -> int:
        i = self.index[instance] = len(self.ids)
        self.rank.append(crc32(f"{self.number}/{instance}".encode()))
        self.ids.append(instance)
        for array, empty in (
            (self.build, 0), (self.zone, ""), (self.cell, 0), (self.state, GONE), (self.size, 1.0),
            (self.started, 0), (self.out, 0), (self.busy_since, 0), (self.last_reply, 0), (self.gap, 0.0),
            (self.failing, 0.0), (self.limit, 0.0), (self.cut_at, 0), (self.strikes, 0),
            (self.shun_until, 0), (self.others, 0.0), (self.reported_at, 0), (self.cold_tokens, 0.0),
            (self.cold_mark, -1.0),
        ):  # fmt: skip
            array.append(empty)
        return i

    def _reset(self, i: int, entry: ListEntry, gap: float, limit: float) -> None:
        """A process that starts anew inherits nothing from the one before it."""
        self.build[i], self.started[i], self.size[i] = entry.build, entry.started, max(entry.size, 1e-6)
        self.gap[i], self.limit[i] = gap, limit
        self.failing[i], self.strikes[i], self.shun_until[i] = 0.0, 0, 0
        self.others[i], self.cold_tokens[i], self.cold_mark[i] = 0.0, 0.0, -1.0
