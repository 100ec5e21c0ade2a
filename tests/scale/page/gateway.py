"""Rows of a gateway: interfaces, release decisions, tables, leases and view."""

from __future__ import annotations

from tests.scale.page.figures import Costs, Row
from tests.scale.page.gateway_requests import (
    MEMBER,
    PROCESSOR,
    RELEASES,
    RESP2,
    membership,
    processor,
    releases,
    resp2,
)
from tests.scale.page.gateway_tables import INSTANCES, ROUTES, instances, routes, tenants
from tests.scale.page.gateway_view import VIEW, view
from tests.scale.page.size import Size

ROLES = (RESP2, PROCESSOR, RELEASES, INSTANCES, ROUTES, MEMBER, VIEW)


def rows(size: Size, costs: Costs) -> list[Row]:
    """Return all rows of a gateway in the order of the page."""
    return [
        *resp2(size, costs),
        *processor(size, costs),
        *releases(size, costs),
        *instances(size, costs),
        *routes(size, costs),
        *tenants(size, costs),
        *membership(size, costs),
        *view(size, costs),
    ]
