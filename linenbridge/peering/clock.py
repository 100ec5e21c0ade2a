"""The clock of leases and of the distribution, in whole microseconds; it also runs while the machine sleeps.

Readings of two machines' clocks are never compared; only durations are.
"""

from __future__ import annotations

import time


def now() -> int:
    """Return the time of `CLOCK_BOOTTIME` in microseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
