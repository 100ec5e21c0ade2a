"""The fleet's clock: whole microseconds that also pass while the machine sleeps.

Owns which clock that is. It must never be compared with another member's reading.
"""

from __future__ import annotations

import time


def now() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
