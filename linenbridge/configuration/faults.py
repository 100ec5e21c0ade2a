"""Collection of the faults in one element of the settings, so that an operator sees all of them at once."""

from __future__ import annotations

from lxml import etree

from linenbridge.configuration.read import Configuration, ConfigurationError
from linenbridge.errors import FileFaultError


class SettingsFaults:
    """Faults that the schema can't express, each an error of the same type with its file, line and column."""

    def __init__(self, configuration: Configuration, error_type: type[FileFaultError]) -> None:
        """Collect faults of the file `configuration` as errors of `error_type`."""
        self.configuration = configuration
        self.error_type = error_type
        self.errors: list[FileFaultError] = []

    def add(self, element: etree._Element, what: str, advice: str) -> None:
        """Add a fault of `element`: what is wrong, and the advice that says what to do about it."""
        self.errors.append(self.error_type(what, self.configuration.place(element), advice))

    def raise_all(self) -> None:
        """Raise ConfigurationError with one line for each fault; do nothing if no fault was added."""
        if self.errors:
            raise ConfigurationError("\n".join(str(error) for error in self.errors))
