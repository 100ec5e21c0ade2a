"""Rule 4: the share of work that an instance gets while it warms up after its start.

Decides without I/O, by this gateway's own requests alone.
"""

from __future__ import annotations

from random import Random

from linenbridge.interface import SECOND, Startup
from linenbridge.policy.load_shedding import LoadShedder
from linenbridge.state.fleet import Fleet

FLEET_SIZE_TIME_CONSTANT = 30 * SECOND  # time constant of the fleet's mean size, in microseconds
RESERVED_MULTIPLE = 0.9  # of the allowed multiple, set aside for chance and retries
MIN_MULTIPLE = 0.3  # left of the allowed multiple at least
MIN_SHED_FACTOR = 0.2  # of the allowance, however much is shed


class SlowStart:
    """The allowance of each instance that is warming up."""

    def __init__(self, startup: Startup, fleet: Fleet, shedder: LoadShedder, random: Random) -> None:
        allowances = startup.allowances
        self.fleet = fleet
        self.shedder = shedder
        self.random = random
        self.duration = allowances.slow_start_duration  # microseconds
        self.min_fraction = allowances.slow_start_floor
        self.multiple = max(MIN_MULTIPLE, allowances.slow_start_multiple - RESERVED_MULTIPLE)
        self.admitted_cost = 0.0  # in requests of mean work, since the start

    def admit(self, cost: float) -> None:
        """A new request is scheduled: it earns every warming instance a part of an attempt."""
        self.admitted_cost += cost

    def capacity_fraction(self, instance_index: int, now: int) -> float:
        """The least share of its capacity that an instance has at that time."""
        age = now - self.fleet.started_at[instance_index]
        if age >= self.duration:
            return 1.0
        return self.min_fraction + (1 - self.min_fraction) * max(0, age) / self.duration

    def has_allowance(self, now: int, instance_index: int) -> bool:
        """Whether the instance may get one more attempt now.

        Of this gateway's work a warming instance gets no more than its size and capacity fraction give it,
        times the allowed multiple less what is set aside. The allowance is earned by each request admitted,
        not by time, and the less the more is shed.
        """
        fraction = self.capacity_fraction(instance_index, now)
        if fraction >= 1.0:
            return True
        fleet = self.fleet
        share = self.multiple * fraction * max(MIN_SHED_FACTOR, 1 - self.shedder.level)
        share *= fleet.size[instance_index] / fleet.mean_ready_size
        if fleet.slow_start_mark[instance_index] < 0.0:
            # Drawn: else the first attempts of hundreds of gateways, or of light requests, would meet here.
            fleet.slow_start_tokens[instance_index] = self.random.random()
            fleet.slow_start_mark[instance_index] = self.admitted_cost
        earned = share * (self.admitted_cost - fleet.slow_start_mark[instance_index])
        tokens = min(1.0, fleet.slow_start_tokens[instance_index] + earned)
        fleet.slow_start_tokens[instance_index] = tokens
        fleet.slow_start_mark[instance_index] = self.admitted_cost
        return tokens >= 1.0

    def on_attempt_sent(self, now: int, instance_index: int, cost: float) -> None:
        """An attempt goes to the instance."""
        if self.capacity_fraction(instance_index, now) < 1.0:
            self.fleet.slow_start_tokens[instance_index] -= cost
