"""A view as the processor's front and the decision module take it: a routing table by authority, and the
tenants' shares as a mapping.

Decides without I/O: each look-up asks the view as it is at that moment.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from linenbridge.distribution.view.view import View
from linenbridge.interface import Method
from linenbridge.routes.table import Asked, Request, Step


class RoutesByAuthority:
    """What `routes.table.Table` is for one set, for all: the request's authority says which set."""

    def __init__(self, view: View, methods: Iterable[Method]) -> None:
        self.view = view
        self.methods = {method.name: method for method in methods}

    def __len__(self) -> int:
        """The number of sets."""
        return len(self.view.by_authority)

    def find(self, request: Request) -> Asked | None:
        """The RPC that the first rule to take the request makes of it; None where none does."""
        table = self.view.routes(request.authority)
        return None if table is None else table.find(request)

    def explain(self, request: Request) -> list[Step]:
        """Each rule of the authority in its order up to the one that takes the request."""
        table = self.view.routes(request.authority)
        return [] if table is None else table.explain(request)


class TenantShares(Mapping[str, float]):
    """The shares by name, in place of the settings' own. Names are kept as hashes only: it can be asked, not
    gone through."""

    def __init__(self, view: View) -> None:
        self.view = view

    def __getitem__(self, name: str) -> float:
        share = self.view.tenant(name)
        if share is None:
            raise KeyError(name)
        return share

    def __len__(self) -> int:
        return len(self.view.by_tenant)

    def __iter__(self) -> Iterator[str]:
        raise TypeError("tenants are kept by the hashes of their names")
