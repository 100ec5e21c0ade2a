"""The methods that routes may name, and the longest deadline.

Both are read from the platform's configuration, the file in the attribute `platform` of the settings.
"""

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
    """Return the methods of a configuration that has been read."""
    max_deadline = platform.settings.max_deadline()
    return Methods(tuple(startup(platform.settings).methods), max_deadline)


def methods_of(settings: DistributionSettings) -> Methods:
    """Return the methods of the file that the settings name.

    If the settings name no file, there are no methods, and no set of routes passes its checks. Raise
    ConfigurationError if the file cannot be read or is invalid.
    """
    if not settings.platform:
        return Methods()
    try:
        return methods_in(load({"LB_CONFIG": settings.platform}))
    except (ValueError, OSError) as error:
        raise ConfigurationError(str(error)) from error
