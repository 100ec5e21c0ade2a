"""Base classes of the errors of the control packages, `fleet` and `distribution`: what happened, where, and
what an operator can do.

Imports no other part of linenbridge.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class ControlPlaneError(Exception):
    """Base of all errors of leases, settings and distribution.

    `what` happened, `where` (a place in a file, a member, a task), and `advice`: what an operator can do,
    which each type states.
    """

    advice: str = ""

    def __init__(self, what: str, where: str = "") -> None:
        """Keep what happened and where; "" if there is no place to name."""
        super().__init__(what, where)
        self.what = what
        self.where = where

    def __str__(self) -> str:
        """`where: what; advice`."""
        place = f"{self.where}: " if self.where else ""
        return f"{place}{self.what}; {self.advice}"

    def fields(self) -> dict[str, str]:
        """The error as fields of a log line."""
        return {"kind": type(self).__name__, "what": self.what, "where": self.where, "do": self.advice}


class FileFaultError(ControlPlaneError):
    """One fault in a file that an operator wrote; `advice` replaces that of the type where it is given."""

    def __init__(self, what: str, where: str = "", advice: str = "") -> None:
        """Keep the fault, its place `file:line:column`, and the advice for this fault."""
        super().__init__(what, where)
        if advice:
            self.advice = advice


class Rejection(ControlPlaneError):
    """A reason for which a request is rejected; `code` is sent over the wire."""

    code: ClassVar[str] = ""


def error_types(base: type[ControlPlaneError] = ControlPlaneError) -> Iterator[type[ControlPlaneError]]:
    """All types derived from `base` that are imported so far, in the order of their definition."""
    for error_type in base.__subclasses__():
        yield error_type
        yield from error_types(error_type)
