"""Run the adapter: `python -m linenbridge.simulator`."""

from __future__ import annotations

import sys

from linenbridge.simulator.adapter import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
