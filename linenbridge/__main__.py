"""One real gateway: `python -m linenbridge`; with arguments, the command line (`linenbridge.cli`).

Owns what has to happen before anything else is imported. It must never hold any part of a process.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the platform's gateway, or with arguments the command line; return the exit code."""
    # A SIGHUP ends the process where no handler stands: it waits until one does, and again at the end.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    if len(sys.argv) > 1:
        from linenbridge.cli.commands import run  # Its libraries are none of the platform's gateway.

        return run()
    # The platform's gateway speaks no TLS: Twisted takes the library up wherever it finds it, for 8 MB.
    sys.modules.setdefault("OpenSSL", None)  # type: ignore[arg-type]
    from linenbridge.process.gateway import main as run_gateway

    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
