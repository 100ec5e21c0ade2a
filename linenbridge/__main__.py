"""Entry point of `python -m linenbridge`: a gateway, or with arguments the command line (`linenbridge.cli`).

Owns what has to happen before any other import. Contains no part of a process itself.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the platform's gateway, or with arguments the command line; return the exit code."""
    # Without a handler SIGHUP would end the process. While it is blocked it stays pending: `lifecycle.run`
    # unblocks it once its handler is installed, and blocks it again at the end.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    if len(sys.argv) > 1:
        from linenbridge.cli.commands import run  # not at the top: the gateway needs none of its libraries

        return run()
    # The platform's gateway uses no TLS. Twisted imports OpenSSL wherever it is installed, which takes 8 MB.
    sys.modules.setdefault("OpenSSL", None)  # type: ignore[arg-type]
    from linenbridge.process.gateway import main as run_gateway

    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
