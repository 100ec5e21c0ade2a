"""Rule 4: the share of work that an instance gets while it warms up after its start.

The share depends only on the requests of this gateway.
"""

from __future__ import annotations

from random import Random

from linenbridge.interface import SECOND, Startup
from linenbridge.policy.load_shedding import LoadShedder
from linenbridge.state.fleet import Fleet

FLEET_SIZE_TIME_CONSTANT = 30 * SECOND  # microseconds; of the fleet's mean size
RESERVED_MULTIPLE = 0.9  # of the allowed multiple; reserved for random variation and retries
MIN_MULTIPLE = 0.3  # lower bound of the multiple without the reserve
MIN_SHED_FACTOR = 0.2  # lower bound of the factor by which load shedding reduces the allowance


class SlowStart:
    """The allowance of each instance in slow start."""

    def __init__(self, startup: Startup, fleet: Fleet, shedder: LoadShedder, random: Random) -> None:
        allowances = startup.allowances
        self.fleet = fleet
        self.shedder = shedder
        self.random = random
        self.duration = allowances.slow_start_duration  # microseconds
        self.min_fraction = allowances.slow_start_floor
        self.multiple = max(MIN_MULTIPLE, allowances.slow_start_multiple - RESERVED_MULTIPLE)
        self.admitted_cost = 0.0  # in requests of mean work, since this gateway's start

    def admit(self, cost: float) -> None:
        """Count the cost of a new request, which adds to the allowance of every instance in slow start."""
        self.admitted_cost += cost

    def capacity_fraction(self, instance_index: int, now: int) -> float:
        """Return the minimum fraction of its capacity that an instance has at the time `now`."""
        age = now - self.fleet.started_at[instance_index]
        if age >= self.duration:
            return 1.0
        return self.min_fraction + (1 - self.min_fraction) * max(0, age) / self.duration

    def has_allowance(self, now: int, instance_index: int) -> bool:
        """Return whether the instance may get one more attempt now.

        An instance in slow start gets at most the share of this gateway's work that corresponds to its size
        and capacity fraction, times the allowed multiple less the reserve. Admitted requests, not time, add
        to the allowance, and they add less the more requests are shed.
        """
        fraction = self.capacity_fraction(instance_index, now)
        if fraction >= 1.0:
            return True
        fleet = self.fleet
        share = self.multiple * fraction * max(MIN_SHED_FACTOR, 1 - self.shedder.level)
        share *= fleet.size[instance_index] / fleet.mean_ready_size
        if fleet.slow_start_mark[instance_index] < 0.0:
            # The initial tokens are random: otherwise the first attempts of hundreds of gateways, or those of
            # light requests, would arrive at the instance at once.
            fleet.slow_start_tokens[instance_index] = self.random.random()
            fleet.slow_start_mark[instance_index] = self.admitted_cost
        earned = share * (self.admitted_cost - fleet.slow_start_mark[instance_index])
        tokens = min(1.0, fleet.slow_start_tokens[instance_index] + earned)
        fleet.slow_start_tokens[instance_index] = tokens
        fleet.slow_start_mark[instance_index] = self.admitted_cost
        return tokens >= 1.0

    def on_attempt_sent(self, now: int, instance_index: int, cost: float) -> None:
        """Reduce the allowance of an instance in slow start by the cost of an attempt."""
        if self.capacity_fraction(instance_index, now) < 1.0:
            self.fleet.slow_start_tokens[instance_index] -= cost
