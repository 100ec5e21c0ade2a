"""The components of one gateway: built from its configuration, and reloaded.

Owns which component knows which. Decides nothing, and holds nothing once the components run.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, NamedTuple

from linenbridge.interface import Method, Startup
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.net.discovery import Discovery, EndpointListener, host_port
from linenbridge.net.downstream import Clients
from linenbridge.net.platform import Platform
from linenbridge.net.descriptors import Descriptors
from linenbridge.net.upstream import Instances
from linenbridge.net.watch_stream import WatchStream
from linenbridge.policy import DecisionModule
from linenbridge.process.configuration import ProcessConfiguration, load
from linenbridge.startup import micros, startup

# Descriptors for the listener, both watches with their second connections, two votes, and the configuration
# when it is read again.
RESERVED_DESCRIPTORS = 8
MEBIBYTE = 1 << 20
MESSAGE_MEMORY_DIVISOR = 16  # a list, or half-read commands, may take one part in so many
CLIENT_POOL_DIVISOR = 3  # LATER, Score: clients hold one descriptor in so many at most


def now() -> int:
    """Return the gateway's clock, in microseconds."""
    return time.monotonic_ns() // 1000


class GatewayComponents(NamedTuple):
    """One gateway's components. `clients` and `instances` serve RESP2 once the former listen."""

    clients: Clients
    instances: Instances
    platform: Platform
    discovery: Discovery
    loop: DecisionLoop


@dataclass(frozen=True, slots=True)
class _Budgets:
    """What one gateway may use: descriptors for clients and instances together, and bytes of one message."""

    descriptors: int
    max_message_bytes: int


def _budgets(configuration: ProcessConfiguration) -> _Budgets:
    in_use = len(os.listdir("/proc/self/fd")) + RESERVED_DESCRIPTORS
    max_message_bytes = int(configuration.limits.memory_mb * MEBIBYTE) // MESSAGE_MEMORY_DIVISOR
    return _Budgets(configuration.limits.sockets - in_use, max_message_bytes)


def build(
    configuration: ProcessConfiguration,
    log: Log,
    reactor: Any,
    add_frontend: Callable[[DecisionLoop], EndpointListener] | None = None,
    start: Startup | None = None,
) -> GatewayComponents:
    """Build one gateway; the module has the list and the rollout's state before anyone can send a request.

    `add_front` adds another front to the same loop. `start` replaces what the settings give the module.
    """
    settings = configuration.settings
    start = start or startup(settings)
    methods = {method.name: method for method in start.methods}
    budgets = _budgets(configuration)
    seed = int(configuration.seed, 16)
    connect_timeout = micros(settings.allowances.connect_timeout)

    loop = DecisionLoop(DecisionModule(start, seed, now()), reactor, now, log)
    idle_timeout = micros(settings.allowances.idle_timeout)
    # A request in flight holds one descriptor on each side.
    instances = Instances(loop, reactor, budgets.descriptors // 2, connect_timeout, idle_timeout, log)
    listeners = (instances,) if add_frontend is None else (instances, add_frontend(loop))

    open_watch = partial(WatchStream, reactor=reactor, log=log, random=Random(seed))
    discovery = Discovery(
        loop,
        listeners,
        now() - time.time_ns() // 1000,
        settings.discovery == "push",
        partial(open_watch, address=host_port(configuration.discovery)),
        connect_timeout,
        budgets.max_message_bytes,
    )
    address = host_port(configuration.platform.address)
    platform = Platform(
        loop,
        reactor,
        address,
        methods,
        connect_timeout,
        micros(settings.rollout.response_timeout),
        budgets.max_message_bytes,
        log,
        partial(open_watch, address=address),
    )
    loop.platform = platform
    loop.discovery = discovery
    _start_watches(configuration, discovery, platform, loop)
    clients = _clients(configuration, budgets, loop, reactor, instances, methods, log)
    return GatewayComponents(clients, instances, platform, discovery, loop)


def _clients(
    configuration: ProcessConfiguration,
    budgets: _Budgets,
    loop: DecisionLoop,
    reactor: Any,
    instances: Instances,
    methods: dict[str, Method],
    log: Log,
) -> Clients:
    return Clients(
        loop,
        reactor,
        instances,
        methods,
        configuration.settings.max_deadline(),
        budgets.max_message_bytes,
        Descriptors(budgets.descriptors - budgets.descriptors // 2),
        configuration.limits.sockets // CLIENT_POOL_DIVISOR,
        log,
    )


def _start_watches(
    configuration: ProcessConfiguration, discovery: Discovery, platform: Platform, loop: DecisionLoop
) -> None:
    """Report the state that the configuration has, then watch for what changes."""
    if configuration.known is not None:
        discovery.apply(configuration.known, is_poll_response=False)
    if configuration.platform.news is not None:
        platform.on_rollout_status(configuration.platform.news, is_vote_response=False)
    loop.turn()
    discovery.start()
    platform.start()


def reload(components: GatewayComponents, log: Log, environ: dict[str, str]) -> None:
    """Read the configuration again, and use discovery and the platform at the addresses in it.

    All else in it counts from the next start. One that can't be used changes nothing, and is logged.
    """
    try:
        configuration = load(environ)
    except ValueError as error:
        log.event("reload.rejected", error=str(error))
        return
    components.discovery.move(host_port(configuration.discovery))
    components.platform.move(host_port(configuration.platform.address))
    log.event("reloaded", discovery=configuration.discovery, platform=configuration.platform.address)
