"""Base classes of the errors of the control packages `fleet` and `distribution`.

Each error states what happened, where, and what an operator can do. This module imports no other part of
linenbridge.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class ControlPlaneError(Exception):
    """Base of all errors of leases, settings and distribution.

    `what` is the description of the fault, `where` its place (a position in a file, a member, a task), and
    `advice`, which each type defines, is what an operator can do.
    """

    advice: str = ""

    def __init__(self, what: str, where: str = "") -> None:
        """Create an error from its description and place; `where` is empty if there is no place to name."""
        super().__init__(what, where)
        self.what = what
        self.where = where

    def __str__(self) -> str:
        """Return the text `where: what; advice`, without `where: ` if the place is empty."""
        place = f"{self.where}: " if self.where else ""
        return f"{place}{self.what}; {self.advice}"

    def fields(self) -> dict[str, str]:
        """Return the error as fields of a log line."""
        return {"kind": type(self).__name__, "what": self.what, "where": self.where, "do": self.advice}


class FileFaultError(ControlPlaneError):
    """One fault in a file that an operator wrote; an `advice` that is not empty replaces that of the type."""

    def __init__(self, what: str, where: str = "", advice: str = "") -> None:
        """Create an error from the fault, its place `file:line:column`, and the advice for this fault."""
        super().__init__(what, where)
        if advice:
            self.advice = advice


class Rejection(ControlPlaneError):
    """The reason for rejecting a request; `code` is sent over the wire."""

    code: ClassVar[str] = ""


def error_types(base: type[ControlPlaneError] = ControlPlaneError) -> Iterator[type[ControlPlaneError]]:
    """Yield all types derived from `base` that are imported so far, each followed by its own subclasses."""
    for error_type in base.__subclasses__():
        yield error_type
        yield from error_types(error_type)
