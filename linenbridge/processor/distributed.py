"""A processor's part in the distribution: its view, and the routes and tenants' quotas that come from it.

Imported only where the settings have the element `distribution`. Connects the parts; the view belongs to the
gateway of the distribution, which alone changes it.
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
    """The view, from its store if there is one, and start values of the decision module with its quotas.

    `start_following` connects to relays; the process calls it once everything else is running.
    """

    view: View
    start: Startup
    start_following: Callable[[], Gateway]


def open_distributed_state(
    configuration: Configuration, platform: ProcessConfiguration, log: Log, reactor: Any
) -> DistributedState | None:
    """Open the view of this process; None where the settings have no distribution.

    Raises ConfigurationError where the element `distribution` has faults or is not a gateway's.
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
