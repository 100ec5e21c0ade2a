"""The platform's gateway: one process that serves RESP2, from its configuration to its end.

Owns the order of its start. Imports nothing that other processes of the project serve beside it.
"""

from __future__ import annotations

import os
import sys
from functools import partial
from typing import Any

from twisted.internet.error import CannotListenError

from linenbridge.logging.event_log import Log
from linenbridge.net.discovery import host_port
from linenbridge.process import lifecycle
from linenbridge.process.components import GatewayComponents, build, reload
from linenbridge.process.configuration import ProcessConfiguration, load

EXIT_CANNOT_LISTEN = 1
EXIT_UNUSABLE_CONFIGURATION = 2


class GatewayProcess:
    """One gateway and its listener; `exit_code` is set once it can't listen."""

    def __init__(self, configuration: ProcessConfiguration, log: Log, reactor: Any) -> None:
        self.configuration = configuration
        self.log = log
        self.reactor = reactor
        self.components: GatewayComponents = build(configuration, log, reactor)
        self.exit_code = 0

    def listen(self) -> None:
        """Listen, once the endpoint list is known: what discovery has counts from the first moment on."""
        clients = self.components.clients
        if clients.port is not None or clients.closing:
            return
        try:
            clients.listen(self.reactor, *host_port(self.configuration.listen))
        except CannotListenError as error:
            self.exit_code = EXIT_CANNOT_LISTEN
            self.log.event("listen.failed", listen=self.configuration.listen, error=str(error.socketError))
            clients.stop(self.reactor, self.reactor.stop)
            return
        self.log.event("started", gateway=self.configuration.name, listen=self.configuration.listen)

    def stop(self) -> None:
        """Serve what is open, then stop the reactor."""
        self.log.event("stopping", open=self.components.loop.unanswered)
        self.components.clients.stop(self.reactor, self.reactor.stop)

    def log_counters(self) -> None:
        """Write all counters, with what is open at present."""
        components = self.components
        self.log.counters(
            open=components.loop.unanswered,
            clients=components.clients.descriptors.open,
            upstream=components.instances.descriptors.open,
        )


def main() -> int:
    """Run the gateway and return the exit code.

    2 where the configuration can't be used, 1 where its address can't be listened on; a line names each.
    """
    environ = dict(os.environ)
    try:
        configuration = load(environ)
    except ValueError as error:
        print(f"linenbridge: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIGURATION
    log = Log(sys.stderr.buffer)
    reactor = lifecycle.begin(log)
    process = GatewayProcess(configuration, log, reactor)
    reactor.serve(process.components.loop)
    process.components.discovery.on_first_update(process.listen)
    reload_configuration = partial(reload, process.components, log, environ)
    lifecycle.run(reactor, log, process.stop, process.log_counters, reload_configuration)
    return process.exit_code
