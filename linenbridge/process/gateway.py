"""The platform's gateway: one process that speaks RESP2, from its configuration to its end.

Owns the order of its start. It must never decide; what other processes of ours serve beside it is not
imported here.
"""

from __future__ import annotations

import os
import sys
from functools import partial

from twisted.internet.error import CannotListenError

from linenbridge.net.discovery import host_port
from linenbridge.logging.event_log import Log
from linenbridge.process import lifecycle
from linenbridge.process.components import build, reload
from linenbridge.process.configuration import load


def main() -> int:
    """The process's exit code: 2 where the configuration cannot be used, 1 where its address cannot be
    listened on, which one line names each."""
    try:
        at = load(dict(os.environ))
    except ValueError as error:
        print(f"linenbridge: {error}", file=sys.stderr)
        return 2
    log = Log(sys.stderr.buffer)
    reactor = lifecycle.begin(log)
    parts = build(at, log, reactor)
    clients, instances, _, discovery, loop = parts
    reactor.serve(loop)
    serving = True

    def serve() -> None:
        """Not before the list has been told: what discovery's agent has counts from the first moment on."""
        if clients.port is None and not clients.closing:
            nonlocal serving
            try:
                clients.listen(reactor, *host_port(at.listen))
            except CannotListenError as error:
                serving = False
                log.event("listen.refused", listen=at.listen, error=str(error.socketError))
                clients.stop(reactor, reactor.stop)
                return
            log.event("started", gateway=at.name, listen=at.listen)

    discovery.once_told(serve)

    def stop() -> None:
        log.event("stopping", open=loop.unanswered)
        clients.stop(reactor, reactor.stop)

    def counters() -> None:
        log.counters(open=loop.unanswered, clients=clients.descriptors.open, lines=instances.descriptors.open)

    lifecycle.run(reactor, log, stop, counters, partial(reload, parts, log, dict(os.environ)))
    return 0 if serving else 1
