"""The clock of leases and of the distribution: whole microseconds that also pass while the machine sleeps.

Readings of two machines' clocks are never compared; only durations are.
"""

from __future__ import annotations

import time


def now() -> int:
    """Microseconds of `CLOCK_BOOTTIME`."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
