"""Builds the components of one gateway from its configuration, and reloads their addresses.

This module connects the components to each other. It makes no decisions, and keeps no state once the
components run.
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
from linenbridge.net.start_times import StartTimes
from linenbridge.net.upstream import Instances
from linenbridge.net.watch_stream import WatchStream
from linenbridge.policy import DecisionModule
from linenbridge.policy.command_admission import CommandAdmission
from linenbridge.policy.connection_admission import ConnectionAdmission, stop_time
from linenbridge.process.configuration import ProcessConfiguration, load
from linenbridge.startup import micros, startup

# Descriptors reserved for the listener, both watches with their second connections, two votes, and the
# configuration file on a reload.
RESERVED_DESCRIPTORS = 8
MEBIBYTE = 1 << 20
MESSAGE_MEMORY_DIVISOR = 16  # a message, or all incomplete commands, take at most 1/16 of the memory
CLIENT_POOL_DIVISOR = 3  # LATER, Score: clients hold at most 1/3 of the descriptors


def now() -> int:
    """Return the time on the gateway's monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


def wall_clock() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


class GatewayComponents(NamedTuple):
    """The components of one gateway.

    `clients` (downstream) and `instances` (upstream) handle the requests that arrive by RESP2; none arrives
    until `clients` listens.
    """

    clients: Clients
    instances: Instances
    platform: Platform
    discovery: Discovery
    loop: DecisionLoop


@dataclass(frozen=True, slots=True)
class _Budgets:
    """Limits of one gateway: descriptors of clients and instances together, and bytes of one message."""

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
    """Build one gateway.

    The decision module gets the endpoint list and the state of the rollout from the configuration before any
    client can connect. `add_frontend` adds another front end to the same loop and returns its endpoint
    listener. `start` replaces the module's settings in the configuration.
    """
    settings = configuration.settings
    start = start or startup(settings)
    methods = {method.name: method for method in start.methods}
    budgets = _budgets(configuration)
    seed = int(configuration.seed, 16)
    connect_timeout = micros(settings.allowances.connect_timeout)

    loop = DecisionLoop(DecisionModule(start, seed, now()), reactor, now, log)
    idle_timeout = micros(settings.allowances.idle_timeout)
    # Clients and instances get half of the descriptors each: a request in flight holds one to its client and
    # one to its instance.
    instances = Instances(loop, reactor, budgets.descriptors // 2, connect_timeout, idle_timeout, log)
    listeners = (instances,) if add_frontend is None else (instances, add_frontend(loop))

    open_watch = partial(WatchStream, reactor=reactor, log=log, random=Random(seed))
    discovery = Discovery(
        loop,
        listeners,
        StartTimes(now, wall_clock),
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
    max_deadline = configuration.settings.max_deadline()
    client_descriptors = budgets.descriptors - budgets.descriptors // 2
    return Clients(
        loop,
        reactor,
        instances,
        methods,
        max_deadline,
        stop_time(max_deadline),
        budgets.max_message_bytes,
        Descriptors(client_descriptors),
        ConnectionAdmission(client_descriptors, configuration.limits.sockets // CLIENT_POOL_DIVISOR),
        CommandAdmission(),
        log,
    )


def _start_watches(
    configuration: ProcessConfiguration, discovery: Discovery, platform: Platform, loop: DecisionLoop
) -> None:
    """Apply the state in the configuration, then watch discovery and the platform for changes."""
    if configuration.known is not None:
        discovery.apply(configuration.known, is_poll_response=False)
    if configuration.platform.news is not None:
        platform.on_rollout_status(configuration.platform.news, is_vote_response=False)
    loop.turn()
    discovery.start()
    platform.start()


def reload(components: GatewayComponents, log: Log, environ: dict[str, str]) -> None:
    """Read the configuration again, and move discovery and the platform to the addresses in it.

    All other settings apply from the next start. The error of an unusable configuration is
    logged, and nothing changes.
    """
    try:
        configuration = load(environ)
    except ValueError as error:
        log.event("reload.rejected", error=str(error))
        return
    components.discovery.move(host_port(configuration.discovery))
    components.platform.move(host_port(configuration.platform.address))
    log.event("reloaded", discovery=configuration.discovery, platform=configuration.platform.address)
