"""Run one member as an operator does, with a clock whose rate the test can set.

`LB_TEST_RATE` simulates a machine whose clock runs fast or slow; the program itself does not read it.
"""

from __future__ import annotations

import os
import sys

from linenbridge.cli.commands import run
from linenbridge.peering import clock

rate = float(os.environ.get("LB_TEST_RATE", "1"))
machine_clock = clock.now
started_at = machine_clock()
clock.now = lambda: started_at + int((machine_clock() - started_at) * rate)

if __name__ == "__main__":
    sys.exit(run())
