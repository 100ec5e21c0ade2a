"""One member as an operator starts it, with a clock that runs at another rate where the test says so.

`LB_TEST_RATE` stands in for a machine whose clock is fast or slow; the program itself knows no such thing.
"""

from __future__ import annotations

import os
import sys

from linenbridge.cli.commands import run
from linenbridge.peering import clock

rate, plain = float(os.environ.get("LB_TEST_RATE", "1")), clock.now
began = plain()
clock.now = lambda: began + int((plain() - began) * rate)

if __name__ == "__main__":
    sys.exit(run())
