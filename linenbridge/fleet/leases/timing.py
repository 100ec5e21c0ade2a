"""Durations of leases: how long a holder may act, how long an acceptor keeps a slot from other members.

Decides without I/O. Readings of two clocks are never compared; only durations are, corrected by the bound on
clock drift. The rule is that of Gray and Cheriton, "Leases" (1989), section 2.
"""

from __future__ import annotations

from typing import NamedTuple

PARTS_PER_MILLION = 1_000_000
QUEUE_TIMEOUT_HEARTBEATS = 3


class LeaseTiming(NamedTuple):
    """The durations of the settings, in microseconds, and the bound on clock drift."""

    lease: int  # length of a lease on the acceptor's clock, from the moment of the grant
    max_lease: int  # upper bound of every member's `lease`
    clock_drift_ppm: int  # upper bound of the drift between two members' clocks
    heartbeat: int  # between two requests of a proposer


def lease_expiry(timing: LeaseTiming, sent_at: int) -> int:
    """Return when a lease ends on the holder's clock.

    It is counted from the moment at which the holder sent the request, and is shorter than on the acceptor's
    clock by the drift.
    """
    return sent_at + timing.lease - _drift(timing, timing.lease)


def restart_wait(timing: LeaseTiming) -> int:
    """Return how long an acceptor that may have lost records waits: the longest lease plus the drift."""
    return timing.max_lease + _drift(timing, timing.max_lease)


def remaining_with_drift(timing: LeaseTiming, remaining: int) -> int:
    """Return the time left of a lease on this clock, from the time left on another acceptor's clock."""
    return remaining + _drift(timing, remaining)


def queue_timeout(timing: LeaseTiming) -> int:
    """Return how long a waiting member that sends no request keeps its position in the queue."""
    return QUEUE_TIMEOUT_HEARTBEATS * timing.heartbeat


def _drift(timing: LeaseTiming, duration: int) -> int:
    """Return the most that two clocks drift apart in a duration, rounded up."""
    return -(-duration * timing.clock_drift_ppm // PARTS_PER_MILLION)
