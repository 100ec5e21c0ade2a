"""Rows of a gateway's view, measured in one process with the tables of the whole installation."""

from __future__ import annotations

from tests.scale.page.figures import MICROSECOND, MILLISECOND, Costs, Figure, Row
from tests.scale.page.gateway_tables import MAX_RESTART
from tests.scale.page.size import Size

VIEW = "a gateway's view of all tables, off in `run`"
COSTS_ROLE = "gateway: view of all tables"  # in the file of slopes
MECHANISM = "`distribution/view/`"


def view(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of a gateway's view."""
    return [
        *_memory(size, costs),
        _restart(size, costs),
        *_look_ups(size, costs),
        *_first_uses(size, costs),
        *_changes(size, costs),
        _lost_zone(size, costs),
    ]


def _measured(costs: Costs, what: str, count: float, factor: float = 1.0) -> Figure | None:
    """Return a cost of the view, or None if it has not been measured."""
    return costs.scaled(COSTS_ROLE, what, count, factor, "after")


def _memory(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of resident memory."""
    tenants = size.configuration.tenants
    return [
        Row(
            role=VIEW,
            what="resident memory once filled",
            unit="bytes",
            mechanism=MECHANISM,
            ordinary=_measured(costs, "memory of a process that was filled", tenants),
            burst=_measured(costs, "most memory of a process that was filled", tenants),
            burst_is="the most while it is filled",
            budget=size.memory,
        ),
        Row(
            role=VIEW,
            what="resident memory after a restart and look-ups",
            unit="bytes",
            mechanism=MECHANISM,
            ordinary=_measured(costs, "memory of a process after a restart", tenants),
            budget=size.memory,
        ),
    ]


def _restart(size: Size, costs: Costs) -> Row:
    """Return the row of the time until the first response after a restart."""
    what = "from exec to the first answer after a restart"
    return Row(
        role=VIEW,
        what=what,
        unit="s",
        mechanism="`distribution/storage/view_store.py`",
        ordinary=_measured(costs, what, size.configuration.tenants, MILLISECOND),
        budget=MAX_RESTART,
    )


def _look_ups(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of look-ups."""
    counts = {
        "tenant": size.configuration.tenants,
        "routes compiled": size.fleet.services,
        "instance in use": size.fleet.instances,
    }
    return [
        Row(
            role=VIEW,
            what=f"look-up, {what}: 50 and 99 in 100",
            unit="s",
            mechanism=MECHANISM,
            ordinary=_measured(costs, f"look-up, {what}, p50", count, MICROSECOND),
            burst=_measured(costs, f"look-up, {what}, p99", count, MICROSECOND),
            burst_is="99 in 100",
            budget=size.configuration.look_up_p99_us * MICROSECOND,
        )
        for what, count in counts.items()
    ]


def _first_uses(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the first use of a service."""
    services = size.fleet.services
    return [
        Row(
            role=VIEW,
            what=f"the first use of a service, {what}: 50 and 99 in 100",
            unit="s",
            mechanism=MECHANISM,
            ordinary=_measured(costs, f"look-up, {what}, p50", services, MICROSECOND),
            burst=_measured(costs, f"look-up, {what}, p99", services, MICROSECOND),
            burst_is="99 in 100",
            budget=size.load.added_p99_ms * MILLISECOND,
        )
        for what in ("routes cold", "service cold")
    ]


def _changes(size: Size, costs: Costs) -> list[Row]:
    """Return the rows of the processor time of changes."""
    changes = size.configuration_changes_a_second
    counts_and_rates = {
        "tenant": (size.configuration.tenants, changes),
        "routes": (size.fleet.services, changes),
        "instance": (size.fleet.instances, size.list_changes_a_second),
    }
    return [
        Row(
            role=VIEW,
            what=f"processor time of changes, {what}, each checked and applied",
            unit="core",
            mechanism=MECHANISM,
            ordinary=_measured(costs, f"one change, {what}, p50", count, rate * MICROSECOND),
            budget=size.budget.core_share,
        )
        for what, (count, rate) in counts_and_rates.items()
    ]


def _lost_zone(size: Size, costs: Costs) -> Row:
    """Return the row of the change that marks a zone as lost."""
    return Row(
        role=VIEW,
        what="a zone lost: one change",
        unit="s",
        mechanism=MECHANISM,
        ordinary=None,
        burst=_measured(costs, "one change, zone, p99", size.fleet.instances, MICROSECOND),
        burst_is=f"{size.instances_a_zone:,.0f} instances",
        budget=size.configuration.in_force_s,
    )
