"""Durations of leases: how long a holder may act, how long an acceptor keeps a place from others.

Decides without I/O. Readings of two clocks must never be compared: only durations are, corrected by the
bound on clock drift.
"""

from __future__ import annotations

from typing import NamedTuple

PARTS = 1_000_000  # `apart` is in millionths


class Pace(NamedTuple):
    """The durations in the settings, in microseconds. `apart` bounds the drift between two clocks, in
    millionths."""

    length: int  # of a lease, on the acceptor's clock, from its accepting
    longest: int  # what no member's settings may exceed
    apart: int
    beat: int  # between two rounds of asking


def acts_until(pace: Pace, asked: int) -> int:
    """When a lease ends on the holder's clock, counted from when the request was sent, with the drift
    taken off."""
    return asked + pace.length - -(-pace.length * pace.apart // PARTS)


def stands_aside(pace: Pace) -> int:
    """How long an acceptor that may have lost records waits: the longest lease plus the drift."""
    return pace.longest + -(-pace.longest * pace.apart // PARTS)


def heard_left(pace: Pace, left: int) -> int:
    """The time left of a lease by another acceptor's word, plus the drift of this one's clock."""
    return left + -(-left * pace.apart // PARTS)


def patience(pace: Pace) -> int:
    """How long a waiting member keeps its position without sending a request."""
    return 3 * pace.beat
