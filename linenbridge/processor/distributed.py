"""The processor's use of the distribution: the view, and the routes and tenant quotas that the view provides.

Imported only if the settings have the element `distribution`. The view is changed only by the gateway of the
distribution.
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
class DistributedState:
    """The view, loaded from its store if there is one, and start values of the decision module.

    The tenant quotas of the start values come from the view.

    `start_following` connects to relays; the process calls it after all other components have started.
    """

    view: View
    start: Startup
    start_following: Callable[[], Gateway]


def open_distributed_state(
    configuration: Configuration, platform: ProcessConfiguration, log: Log, reactor: Any
) -> DistributedState | None:
    """Open the view of this process; return None if the settings have no distribution.

    Raises ConfigurationError if the element `distribution` is invalid or does not describe a gateway.
    """
    settings = distribution(configuration)
    if settings is None:
        return None
    view, store = open_view(settings, methods_in(platform), log)
    start = startup(platform.settings)
    start = replace(start, tenant_quotas=TenantQuotas(view, start.tenant_quotas))

    def start_following() -> Gateway:
        return Gateway(settings, reactor, log, view, Random(secrets.randbits(64)), store)

    return DistributedState(view, start, start_following)
