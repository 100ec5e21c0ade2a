"""Which methods routes may name, and the longest deadline: both from the platform's configuration, which the
settings' attribute `platform` names."""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.configuration.read import ConfigurationError
from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.interface import Method
from linenbridge.process.configuration import ProcessConfiguration, load
from linenbridge.startup import startup


@dataclass(frozen=True, slots=True)
class Methods:
    """The methods of a platform and the longest deadline of its profiles, in microseconds."""

    methods: tuple[Method, ...] = ()
    max_deadline: int = 0


def methods_in(platform: ProcessConfiguration) -> Methods:
    """The methods of a configuration that is read already."""
    max_deadline = platform.settings.max_deadline()
    return Methods(tuple(startup(platform.settings).methods), max_deadline)


def methods_of(settings: DistributionSettings) -> Methods:
    """The methods of the file that the settings name; none where they name no file: no set of routes passes
    its checks then. Raises ConfigurationError where the file cannot be used."""
    if not settings.platform:
        return Methods()
    try:
        return methods_in(load({"LB_CONFIG": settings.platform}))
    except (ValueError, OSError) as error:
        raise ConfigurationError(str(error)) from error
