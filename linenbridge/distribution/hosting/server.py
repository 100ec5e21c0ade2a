"""One process of the distribution alone: a relay, a publisher, or a gateway that serves no RPCs.

Owns its start and end. It must never import what serves RPCs.
"""

from __future__ import annotations

import secrets
import sys
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from linenbridge.configuration.read import Configuration, ConfigurationError
from linenbridge.distribution.configuration import DistributionSettings, Role, distribution
from linenbridge.distribution.hosting.methods import Methods, methods_of
from linenbridge.logging.structured import structured
from linenbridge.logging.event_log import Log
from linenbridge.process import lifecycle

BROKEN = 1  # exit code of a process that ended by itself: its log says why


class Process(Protocol):
    """What all roles have in common."""

    def facts(self) -> dict[str, int]: ...
    def reload(self, path: str, /) -> None: ...
    def close(self, closed: Callable[[], None], /) -> None: ...


def run(configuration: Configuration) -> int:
    """One process until its end; the exit code. ConfigurationError before anything stands."""
    settings = distribution(configuration)
    if settings is None or configuration.part("processor") is not None:
        raise ConfigurationError(f"{configuration.path}: only a distribution alone runs without --config")
    methods = methods_of(settings)
    log = structured(sys.stderr.buffer, configuration.log_level)
    reactor = lifecycle.begin(log)
    code = 0

    def broken() -> None:
        nonlocal code
        code = BROKEN
        stop()

    process = _process(configuration, settings, methods, reactor, log, broken)
    ending = False

    def stop() -> None:
        nonlocal ending
        if not ending:
            ending = True
            log.event("stopping")
            process.close(reactor.stop)

    def counters() -> None:
        log.counters(**process.facts())

    def anew() -> None:
        process.reload(configuration.path)

    lifecycle.run(reactor, log, stop, counters, anew)
    return code


def _process(
    configuration: Configuration, settings: DistributionSettings, methods: Methods, reactor: Any, log: Log,
    broken: Callable[[], None],
) -> Process:  # fmt: skip
    """A process imports what its role needs."""
    random = Random(secrets.randbits(64))
    match settings.role:
        case Role.RELAY:
            return _relay(settings, reactor, log, random, broken)
        case Role.PUBLISHER:
            return _publisher(configuration, settings, methods, reactor, log, random)
        case Role.GATEWAY:
            return _gateway(settings, methods, reactor, log, random)


def _relay(
    settings: DistributionSettings, reactor: Any, log: Log, random: Random, broken: Callable[[], None]
) -> Process:
    """A relay whose disk cannot be used does not start: the others go on without it."""
    from linenbridge.distribution.errors import RelayStoreError
    from linenbridge.distribution.hosting.relay import Relay

    try:
        return Relay(settings, reactor, log, random, broken)
    except RelayStoreError as error:
        raise ConfigurationError(str(error)) from None


def _publisher(
    configuration: Configuration, settings: DistributionSettings, methods: Methods, reactor: Any, log: Log,
    random: Random,
) -> Process:  # fmt: skip
    from linenbridge.distribution.hosting.publisher import PublisherProcess
    from linenbridge.distribution.view.values import ValueChecks
    from linenbridge.fleet.configuration import fleet_settings

    told = fleet_settings(configuration)
    if told is None:
        raise ConfigurationError(f"{configuration.path}: a publisher needs the element fleet")
    check = ValueChecks(methods.methods, methods.longest)
    return PublisherProcess(settings, told, reactor, log, check, random)


def _gateway(
    settings: DistributionSettings, methods: Methods, reactor: Any, log: Log, random: Random
) -> Process:
    from linenbridge.distribution.hosting.gateway import Gateway, open_view

    view, store = open_view(settings, methods, log)
    return Gateway(settings, reactor, log, view, random, store)
