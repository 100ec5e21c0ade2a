"""A view as the external processor and the decision module take it.

`RoutesByAuthority` is a routing table over all authorities, `TenantQuotas` a mapping of the tenants' quotas.
Where the view has no value, the gateway's own settings apply. Each look-up reads the view at that moment; no
I/O.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from linenbridge.distribution.view.view import View
from linenbridge.interface import Method
from linenbridge.routes.table import MatchedRequest, Request, Step, Table


class RoutesByAuthority:
    """A routing table that looks up the rule set of a request's authority; without one, the settings'
    table.
    """

    def __init__(self, view: View, settings: Table) -> None:
        """Combine a view with the table of the gateway's own settings."""
        self.view = view
        self.settings = settings
        self.methods: Mapping[str, Method] = settings.methods

    def find(self, request: Request) -> MatchedRequest | None:
        """Return the RPC that the first matching rule makes of the request; None if no rule matches."""
        return self._table(request).find(request)

    def explain(self, request: Request) -> list[Step]:
        """Return each rule of the authority in its order, up to the one that matches."""
        return self._table(request).explain(request)

    def _table(self, request: Request) -> Table:
        table = self.view.routes(request.authority)
        return self.settings if table is None else table


class TenantQuotas(Mapping[str, float]):
    """The tenants' quotas by name, as shares of the load from 0 to 1.

    The view stores hashes of the names, so look-ups work and iteration raises TypeError.
    """

    def __init__(self, view: View, settings: Mapping[str, float]) -> None:
        """Combine a view with the quotas of the gateway's own settings."""
        self.view = view
        self.settings = settings

    def __getitem__(self, name: str) -> float:
        """Return the view's quota of a tenant, else that of the settings, else raise KeyError."""
        quota = self.view.tenant_quota(name)
        return self.settings[name] if quota is None else quota

    def __len__(self) -> int:
        """Return the number of tenants in the view."""
        return len(self.view.tenant_table)

    def __iter__(self) -> Iterator[str]:
        """Raise TypeError: the view does not hold the names."""
        raise TypeError("tenants are kept by the hashes of their names")
