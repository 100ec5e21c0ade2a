"""From the last line of a start to the end of the process: signals, the collector, the reactor's run.

Owns which signal calls what, and when SIGHUP is blocked. It must never know what the process serves.
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

# Objects before the collector looks, and rounds before it looks at older ones: an RPC leaves no cycles, but
# every closed connection does (Twisted's connector and transport), most of them old ones by then.
YOUNG = (2_000, 2, 2)


def unhandled(log: Log, event: dict[str, Any]) -> None:
    """Errors that Twisted caught on its own."""
    if (failure := event.get("log_failure")) is not None:
        log.failed("twisted", failure.value)


def begin(log: Log) -> Reactor:
    """The process's reactor; what Twisted has to say goes to the log."""
    globalLogBeginner.beginLoggingTo([partial(unhandled, log)], redirectStandardIO=False, discardBuffer=True)
    reactor = Reactor()
    installReactor(reactor)
    return reactor


def run(
    reactor: Reactor, log: Log, stop: Callable[[], object], counters: Callable[[], object],
    anew: Callable[[], object],
) -> None:  # fmt: skip
    """Until the reactor stops: SIGTERM and SIGINT call `stop`, SIGUSR1 `counters`, SIGHUP `anew`."""
    calls = {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGUSR1: counters, signal.SIGHUP: anew}
    for number, call in calls.items():
        signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    # What the start has left never goes: keep the collector from walking over it while RPCs wait.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*YOUNG)
    reactor.run(installSignalHandlers=False)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    counters()
    log.event("stopped")
