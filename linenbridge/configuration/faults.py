"""The faults of one element of the settings, collected so that an operator sees all of them at once."""

from __future__ import annotations

from lxml import etree

from linenbridge.configuration.read import Configuration, ConfigurationError
from linenbridge.errors import FileFaultError


class SettingsFaults:
    """Collects faults that the schema can't express; each is an error of one type, with its place."""

    def __init__(self, configuration: Configuration, error_type: type[FileFaultError]) -> None:
        """Collect faults of the file `configuration` as errors of `error_type`."""
        self.configuration = configuration
        self.error_type = error_type
        self.errors: list[FileFaultError] = []

    def add(self, element: etree._Element, what: str, advice: str) -> None:
        """One fault at an element: what is wrong, and what to do."""
        self.errors.append(self.error_type(what, self.configuration.place(element), advice))

    def raise_all(self) -> None:
        """Raise ConfigurationError with a line for each fault, if there is one."""
        if self.errors:
            raise ConfigurationError("\n".join(str(error) for error in self.errors))
