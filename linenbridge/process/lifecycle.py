"""A process between the end of its start and its exit: signals, the garbage collector and the reactor.

Owns the signal handlers, and when SIGHUP is blocked. Does not depend on what the process serves.
"""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.main import installReactor
from twisted.logger import globalLogBeginner

from linenbridge.logging.event_log import Log
from linenbridge.net.reactor import Reactor

# Allocations before a collection, and collections before one of the next generation. A request leaves no
# reference cycles, but every closed connection does (Twisted's connector and transport), and most of these
# have reached an old generation when the connection closes.
COLLECTION_THRESHOLDS = (2_000, 2, 2)


def _log_unhandled(log: Log, event: dict[str, Any]) -> None:
    """Log an exception that Twisted has caught."""
    if (failure := event.get("log_failure")) is not None:
        log.failed("twisted", failure.value)


def begin(log: Log) -> Reactor:
    """Install and return the process's reactor; exceptions that Twisted catches go to the log."""
    observer: Any = partial(_log_unhandled, log)
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    reactor = Reactor()
    installReactor(reactor)
    return reactor


def run(
    reactor: Any,
    log: Log,
    stop: Callable[[], object],
    log_counters: Callable[[], object],
    reload: Callable[[], object],
) -> None:
    """Run until the reactor stops.

    SIGTERM and SIGINT call `stop`, SIGUSR1 `log_counters`, SIGHUP `reload`.
    """
    handlers = {
        signal.SIGTERM: stop,
        signal.SIGINT: stop,
        signal.SIGUSR1: log_counters,
        signal.SIGHUP: reload,
    }
    for signal_number, handler in handlers.items():
        signal.signal(signal_number, lambda *_, handler=handler: reactor.callFromThread(handler))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    # Objects created at the start are never freed. Once they are frozen, the collector does not traverse them
    # while requests wait.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    reactor.run(installSignalHandlers=False)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    log_counters()
    log.event("stopped")
