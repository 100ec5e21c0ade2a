"""A processor's gateway as a follower of the distribution: its view, its routes and its tenants' shares.

Imported only where the settings have the element `distribution`. Owns the wiring. It must never decide, nor
change the view.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from linenbridge.configuration.read import Configuration
from linenbridge.distribution.configuration import distribution
from linenbridge.distribution.hosting.gateway import Gateway, open_view
from linenbridge.distribution.hosting.methods import methods_in
from linenbridge.distribution.view.serving import TenantShares
from linenbridge.distribution.view.view import View
from linenbridge.interface import Startup
from linenbridge.logging.event_log import Log
from linenbridge.process.configuration import ProcessConfiguration
from linenbridge.startup import startup


@dataclass(frozen=True, slots=True)
class DistributedState:
    """What a gateway of the distribution holds: the view, from its store if there is one, and what the module
    is given with it. `start_following` takes up the relays, once all else stands."""

    view: View
    start: Startup
    start_following: Callable[[], Gateway]


def open_distributed_state(
    configuration: Configuration, platform: ProcessConfiguration, log: Log, reactor: Any
) -> DistributedState | None:
    """This process's part in the distribution; ConfigurationError where that is not a gateway's."""
    settings = distribution(configuration)
    if settings is None:
        return None
    view, store = open_view(settings, methods_in(platform), log)
    start = startup(platform.settings)
    start = replace(start, tenant_shares=TenantShares(view, start.tenant_shares))
    random = Random(secrets.randbits(64))
    return DistributedState(view, start, lambda: Gateway(settings, reactor, log, view, random, store))
