"""Time in leases: how long a holder may act, how long an acceptor keeps a place from others.

Decides without I/O. It must never compare readings of two clocks: lengths only, with the part by which
clocks may run apart on the holder's side.
"""

from __future__ import annotations

from typing import NamedTuple

PARTS = 1_000_000  # `apart` is in millionths


class Pace(NamedTuple):
    """What the settings say of times, all in microseconds but `apart`: two clocks run apart by at most so
    many millionths of the time that either shows."""

    length: int  # of a lease, on the acceptor's clock, from its accepting
    longest: int  # what no member's settings may exceed
    apart: int
    beat: int  # between two rounds of asking


def acts_until(pace: Pace, asked: int) -> int:
    """On the holder's clock: it asked at `asked`, acceptors counted from later and by clocks that may be
    faster."""
    return asked + pace.length - -(-pace.length * pace.apart // PARTS)


def stands_aside(pace: Pace) -> int:
    """How long an acceptor that may have forgotten waits: on a clock that may be faster than any holder's."""
    return pace.longest + -(-pace.longest * pace.apart // PARTS)


def heard_left(pace: Pace, left: int) -> int:
    """What another acceptor says is left of a lease, on this acceptor's clock."""
    return left + -(-left * pace.apart // PARTS)


def patience(pace: Pace) -> int:
    """How long one that waits keeps its turn without being heard."""
    return 3 * pace.beat
