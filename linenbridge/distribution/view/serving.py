"""A view as the processor's front and the decision module take it: a routing table by authority, and the
tenants' shares as a mapping. What the view says nothing of is as the gateway's own settings have it.

Decides without I/O: each look-up asks the view as it is at that moment.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from linenbridge.distribution.view.view import View
from linenbridge.routes.table import Asked, Request, Step, Table


class RoutesByAuthority:
    """What `routes.table.Table` is for one set, for all: the request's authority says which set. An authority
    without one has the settings' own table."""

    def __init__(self, view: View, settings: Table) -> None:
        self.view, self.settings = view, settings
        self.methods = settings.methods

    def find(self, request: Request) -> Asked | None:
        """The RPC that the first rule to take the request makes of it; None where none does."""
        return self._table(request).find(request)

    def explain(self, request: Request) -> list[Step]:
        """Each rule of the authority in its order up to the one that takes the request."""
        return self._table(request).explain(request)

    def _table(self, request: Request) -> Table:
        table = self.view.routes(request.authority)
        return self.settings if table is None else table


class TenantQuotas(Mapping[str, float]):
    """The shares by name. Names are kept as hashes only: it can be asked, not gone through."""

    def __init__(self, view: View, settings: Mapping[str, float]) -> None:
        self.view, self.settings = view, settings

    def __getitem__(self, name: str) -> float:
        share = self.view.tenant_quota(name)
        return self.settings[name] if share is None else share

    def __len__(self) -> int:
        """How many the view has."""
        return len(self.view.tenant_table)

    def __iter__(self) -> Iterator[str]:
        raise TypeError("tenants are kept by the hashes of their names")
