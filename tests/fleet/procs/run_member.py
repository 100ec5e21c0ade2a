"""One member as an operator starts it, with a clock that runs at another rate where the test says so.

`LB_TEST_RATE` takes the place of a machine whose clock runs fast or slow; the program does not read it.
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
