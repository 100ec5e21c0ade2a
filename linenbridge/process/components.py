"""One gateway's parts, put together, and its configuration read anew.

Owns which part knows which. It must never decide, nor hold anything once the parts run.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, NamedTuple

from linenbridge.policy import DecisionModule
from linenbridge.interface import Startup
from linenbridge.net.downstream import Clients
from linenbridge.net.discovery import Discovery, Taker, host_port
from linenbridge.net.watch_stream import Follow
from linenbridge.net.upstream import Descriptors, Instances
from linenbridge.logging.event_log import Log
from linenbridge.net.decision_loop import DecisionLoop
from linenbridge.net.platform import Platform
from linenbridge.process.configuration import ProcessConfiguration, load
from linenbridge.startup import micros, startup

# The listener, both streams with their second connections, two votes, and the configuration when read anew.
BESIDE_INSTANCES = 8


def now() -> int:
    return time.monotonic_ns() // 1000


class Parts(NamedTuple):
    """One gateway's parts. `clients` and `instances` serve RESP2 once the former listen."""

    clients: Clients
    instances: Instances
    platform: Platform
    discovery: Discovery
    loop: DecisionLoop


def build(
    at: ProcessConfiguration, log: Log, reactor: Any, more: Callable[[DecisionLoop], Taker] | None = None,
    start: Startup | None = None,
) -> Parts:  # fmt: skip
    """The parts of one gateway; the module has heard the list and the news before anyone can ask. `more` adds
    another front to the same loop; `start` is what the module is given, where not what the settings say."""
    settings, start = at.settings, start or startup(at.settings)
    methods = {method.name: method for method in start.methods}
    connect_wait = micros(settings.permissions.connect_timeout)
    answer_wait = micros(settings.family_info.answer_wait)
    # An RPC that is out holds one of each.
    most = at.limits.sockets - len(os.listdir("/proc/self/fd")) - BESIDE_INSTANCES
    loop = DecisionLoop(DecisionModule(start, int(at.seed, 16), now()), reactor, now, log)
    instances = Instances(
        loop, reactor, most // 2, connect_wait, micros(settings.permissions.idle_close), log
    )
    # A list, or half-read commands, beyond this would not be held anyway.
    line_most = int(at.limits.memory_mb * (1 << 20)) // 16
    random = Random(int(at.seed, 16))
    follow = partial(
        Follow, reactor=reactor, connect_wait=connect_wait, most=line_most, log=log, random=random
    )
    unix_offset = now() - time.time_ns() // 1000
    takers = (instances,) if more is None else (instances, more(loop))
    discovery = Discovery(
        loop, takers, unix_offset, settings.discovery == "push", log,
        partial(follow, address=host_port(at.discovery)),
    )  # fmt: skip
    address = host_port(at.platform.address)
    platform = Platform(
        loop, reactor, address, methods, connect_wait, answer_wait, log, partial(follow, address=address)
    )
    loop.platform, loop.discovery = platform, discovery
    if at.known is not None:
        discovery.take(at.known, answers=False)
    if at.platform.news is not None:
        platform.stands(at.platform.news, vote=False)
    loop.turn()
    discovery.start()
    platform.start()
    longest = micros(max(profile.give_up for profile in settings.profiles))
    descriptors = Descriptors(most - most // 2)
    pool = at.limits.sockets // 3  # LATER, Score: what clients hold of the descriptors for RPCs, at most
    clients = Clients(loop, reactor, instances, methods, longest, line_most, descriptors, pool, log)
    return Parts(clients, instances, platform, discovery, loop)


def reload(parts: Parts, log: Log, environ: dict[str, str]) -> None:
    """The configuration read anew: discovery and the platform are taken up where it says. What else it holds
    counts from the next start. One that cannot be used leaves all as it is."""
    try:
        at = load(environ)
    except ValueError as error:
        log.event("reload.refused", error=str(error))
        return
    parts.discovery.move(host_port(at.discovery))
    parts.platform.move(host_port(at.platform.address))
    log.event("reloaded", discovery=at.discovery, platform=at.platform.address)
