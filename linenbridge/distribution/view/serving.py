"""Adapters of a view for the external processor and the decision module.

`RoutesByAuthority` is a routing table of all authorities, `TenantQuotas` a mapping of the tenants' quotas.
Where the view has no value, the gateway's own settings apply. Each look-up reads the present content of the
view.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from linenbridge.distribution.view.view import View
from linenbridge.interface import Method
from linenbridge.routes.table import MatchedRequest, Request, Step, Table


class RoutesByAuthority:
    """A routing table that uses the rule set of a request's authority, or else the table of the settings."""

    def __init__(self, view: View, settings: Table) -> None:
        """Combine a view with the table of the gateway's own settings."""
        self.view = view
        self.settings = settings
        self.methods: Mapping[str, Method] = settings.methods

    def find(self, request: Request) -> MatchedRequest | None:
        """Return the RPC that the first matching rule gives; None if no rule matches."""
        return self._table(request).find(request)

    def explain(self, request: Request) -> list[Step]:
        """Return the rules of the authority in their order, up to the first that matches."""
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
        """Return the quota of a tenant in the view or else in the settings; raise KeyError without either."""
        quota = self.view.tenant_quota(name)
        return self.settings[name] if quota is None else quota

    def __len__(self) -> int:
        """Return the number of the view's records of tenants."""
        return len(self.view.tenant_table)

    def __iter__(self) -> Iterator[str]:
        """Raise TypeError: the view does not store the names."""
        raise TypeError("tenant quotas cannot be iterated: the view stores only hashes of the names")
