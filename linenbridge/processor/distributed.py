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
from linenbridge.distribution.view.serving import TenantQuotas
from linenbridge.distribution.view.view import View
from linenbridge.interface import Startup
from linenbridge.logging.event_log import Log
from linenbridge.process.configuration import ProcessConfiguration
from linenbridge.startup import startup


@dataclass(frozen=True, slots=True)
class Distributed:
    """What a gateway of the distribution holds: the view, from its store if there is one, and what the module
    is given with it. `follow` takes up the relays, once all else stands."""

    view: View
    start: Startup
    follow: Callable[[], Gateway]


def distributed(
    configuration: Configuration, at: ProcessConfiguration, log: Log, reactor: Any
) -> Distributed | None:
    """This process's part in the distribution; ConfigurationError where that is not a gateway's."""
    settings = distribution(configuration)
    if settings is None:
        return None
    view, store = open_view(settings, methods_in(at), log)
    start = startup(at.settings)
    start = replace(start, tenant_quotas=TenantQuotas(view, start.tenant_quotas))
    random = Random(secrets.randbits(64))
    return Distributed(view, start, lambda: Gateway(settings, reactor, log, view, random, store))
