"""Rows of the capacity page for the tables that a gateway uses in `run`: instances, routes and tenants."""

from __future__ import annotations

from tests.scale.page.figures import MICROSECOND, Costs, Figure, Row, times, total
from tests.scale.page.size import Size

INSTANCES = "a gateway's instance view"
ROUTES = "a gateway's routes and tenants"

TABLE_BUILD = "a table made, one change being a whole one"
MAX_RESTART = 1.0  # seconds until a restarted gateway has to serve its last good version
# process/components.py limits a line of discovery to a sixteenth of the memory limit.
LINE_MEMORY_DIVISOR = 16
MAX_RULES = 512  # rules per file (routes/language.py)


def instances(size: Size, costs: Costs) -> list[Row]:
    """Return the page's rows for a gateway's instance view."""
    return [
        *_instance_changes(size),
        *_instance_change_time(size, costs),
        *_instance_zone(size, costs),
        *_instance_bytes(size, costs),
        *_instance_restart(size, costs),
        *_instance_memory(size, costs),
    ]


def _instance_changes(size: Size) -> list[Row]:
    """Return the rows for the number of entries and the rate of changes."""
    count = size.fleet.instances
    rate = size.list_changes_a_second
    zone = size.instances_a_zone
    return [
        Row(
            role=INSTANCES,
            what="entries",
            unit="number",
            mechanism="`state/fleet.py`: every instance listed",
            ordinary=Figure(count),
        ),
        Row(
            role=INSTANCES,
            what="changes heard",
            unit="1/s",
            mechanism="`net/discovery.py`",
            ordinary=Figure(rate),
            burst=Figure(zone / size.configuration.in_force_s),
            burst_is="a zone within the time to be in force",
        ),
    ]


def _instance_change_time(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the processor time of changes."""
    count = size.fleet.instances
    rate = size.list_changes_a_second
    role = "gateway: instance view"
    one = costs.scaled("gateway: process", "one change told", count, MICROSECOND)
    return [
        Row(
            role=INSTANCES,
            what="processor time of changes, in the view alone",
            unit="core",
            mechanism="`state/fleet.py`, `state/ready_order.py`: what a change touches is put in order anew",
            ordinary=costs.scaled(role, "one change", count, rate * MICROSECOND),
            budget=size.budget.core_share,
            **costs.versions(role, "one change", count, rate * MICROSECOND),
        ),
        Row(
            role=INSTANCES,
            what="processor time of changes, in the whole process",
            unit="core",
            mechanism="`net/discovery.py`, `net/upstream.py`, the module",
            ordinary=times(one, rate),
            budget=size.budget.core_share,
            **costs.versions("gateway: process", "one change told", count, rate * MICROSECOND),
        ),
        Row(
            role=INSTANCES,
            what="processor time of changes, in the pools of connections alone",
            unit="core",
            mechanism="`net/upstream.py`: a change looks at every pool, and full collections follow",
            ordinary=costs.scaled(
                "gateway: process", "one change in the pools of connections", count, rate * MICROSECOND
            ),
            budget=size.budget.core_share,
        ),
    ]


def _instance_zone(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the time to apply the loss of a zone."""
    count = size.fleet.instances
    role = "gateway: instance view"
    one = costs.scaled("gateway: process", "one change told", count, MICROSECOND)
    zone = size.instances_a_zone
    return [
        Row(
            role=INSTANCES,
            what="a lost zone worked off, told one by one",
            unit="s",
            mechanism="a line of the watch for each change",
            ordinary=one,
            burst=times(one, zone),
            burst_is=f"a zone: {zone:,.0f} instances",
            budget=size.configuration.in_force_s,
            before=costs.scaled("gateway: process", "one change told", count, zone * MICROSECOND, "before"),
            after=costs.scaled(role, "a zone lost", count, MICROSECOND, "after"),
        ),
        Row(
            role=INSTANCES,
            what="a lost zone read and taken in, told in one line",
            unit="s",
            mechanism="one line of the watch",
            ordinary=None,
            burst=total(
                costs.scaled("discovery", "a whole list read", zone, MICROSECOND),
                costs.scaled(role, "a zone gone at once", count, MICROSECOND),
            ),
            burst_is=f"a zone: {zone:,.0f} instances",
            budget=size.configuration.in_force_s,
        ),
    ]


def _instance_bytes(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the bytes of changes and for the transfer time of the full endpoint list."""
    count = size.fleet.instances
    rate = size.list_changes_a_second
    full_list = costs.at("discovery", "bytes of a whole list", count)
    zone = size.instances_a_zone
    return [
        Row(
            role=INSTANCES,
            what="bytes heard of changes",
            unit="bytes/s",
            mechanism="`net/discovery.py`: each change to every gateway",
            ordinary=times(full_list, rate / count),
            burst=times(full_list, zone / count / size.configuration.in_force_s),
            burst_is="a zone within the time to be in force",
            budget=size.budget.bytes_a_second,
        ),
        Row(
            role=INSTANCES,
            what="time to hear a whole list within the bytes' budget",
            unit="s",
            mechanism="a restarted gateway hears the whole list",
            ordinary=None,
            burst=times(full_list, 1 / size.budget.bytes_a_second),
            burst_is="a gateway restarts",
            budget=size.configuration.in_force_s,
        ),
    ]


def _instance_restart(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the time of a restart and for the size of the full endpoint list in one line."""
    count = size.fleet.instances
    full_list = costs.at("discovery", "bytes of a whole list", count)
    return [
        Row(
            role=INSTANCES,
            what="a restarted gateway has all tables again, from its own store",
            unit="s",
            mechanism="none today: the whole list is heard anew",
            ordinary=None,
            budget=MAX_RESTART,
            **costs.versions(
                "gateway: process", "all tables from the store after a restart", count, MICROSECOND
            ),
        ),
        Row(
            role=INSTANCES,
            what="a whole list as one line, of what a line may be",
            unit="bytes",
            mechanism="`process/components.py`: a sixteenth of the memory limit; a longer line is refused",
            ordinary=full_list,
            budget=size.memory / LINE_MEMORY_DIVISOR,
        ),
    ]


def _instance_memory(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the memory of the view and of the decision modules."""
    count = size.fleet.instances
    role = "gateway: instance view"
    view = costs.at(role, "memory of the view", count)
    listed = costs.at(role, "memory of the list", count)
    return [
        Row(
            role=INSTANCES,
            what="memory of the view and its list",
            unit="bytes",
            mechanism="`state/fleet.py`",
            ordinary=total(view, listed),
            budget=size.memory,
            before=total(
                costs.at(role, "memory of the view", count, "before"),
                costs.at(role, "memory of the list", count, "before"),
            ),
            after=costs.at(role, "memory of the view", count, "after"),
        ),
        Row(
            role=INSTANCES,
            what="memory of a module for each service",
            unit="bytes",
            mechanism="one list and one release for a process today; one module for each service",
            ordinary=costs.scaled(
                "gateway: module", "memory of the module", size.instances_a_service, size.fleet.services
            ),
            budget=size.memory,
        ),
    ]


def routes(size: Size, costs: Costs) -> list[Row]:
    """Return the page's rows for a gateway's routes."""
    return [
        *_route_changes(size, costs),
        *_route_look_ups(size, costs),
        *_route_first_use(size, costs),
    ]


def _route_changes(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the time to apply a change of a route and for the limit on rules."""
    count = size.configuration.routes
    role = "gateway: routes"
    return [
        Row(
            role=ROUTES,
            what="one change of a route in force, a whole table made",
            unit="s",
            mechanism="SIGHUP and a file; `routes/checks.py` checks every rule against every other",
            ordinary=costs.scaled(role, TABLE_BUILD, count, MICROSECOND),
            budget=size.configuration.in_force_s,
            before=costs.scaled(role, TABLE_BUILD, count, MICROSECOND, "before"),
            after=costs.scaled(role, "one change", count, MICROSECOND, "after"),
        ),
        Row(
            role=ROUTES,
            what="rules of one table",
            unit="number",
            mechanism="`MAX_RULES` of a routes file",
            ordinary=Figure(count),
            budget=MAX_RULES,
        ),
    ]


def _route_look_ups(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the memory of the route table and the time of a look-up."""
    count = size.configuration.routes
    role = "gateway: routes"
    return [
        Row(
            role=ROUTES,
            what="memory of the table",
            unit="bytes",
            mechanism="`routes/table.py`, compiled whole",
            ordinary=costs.at(role, "memory of the table", count),
            budget=size.memory,
            **costs.versions(role, "memory of the table", count),
        ),
        Row(
            role=ROUTES,
            what="a look-up, all routes in one table",
            unit="s",
            mechanism="`routes/table.py`: by the path's first segment, then one after another",
            ordinary=costs.scaled(role, "one look-up", count, MICROSECOND),
            budget=size.configuration.look_up_p99_us * MICROSECOND,
            **costs.versions(role, "one look-up", count, MICROSECOND),
        ),
    ]


def _route_first_use(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the first look-up in a service's rule set and for the bytes of changes."""
    count = size.configuration.routes
    role = "gateway: routes"
    text_bytes = costs.at(role, "bytes of the text", count)
    return [
        Row(
            role=ROUTES,
            what="the first look-up in a service's set",
            unit="s",
            mechanism="none today: all is compiled when the table is made",
            ordinary=None,
            budget=size.load.added_p99_ms / 1000,
            **costs.versions(role, "first look-up of a set", count, MICROSECOND),
        ),
        Row(
            role=ROUTES,
            what="bytes heard of changes, whole files",
            unit="bytes/s",
            mechanism="none: a file is put beside each gateway by hand",
            ordinary=times(text_bytes, size.configuration_changes_a_second),
            budget=size.budget.bytes_a_second,
        ),
    ]


def tenants(size: Size, costs: Costs) -> list[Row]:
    """Return the page's rows for a gateway's tenants."""
    return [
        *_tenant_memory(size, costs),
        *_tenant_changes(size, costs),
    ]


def _tenant_memory(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for the number of tenants and their memory."""
    count = size.configuration.tenants
    role = "gateway: tenants"
    return [
        Row(
            role=ROUTES,
            what="entries of tenants",
            unit="number",
            mechanism="the settings' table of shares",
            ordinary=Figure(count),
        ),
        Row(
            role=ROUTES,
            what="memory of tenants, all shares and the rates",
            unit="bytes",
            mechanism="the settings' table of shares; `state/counters.py`: rates of those seen lately",
            ordinary=total(
                costs.at(role, "memory of the rates", count), costs.at(role, "memory of the shares", count)
            ),
            budget=size.memory,
            before=total(
                costs.at(role, "memory of the rates", count, "before"),
                costs.at(role, "memory of the shares", count, "before"),
            ),
            after=costs.at(role, "memory of tenants", count, "after"),
        ),
    ]


def _tenant_changes(size: Size, costs: Costs) -> list[Row]:
    """Return the rows for counting requests by tenant and for applying a change of a tenant."""
    count = size.configuration.tenants
    role = "gateway: tenants"
    return [
        Row(
            role=ROUTES,
            what="processor time of counting tenants",
            unit="core",
            mechanism="`state/counters.py`",
            ordinary=costs.scaled(role, "one request counted", count, size.requests_a_gateway * MICROSECOND),
            budget=size.budget.core_share,
        ),
        Row(
            role=ROUTES,
            what="a change of a tenant in force",
            unit="s",
            mechanism="none: shares are read at the start alone",
            ordinary=None,
            budget=size.configuration.in_force_s,
            **costs.versions(role, "one change", count, MICROSECOND),
        ),
    ]
