"""A process that runs only a role of the distribution: a relay, a publisher, or a gateway without RPCs.

Owns the start and the end of the process. Imports only modules that the role needs, none that serves RPCs.
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

EXIT_DISK_FAILED = 1  # exit code of a process that ended because its disk failed; its log has the error


class HostedRole(Protocol):
    """The interface of relays, publishers and gateways to the process that runs them."""

    def facts(self) -> dict[str, int]:
        """Return the fields of the log line with counters."""

    def reload(self, path: str, /) -> None:
        """Handle SIGHUP; `path` is the path of the settings."""

    def close(self, on_closed: Callable[[], None], /) -> None:
        """Release all resources, then call `on_closed`."""


class DistributionProcess:
    """One process from its start to its end; modules of a role are imported when the role starts."""

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
        """Start a relay; raise ConfigurationError if its disk cannot be used.

        The region's other relays continue without it.
        """
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
            raise ConfigurationError(
                f"{self.configuration.path}: a publisher requires the element fleet; add the element"
            )
        check = ValueChecks(methods.methods, methods.max_deadline)
        return PublisherProcess(settings, member_settings, self.reactor, self.log, check, self.random)

    def _start_gateway(self, settings: DistributionSettings, methods: Methods) -> HostedRole:
        from linenbridge.distribution.hosting.gateway import Gateway, open_view

        view, store = open_view(settings, methods, self.log)
        return Gateway(settings, self.reactor, self.log, view, self.random, store)

    def run(self) -> int:
        """Serve until a signal or a failed disk ends the process; return the exit code."""
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
    """Run one process until its end and return its exit code.

    Raise ConfigurationError if the settings are invalid or the role cannot be started.
    """
    settings = distribution(configuration)
    if settings is None or configuration.part("processor") is not None:
        raise ConfigurationError(
            f"{configuration.path}: --config is required without an element distribution or with a processor"
        )
    return DistributionProcess(configuration, settings, methods_of(settings)).run()
