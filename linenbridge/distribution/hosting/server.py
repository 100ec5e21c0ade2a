"""One process of the distribution alone: a relay, a publisher, or a gateway that serves no RPCs.

Owns its start and its end. Imports only what the role needs, and nothing that serves RPCs.
"""

from __future__ import annotations

import secrets
import sys
from collections.abc import Callable
from random import Random
from typing import Protocol

from linenbridge.configuration.read import Configuration, ConfigurationError
from linenbridge.distribution.configuration import DistributionSettings, Role, distribution
from linenbridge.distribution.hosting.methods import Methods, methods_of
from linenbridge.logging.structured import structured_log
from linenbridge.process import lifecycle

EXIT_DISK_FAILED = 1  # exit code of a process that ended by itself: its log says why


class HostedRole(Protocol):
    """What relays, publishers and gateways have in common as the content of a process."""

    def facts(self) -> dict[str, int]:
        """Fields of the counters' line."""

    def reload(self, path: str, /) -> None:
        """SIGHUP, with the path of the settings."""

    def close(self, on_closed: Callable[[], None], /) -> None:
        """Give everything back, then call `on_closed`."""


class DistributionProcess:
    """The process from its start to its end. Imports what its role needs, when it starts."""

    def __init__(
        self, configuration: Configuration, settings: DistributionSettings, methods: Methods
    ) -> None:
        self.configuration = configuration
        self.log = structured_log(sys.stderr.buffer, configuration.log_level)
        self.reactor = lifecycle.begin(self.log)
        self.random = Random(secrets.randbits(64))
        self.exit_code = 0
        self.stopping = False
        self.role = self._start_role(settings, methods)

    def _start_role(self, settings: DistributionSettings, methods: Methods) -> HostedRole:
        match settings.role:
            case Role.RELAY:
                return self._start_relay(settings)
            case Role.PUBLISHER:
                return self._start_publisher(settings, methods)
            case Role.GATEWAY:
                return self._start_gateway(settings, methods)

    def _start_relay(self, settings: DistributionSettings) -> HostedRole:
        """Raises ConfigurationError where its disk cannot be used: the other relays go on without it."""
        from linenbridge.distribution.errors import RelayStoreError
        from linenbridge.distribution.hosting.relay import Relay

        try:
            return Relay(settings, self.reactor, self.log, self.random, self._on_disk_failed)
        except RelayStoreError as error:
            raise ConfigurationError(str(error)) from error

    def _start_publisher(self, settings: DistributionSettings, methods: Methods) -> HostedRole:
        from linenbridge.distribution.hosting.publisher import PublisherProcess
        from linenbridge.distribution.view.values import ValueChecks
        from linenbridge.fleet.configuration import fleet_settings

        member_settings = fleet_settings(self.configuration)
        if member_settings is None:
            raise ConfigurationError(f"{self.configuration.path}: a publisher needs the element fleet")
        check = ValueChecks(methods.methods, methods.max_deadline)
        return PublisherProcess(settings, member_settings, self.reactor, self.log, check, self.random)

    def _start_gateway(self, settings: DistributionSettings, methods: Methods) -> HostedRole:
        from linenbridge.distribution.hosting.gateway import Gateway, open_view

        view, store = open_view(settings, methods, self.log)
        return Gateway(settings, self.reactor, self.log, view, self.random, store)

    def run(self) -> int:
        """Serve until a signal or a broken disk ends the process."""
        lifecycle.run(self.reactor, self.log, self._stop, self._log_counters, self._reload)
        return self.exit_code

    def _on_disk_failed(self) -> None:
        self.exit_code = EXIT_DISK_FAILED
        self._stop()

    def _stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            self.log.event("stopping")
            self.role.close(self.reactor.stop)

    def _log_counters(self) -> None:
        self.log.counters(**self.role.facts())

    def _reload(self) -> None:
        self.role.reload(self.configuration.path)


def run(configuration: Configuration) -> int:
    """One process until its end; the exit code. Raises ConfigurationError before anything is started."""
    settings = distribution(configuration)
    if settings is None or configuration.part("processor") is not None:
        raise ConfigurationError(f"{configuration.path}: only a distribution alone runs without --config")
    return DistributionProcess(configuration, settings, methods_of(settings)).run()
