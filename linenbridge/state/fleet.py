"""The instances of the endpoint list as parallel columns under a dense index, and weighted random draws.

This module holds state and does no I/O. `linenbridge.policy` selects instances and sets the time constants.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable, Sequence
from itertools import accumulate
from math import exp
from random import Random
from zlib import crc32

from linenbridge.interface import EndpointEntry, Id, InstanceState
from linenbridge.state.free_indices import FreeIndices
from linenbridge.state.ready_order import ReadyOrder

MIN_SIZE = 1e-6  # of an instance; a smaller size in the list, such as zero, is raised to this


def draw(random: Random, items: list[int], cumulative_weights: Sequence[float]) -> int:
    """Return one random item by weight, given cumulative weights: `random.choices` without its checks."""
    point = random.random() * cumulative_weights[-1]
    return items[bisect(cumulative_weights, point, 0, len(cumulative_weights) - 1)]


def draw_two(random: Random, items: list[int], weights: list[float]) -> tuple[int, int]:
    """Return two independent draws by weight; both may be the same item."""
    cumulative_weights = list(accumulate(weights))
    return draw(random, items, cumulative_weights), draw(random, items, cumulative_weights)


class Fleet:
    """The state of each instance; an instance keeps its index while it is listed or in use.

    `ready_by_build` lists the ready instances of each build, ordered by a checksum of the gateway's number
    and the instance's id. The order differs from gateway to gateway; for one gateway it is the same after a
    restart and does not depend on the other instances that are listed. Times are in microseconds.
    """

    def __init__(self, gateway_number: int, now: int) -> None:
        self.gateway_number = gateway_number
        self.index: dict[Id, int] = {}
        # From the endpoint list.
        self.ids: list[Id] = []
        self.build: list[int] = []
        self.zone: list[str] = []
        self.cell: list[Id] = []
        self.state: list[int] = []
        self.size: list[float] = []
        self.started_at: list[int] = []
        # Requests in flight and responses.
        self.in_flight: list[int] = []
        self.busy_since: list[int] = []
        self.last_response_at: list[int] = []
        self.mean_response_gap: list[float] = []
        self.in_flight_at_response: list[int] = []  # after the last response; 0 after a send while idle
        self.failure_rate: list[float] = []
        # Load from other gateways, according to the instances' load reports.
        self.external_load: list[float] = []
        self.external_load_at: list[int] = []
        self.mean_external_load = 0.0  # per unit of size
        # Updated by `concurrency_limits`, `outlier_detection` and `slow_start` of `linenbridge.policy`.
        self.concurrency_limit: list[float] = []
        self.limit_reduced_at: list[int] = []
        self.consecutive_failures: list[int] = []
        self.ejected_until: list[int] = []
        self.slow_start_tokens: list[float] = []
        self.slow_start_mark: list[float] = []  # admitted cost at the last refill; negative before the first
        # Orders of the ready instances.
        self.rank: list[int] = []
        self.mean_ready_size = 0.0
        self.listed_at = now
        self.free = FreeIndices()
        self.order = ReadyOrder(self.build, self.size, self.state, self.rank)
        self.ready = self.order.ready
        self.cumulative_sizes = self.order.cumulative_sizes
        self.ready_by_build = self.order.by_build

    def update(
        self,
        entries: Iterable[EndpointEntry],
        *,
        is_snapshot: bool,
        response_gap: float,
        concurrency_limit: float,
        used: set[int],
    ) -> None:
        """Apply an endpoint list; a snapshot removes the instances that it leaves out.

        New and restarted instances start with the given mean response gap and concurrency limit. A new
        instance takes the index of a removed instance that is not in `used`, so that new ids do not make the
        columns grow. An unchanged entry costs only a comparison, since only changes update the orders.
        """
        listed = set[Id]()
        self.free.begin(len(self.ids))
        self.order.begin()
        for entry in entries:
            if is_snapshot:
                listed.add(entry.instance)
            known_index = self.index.get(entry.instance)
            if known_index is not None:
                self._change(known_index, entry, response_gap, concurrency_limit)
            elif entry.state != InstanceState.REMOVED:
                added_index = self._add(entry.instance, self.free.assign(self.state, used))
                self._reset(added_index, entry, response_gap, concurrency_limit)
                self._change(added_index, entry, response_gap, concurrency_limit)
        if is_snapshot:
            for instance, instance_index in self.index.items():
                if instance not in listed:
                    self._remove(instance_index)
        self.order.finish()
        self.free.finish()

    def _change(
        self, instance_index: int, entry: EndpointEntry, response_gap: float, concurrency_limit: float
    ) -> None:
        """Apply the entry of a known instance."""
        size = self.size[instance_index]
        was_ready = self.state[instance_index] == InstanceState.READY
        is_ready = entry.state == InstanceState.READY
        stays_ready = was_ready and is_ready and entry.build == self.build[instance_index]
        if entry.state == InstanceState.REMOVED:
            self._remove(instance_index)
        elif was_ready and not stays_ready:
            self.order.remove(instance_index)
        if is_ready and (
            entry.started_at != self.started_at[instance_index] or entry.build != self.build[instance_index]
        ):
            self._reset(instance_index, entry, response_gap, concurrency_limit)
        self.state[instance_index] = entry.state
        self.zone[instance_index] = entry.zone
        self.cell[instance_index] = entry.cell
        self.size[instance_index] = max(entry.size, MIN_SIZE)
        if is_ready and not stays_ready:
            self.order.add(instance_index)
        elif stays_ready and self.size[instance_index] != size:
            self.order.resize(instance_index)

    def _remove(self, instance_index: int) -> None:
        """Mark the instance as removed; its index may be assigned to another instance."""
        if self.state[instance_index] == InstanceState.READY:
            self.order.remove(instance_index)
        if self.state[instance_index] != InstanceState.REMOVED:
            self.free.release(instance_index)
        self.state[instance_index] = InstanceState.REMOVED

    def _add(self, instance: Id, free_index: int | None) -> int:
        """Assign the free index, or a new one at the end, to an instance and return the index.

        The instance's columns get their initial values.
        """
        instance_index = len(self.ids) if free_index is None else free_index
        if free_index is not None:
            del self.index[self.ids[instance_index]]
        self.index[instance] = instance_index
        rank = crc32(f"{self.gateway_number}/{instance}".encode()) << 32 | instance_index
        columns: list[tuple[list, object]] = [
            (self.ids, instance),
            (self.build, 0),
            (self.zone, ""),
            (self.cell, 0),
            (self.state, InstanceState.REMOVED),
            (self.size, 1.0),
            (self.started_at, 0),
            (self.in_flight, 0),
            (self.busy_since, 0),
            (self.last_response_at, 0),
            (self.mean_response_gap, 0.0),
            (self.in_flight_at_response, 0),
            (self.failure_rate, 0.0),
            (self.external_load, 0.0),
            (self.external_load_at, 0),
            (self.concurrency_limit, 0.0),
            (self.limit_reduced_at, 0),
            (self.consecutive_failures, 0),
            (self.ejected_until, 0),
            (self.slow_start_tokens, 0.0),
            (self.slow_start_mark, -1.0),
            (self.rank, rank),
        ]
        for column, value in columns:
            column[instance_index : instance_index + 1] = [value]
        return instance_index

    def _reset(
        self, instance_index: int, entry: EndpointEntry, response_gap: float, concurrency_limit: float
    ) -> None:
        """Reset the figures of an instance: a new process inherits none from the previous process."""
        self.build[instance_index] = entry.build
        self.started_at[instance_index] = entry.started_at
        self.size[instance_index] = max(entry.size, MIN_SIZE)
        self.mean_response_gap[instance_index] = response_gap
        self.concurrency_limit[instance_index] = concurrency_limit
        self.failure_rate[instance_index] = 0.0
        self.consecutive_failures[instance_index] = 0
        self.ejected_until[instance_index] = 0
        self.external_load[instance_index] = 0.0
        self.slow_start_tokens[instance_index] = 0.0
        self.slow_start_mark[instance_index] = -1.0

    def on_sent(self, instance_index: int, now: int) -> None:
        """Count one more attempt in flight at the instance."""
        if not self.in_flight[instance_index]:
            self.busy_since[instance_index] = now
            self.in_flight_at_response[instance_index] = 0
        self.in_flight[instance_index] += 1

    def on_finished(self, instance_index: int) -> None:
        """Count one fewer attempt in flight at the instance."""
        self.in_flight[instance_index] = max(0, self.in_flight[instance_index] - 1)

    def silence(self, instance_index: int, now: int) -> int:
        """Return how long an instance with attempts in flight has not responded."""
        return now - max(self.last_response_at[instance_index], self.busy_since[instance_index])

    def is_silent_since(self, instance_index: int, sent_at: int) -> bool:
        """Return whether the instance has not responded to this gateway since `sent_at`."""
        return self.last_response_at[instance_index] < sent_at

    def on_response(self, instance_index: int, now: int, weight: float) -> None:
        """Record a response of the instance; `weight` is the weight of the new gap in the mean.

        The mean gap is scaled to one request in flight. If several requests have been in flight since the
        previous response, the next response arrives that much sooner; without the scaling, a single request
        after an ejection would be judged by the shorter gap between the responses of several.
        """
        gap = self.silence(instance_index, now) * self.concurrency(
            instance_index, self.in_flight[instance_index] + 1
        )
        self.mean_response_gap[instance_index] += (gap - self.mean_response_gap[instance_index]) * weight
        self.last_response_at[instance_index] = now
        self.in_flight_at_response[instance_index] = self.in_flight[instance_index]
        self.consecutive_failures[instance_index] = 0
        self.ejected_until[instance_index] = 0

    def concurrency(self, instance_index: int, in_flight: int) -> int:
        """Return how many of the requests in flight were already in flight at the last response, at least 1.

        Requests sent while the instance was idle do not count: two requests sent together are both answered
        after one service time, not after half of it.
        """
        return max(1, min(self.in_flight_at_response[instance_index], in_flight))

    def on_load_report(self, instance_index: int, now: int, in_flight: float, weight: float) -> None:
        """Update the load of other gateways at the instance, and the fleet's mean of it per unit of size."""
        self.external_load[instance_index] = max(0.0, in_flight - self.in_flight[instance_index])
        self.external_load_at[instance_index] = now
        load = self.external_load[instance_index] / self.size[instance_index]
        self.mean_external_load += (load - self.mean_external_load) * weight

    def expected_external_load(self, instance_index: int, now: int, time_constant: int) -> float:
        """Return the expected load of other gateways: the last report, decaying to the fleet's mean."""
        mean = self.mean_external_load * self.size[instance_index]
        negative_age = self.external_load_at[instance_index] - now
        return mean + (self.external_load[instance_index] - mean) * exp(negative_age / time_constant)

    def recent_failure_rate(self, instance_index: int, now: int, time_constant: int) -> float:
        """Return the share of the instance's last responses that were errors or rejections.

        The share decays while the instance does not respond.
        """
        negative_age = self.last_response_at[instance_index] - now
        return self.failure_rate[instance_index] * exp(negative_age / time_constant)

    def update_ready_size(self, now: int, time_constant: int) -> None:
        """Update the decaying mean of the total size of the ready instances, after an endpoint list."""
        size = self.cumulative_sizes[-1] if self.cumulative_sizes else 0.0
        remaining = exp((self.listed_at - now) / time_constant) if self.mean_ready_size else 0.0
        self.mean_ready_size = self.mean_ready_size * remaining + size * (1 - remaining)
        self.listed_at = now
