"""The platform's gateway: one process that serves RESP2, from its configuration to its exit.

Owns the order of the start. Imports no module that only other processes of the project need.
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
    """One gateway and its listener; `exit_code` is 0 unless the gateway can't listen on its address."""

    def __init__(self, configuration: ProcessConfiguration, log: Log, reactor: Any) -> None:
        self.configuration = configuration
        self.log = log
        self.reactor = reactor
        self.components: GatewayComponents = build(configuration, log, reactor)
        self.exit_code = 0

    def listen(self) -> None:
        """Start to listen, unless the gateway already listens or is stopping.

        Called once discovery has delivered an endpoint list or has been silent for a keep-alive interval, so
        that no request is sent by an outdated list while a newer one is on its way.
        """
        clients = self.components.clients
        if clients.port is not None or clients.is_ending:
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
        """Finish the open requests, then stop the reactor."""
        self.log.event("stopping", open=self.components.loop.unanswered)
        self.components.clients.stop(self.reactor, self.reactor.stop)

    def log_counters(self) -> None:
        """Log all counters, with the numbers of open requests, clients and connections to instances."""
        components = self.components
        self.log.counters(
            open=components.loop.unanswered,
            clients=components.clients.descriptors.open,
            **components.clients.waiting_counts(),
            upstream=components.instances.descriptors.open,
        )


def main() -> int:
    """Run the gateway and return the exit code.

    The code is 2 where the configuration can't be used and 1 where the gateway can't listen on its address;
    one line on standard error gives the reason.
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
