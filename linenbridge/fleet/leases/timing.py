"""Durations of leases: how long a holder may act, how long an acceptor keeps a place from others.

Decides without I/O. Readings of two clocks must never be compared: only durations are, corrected by the
bound on clock drift.
"""

from __future__ import annotations

from typing import NamedTuple

PPM = 1_000_000  # clock drift is in millionths


class LeaseTiming(NamedTuple):
    """The durations in the settings, in microseconds. `clock_drift_ppm`
    bounds the drift between two clocks, in
    millionths."""

    lease: int  # of a lease, on the acceptor's clock, from its accepting
    max_lease: int  # what no member's settings may exceed
    clock_drift_ppm: int
    heartbeat: int  # between two rounds of asking


def lease_expiry(timing: LeaseTiming, sent_at: int) -> int:
    """When a lease ends on the holder's clock, counted from when the request was sent, with the drift
    taken off."""
    return sent_at + timing.lease - -(-timing.lease * timing.clock_drift_ppm // PPM)


def restart_wait(timing: LeaseTiming) -> int:
    """How long an acceptor that may have lost records waits: the longest lease plus the drift."""
    return timing.max_lease + -(-timing.max_lease * timing.clock_drift_ppm // PPM)


def remaining_with_drift(timing: LeaseTiming, remaining: int) -> int:
    """The time left of a lease by another acceptor's word, plus the drift of this one's clock."""
    return remaining + -(-remaining * timing.clock_drift_ppm // PPM)


def queue_timeout(timing: LeaseTiming) -> int:
    """How long a waiting member keeps its position without sending a request."""
    return 3 * timing.heartbeat
