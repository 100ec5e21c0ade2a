"""Which methods routes may name, and the longest deadline: from the platform's configuration.

Owns the way from the settings' attribute `platform` to both. It must never know what they are used for.
"""

from __future__ import annotations

from dataclasses import dataclass

from linenbridge.configuration.read import ConfigurationError
from linenbridge.distribution.configuration import DistributionSettings
from linenbridge.interface import Method
from linenbridge.process.configuration import ProcessConfiguration, load
from linenbridge.startup import micros, startup


@dataclass(frozen=True, slots=True)
class Methods:
    """`max_deadline` is the longest deadline, in microseconds."""

    methods: tuple[Method, ...] = ()
    max_deadline: int = 0


def methods_in(at: ProcessConfiguration) -> Methods:
    """Of a configuration that is read already."""
    max_deadline = micros(max(profile.give_up for profile in at.settings.profiles))
    return Methods(tuple(startup(at.settings).methods), max_deadline)


def methods_of(settings: DistributionSettings) -> Methods:
    """Of the file that the settings name; none where they name none: then no set of routes passes its
    checks. ConfigurationError where the file cannot be used."""
    if not settings.platform:
        return Methods()
    try:
        return methods_in(load({"LB_CONFIG": settings.platform}))
    except (ValueError, OSError) as error:
        raise ConfigurationError(str(error)) from None
