"""The base of all errors of the fleet: what happened, where, and what an operator can do.

It must never import a part of the fleet.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class ControlPlaneError(Exception):
    """`what` happened, `where` (a place in a file, a member, a task), and `advice` for the operator,
    which each kind states."""

    advice: ClassVar[str] = ""
    formerly: ClassVar[str] = ""  # a renamed kind's first name: the log goes on giving it as `kind`

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(what, where)
        self.what, self.where = what, where

    def __str__(self) -> str:
        place = f"{self.where}: " if self.where else ""
        return f"{place}{self.what}; {self.advice}"

    def fields(self) -> dict[str, str]:
        """As plain data, for a line of the log. A renamed kind has its present name as `name` beside
        `kind`."""
        name = type(self).__name__
        renamed = {"name": name} if self.formerly else {}
        kind = self.formerly or name
        return {"kind": kind, **renamed, "what": self.what, "where": self.where, "do": self.advice}


class FileFaultError(ControlPlaneError):
    """One fault in a file; `do` replaces the kind's advice where it is given."""

    def __init__(self, what: str, where: str = "", do: str = "") -> None:
        super().__init__(what, where)
        self.do = do or self.advice

    def __str__(self) -> str:
        return f"{self.where}: {self.what}; {self.do}"


class Rejection(ControlPlaneError):
    """A reason for which a request is refused; `code` is sent over the wire."""

    code: ClassVar[str] = ""


def error_types(base: type[ControlPlaneError] = ControlPlaneError) -> Iterator[type[ControlPlaneError]]:
    """All kinds imported so far, in the order of their definition."""
    for kind in base.__subclasses__():
        yield kind
        yield from error_types(kind)
