"""The rows of a gateway: its front, its release decisions, its view of instances, routes, tenants, leases."""

from __future__ import annotations

from tests.scale.page.figures import Costs, Figure, Row
from tests.scale.page.size import Size

MICROSECOND, MILLISECOND = 1e-6, 1e-3
RESP2 = "a gateway by RESP2"
PROCESSOR = "a gateway by external processor"
RELEASES = "a gateway's release decisions"
INSTANCES = "a gateway's instance view"
ROUTES = "a gateway's routes and tenants"
MEMBER = "a gateway's membership in leases"
VIEW = "a gateway's view of all tables, off in `run`"
ROLES = (RESP2, PROCESSOR, RELEASES, INSTANCES, ROUTES, MEMBER, VIEW)

MESSAGES_A_REQUEST = 2  # of the proxy to the external processor
TABLE_MADE = "a table made, one change being a whole one"
RESTART_MOST = 1.0  # seconds until a restarted gateway is to serve its last good version
LINE_PART = 16  # a line of discovery may be a sixteenth of the memory limit (process/parts.py)
RULES_MOST = 512  # rules of one file today (routes/language.py)
PEERS_TOLD, METHODS, BUILDS = 8, 3, 2  # choice/telling.py
PEER_HEAD_BYTES, PEER_ROW_BYTES = 4, 10  # state/peers.py


def rows(size: Size, costs: Costs) -> list[Row]:
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


def resp2(size: Size, costs: Costs) -> list[Row]:
    all_instances, of_service = size.fleet.instances, size.instances_a_service
    added = size.load.added_p99_ms / 1000
    return [
        Row(
            role=RESP2, what="processor time, idle", unit="core", mechanism="`python -m linenbridge`",
            ordinary=costs.scaled("gateway: process", "idle", all_instances, MICROSECOND),
            budget=size.budget.core_share,
        ),
        Row(
            role=RESP2, what="requests in, and as many sent on and answered", unit="1/s",
            mechanism="`net/clients.py`, `net/instances.py`", ordinary=Figure(size.requests_a_gateway),
        ),
        Row(
            role=RESP2, what="resident memory, every instance in its list", unit="bytes",
            mechanism="one list and one module for a process",
            ordinary=costs.at("gateway: process", "resident memory", all_instances), budget=size.memory,
            **costs.versions("gateway: process", "resident memory", all_instances),
        ),
        Row(
            role=RESP2, what="resident memory, one service's instances in its list", unit="bytes",
            mechanism="one list and one module for a process",
            ordinary=costs.at("gateway: process", "resident memory", of_service), budget=size.memory,
        ),
        Row(
            role=RESP2, what="an RPC in the module, one service's instances", unit="s",
            mechanism="`choice/choosing.py`: the nearest, in this gateway's order",
            ordinary=costs.scaled("gateway: module", "one RPC", of_service, MICROSECOND), budget=added,
        ),
        Row(
            role=RESP2, what="an RPC in the module, every instance in one list", unit="s",
            mechanism="`choice/choosing.py`: the nearest, in this gateway's order",
            ordinary=costs.scaled("gateway: module", "one RPC", all_instances, MICROSECOND), budget=added,
            **costs.versions("gateway: module", "one RPC", all_instances, MICROSECOND),
        ),
        Row(
            role=RESP2, what="added to a request, 99 in 100", unit="s", mechanism="the whole of the gateway",
            ordinary=None, budget=added,
        ),
    ]  # fmt: skip


def processor(size: Size, costs: Costs) -> list[Row]:
    front = costs.scaled("gateway: external processor", "one request", 10, MICROSECOND)
    return [
        Row(
            role=PROCESSOR, what="processor time of one request at the front, one service", unit="s",
            mechanism="`processor/front.py`, interpreted", ordinary=front,
            budget=size.load.added_p99_ms / 1000,
        ),
        Row(
            role=PROCESSOR, what="messages in, and as many out", unit="1/s",
            mechanism="two a request: its head, and its answer's head",
            ordinary=Figure(MESSAGES_A_REQUEST * size.requests_a_gateway),
        ),
        Row(
            role=PROCESSOR, what="processor time of all requests", unit="core",
            mechanism="one process on one core; requests have no budget of their own",
            ordinary=None if front is None else front * size.requests_a_gateway,
        ),
        Row(
            role=PROCESSOR, what="memory of open streams and tickets", unit="bytes",
            mechanism="bounds of the settings", ordinary=None, budget=size.memory,
        ),
    ]  # fmt: skip


def releases(size: Size, costs: Costs) -> list[Row]:
    trial, release = size.release.services_on_trial, size.release
    role = "gateway: release decisions"
    outcomes_a_second = size.requests_a_gateway / size.fleet.services * trial
    outcomes = outcomes_a_second / trial * release.stage_s * release.share_on_trial
    lives = size.gateway_restarts_a_day * release.process_days + size.fleet.gateways
    words = BUILDS * (PEER_HEAD_BYTES + METHODS * PEER_ROW_BYTES)
    told = -(-PEERS_TOLD // release.share_on_trial) * words * trial
    on_trial = size.instances_a_service
    return [
        Row(
            role=RELEASES, what="outcomes that a vote rests on, over a gateway's own of the build in a stage",
            unit="number", mechanism="`choice/evidence.py`: a gateway's own outcomes, and peers' counts",
            ordinary=Figure(release.outcomes_wanted / outcomes), budget=1.0,
        ),
        Row(
            role=RELEASES, what="processor time of the outcomes of what is on trial", unit="core",
            mechanism="`choice/evidence.py`",
            ordinary=costs.scaled(role, "one outcome weighed", on_trial, outcomes_a_second * MICROSECOND),
            budget=size.budget.core_share,
        ),
        Row(
            role=RELEASES, what="entries of peers' counts", unit="number",
            mechanism="`state/peers.py`: by peer, build and method, of the present life alone",
            ordinary=Figure(size.fleet.gateways * BUILDS * METHODS),
        ),
        Row(
            role=RELEASES, what="memory of peers' counts", unit="bytes",
            mechanism="`state/peers.py`: bounded in peers, builds and earlier lives",
            ordinary=costs.at(role, "memory of peers' counts", size.fleet.gateways),
            burst=costs.at(role, "memory of peers' counts", lives),
            burst_is=f"after {release.process_days:g} days of restarts", budget=size.memory,
            **costs.versions(role, "memory of peers' counts", lives),
        ),
        Row(
            role=RELEASES, what="peers' counts sent", unit="bytes/s",
            mechanism="`choice/telling.py`: to the next peers by number, once a second",
            ordinary=Figure(told), budget=size.budget.bytes_a_second,
        ),
        Row(
            role=RELEASES, what="processor time of peers' counts heard", unit="core",
            mechanism="`state/peers.py`",
            ordinary=costs.scaled(
                role, "one peer's message", size.fleet.gateways, told / words * MICROSECOND
            ),
            budget=size.budget.core_share,
        ),
    ]  # fmt: skip


def instances(size: Size, costs: Costs) -> list[Row]:
    count, rate, role = size.fleet.instances, size.list_changes_a_second, "gateway: instance view"
    one = costs.scaled("gateway: process", "one change told", count, MICROSECOND)
    view, listed = costs.at(role, "memory of the view", count), costs.at(role, "memory of the list", count)
    whole = costs.at("discovery", "bytes of a whole list", count)
    zone = size.instances_a_zone
    return [
        Row(
            role=INSTANCES, what="entries", unit="number",
            mechanism="`state/fleet.py`: every instance listed",
            ordinary=Figure(count),
        ),
        Row(
            role=INSTANCES, what="changes heard", unit="1/s", mechanism="`net/discovery.py`",
            ordinary=Figure(rate), burst=Figure(zone / size.configuration.in_force_s),
            burst_is="a zone within the time to be in force",
        ),
        Row(
            role=INSTANCES, what="processor time of changes, in the view alone", unit="core",
            mechanism="`state/fleet.py`, `state/order.py`: what a change touches is put in order anew",
            ordinary=costs.scaled(role, "one change", count, rate * MICROSECOND),
            budget=size.budget.core_share, **costs.versions(role, "one change", count, rate * MICROSECOND),
        ),
        Row(
            role=INSTANCES, what="processor time of changes, in the whole process", unit="core",
            mechanism="`net/discovery.py`, `net/instances.py`, the module",
            ordinary=None if one is None else one * rate, budget=size.budget.core_share,
            **costs.versions("gateway: process", "one change told", count, rate * MICROSECOND),
        ),
        Row(
            role=INSTANCES, what="processor time of changes, in the pools of connections alone", unit="core",
            mechanism="`net/instances.py`: a change looks at every pool, and full collections follow",
            ordinary=costs.scaled(
                "gateway: process", "one change in the pools of connections", count, rate * MICROSECOND
            ),
            budget=size.budget.core_share,
        ),
        Row(
            role=INSTANCES, what="a lost zone worked off, told one by one", unit="s",
            mechanism="a line of the watch for each change",
            ordinary=one, burst=None if one is None else one * zone,
            burst_is=f"a zone: {zone:,.0f} instances", budget=size.configuration.in_force_s,
            before=costs.scaled("gateway: process", "one change told", count, zone * MICROSECOND, "before"),
            after=costs.scaled(role, "a zone lost", count, MICROSECOND, "after"),
        ),
        Row(
            role=INSTANCES, what="a lost zone read and taken in, told in one line", unit="s",
            mechanism="one line of the watch",
            ordinary=None,
            burst=_sum(
                costs.scaled("discovery", "a whole list read", zone, MICROSECOND),
                costs.scaled(role, "a zone gone at once", count, MICROSECOND),
            ),
            burst_is=f"a zone: {zone:,.0f} instances", budget=size.configuration.in_force_s,
        ),
        Row(
            role=INSTANCES, what="bytes heard of changes", unit="bytes/s",
            mechanism="`net/discovery.py`: each change to every gateway",
            ordinary=None if whole is None else whole * (rate / count),
            burst=None if whole is None else whole * (zone / count / size.configuration.in_force_s),
            burst_is="a zone within the time to be in force", budget=size.budget.bytes_a_second,
        ),
        Row(
            role=INSTANCES, what="time to hear a whole list within the bytes' budget", unit="s",
            mechanism="a restarted gateway hears the whole list",
            ordinary=None,
            burst=None if whole is None else whole * (1 / size.budget.bytes_a_second),
            burst_is="a gateway restarts", budget=size.configuration.in_force_s,
        ),
        Row(
            role=INSTANCES, what="a restarted gateway has all tables again, from its own store", unit="s",
            mechanism="none today: the whole list is heard anew", ordinary=None, budget=RESTART_MOST,
            **costs.versions(
                "gateway: process", "all tables from the store after a restart", count, MICROSECOND
            ),
        ),
        Row(
            role=INSTANCES, what="a whole list as one line, of what a line may be", unit="bytes",
            mechanism="`process/parts.py`: a sixteenth of the memory limit; a longer line is refused",
            ordinary=whole, budget=size.memory / LINE_PART,
        ),
        Row(
            role=INSTANCES, what="memory of the view and its list", unit="bytes",
            mechanism="`state/fleet.py`",
            ordinary=_sum(view, listed), budget=size.memory,
            before=_sum(
                costs.at(role, "memory of the view", count, "before"),
                costs.at(role, "memory of the list", count, "before"),
            ),
            after=costs.at(role, "memory of the view", count, "after"),
        ),
        Row(
            role=INSTANCES, what="memory of a module for each service", unit="bytes",
            mechanism="one list and one release for a process today; one module for each service",
            ordinary=costs.scaled(
                "gateway: module", "memory of the module", size.instances_a_service, size.fleet.services
            ),
            budget=size.memory,
        ),
    ]  # fmt: skip


def routes(size: Size, costs: Costs) -> list[Row]:
    count, role = size.configuration.routes, "gateway: routes"
    whole = costs.at(role, "bytes of the text", count)
    return [
        Row(
            role=ROUTES, what="one change of a route in force, a whole table made", unit="s",
            mechanism="SIGHUP and a file; `routes/checks.py` checks every rule against every other",
            ordinary=costs.scaled(role, TABLE_MADE, count, MICROSECOND),
            budget=size.configuration.in_force_s,
            before=costs.scaled(role, TABLE_MADE, count, MICROSECOND, "before"),
            after=costs.scaled(role, "one change", count, MICROSECOND, "after"),
        ),
        Row(
            role=ROUTES, what="rules of one table", unit="number", mechanism="`RULES_MOST` of a routes file",
            ordinary=Figure(count), budget=RULES_MOST,
        ),
        Row(
            role=ROUTES, what="memory of the table", unit="bytes",
            mechanism="`routes/table.py`, compiled whole",
            ordinary=costs.at(role, "memory of the table", count), budget=size.memory,
            **costs.versions(role, "memory of the table", count),
        ),
        Row(
            role=ROUTES, what="a look-up, all routes in one table", unit="s",
            mechanism="`routes/table.py`: by the path's first segment, then one after another",
            ordinary=costs.scaled(role, "one look-up", count, MICROSECOND),
            budget=size.configuration.look_up_p99_us * MICROSECOND,
            **costs.versions(role, "one look-up", count, MICROSECOND),
        ),
        Row(
            role=ROUTES, what="the first look-up in a service's set", unit="s",
            mechanism="none today: all is compiled when the table is made", ordinary=None,
            budget=size.load.added_p99_ms / 1000,
            **costs.versions(role, "first look-up of a set", count, MICROSECOND),
        ),
        Row(
            role=ROUTES, what="bytes heard of changes, whole files", unit="bytes/s",
            mechanism="none: a file is put beside each gateway by hand",
            ordinary=None if whole is None else whole * size.configuration_changes_a_second,
            budget=size.budget.bytes_a_second,
        ),
    ]  # fmt: skip


def tenants(size: Size, costs: Costs) -> list[Row]:
    count, role = size.configuration.tenants, "gateway: tenants"
    return [
        Row(
            role=ROUTES, what="entries of tenants", unit="number", mechanism="the settings' table of shares",
            ordinary=Figure(count),
        ),
        Row(
            role=ROUTES, what="memory of tenants, all shares and the rates", unit="bytes",
            mechanism="the settings' table of shares; `state/counters.py`: rates of those seen lately",
            ordinary=_sum(
                costs.at(role, "memory of the rates", count), costs.at(role, "memory of the shares", count)
            ),
            budget=size.memory,
            before=_sum(
                costs.at(role, "memory of the rates", count, "before"),
                costs.at(role, "memory of the shares", count, "before"),
            ),
            after=costs.at(role, "memory of tenants", count, "after"),
        ),
        Row(
            role=ROUTES, what="processor time of counting tenants", unit="core",
            mechanism="`state/counters.py`",
            ordinary=costs.scaled(
                role, "one request counted", count, size.requests_a_gateway * MICROSECOND
            ),
            budget=size.budget.core_share,
        ),
        Row(
            role=ROUTES, what="a change of a tenant in force", unit="s",
            mechanism="none: shares are read at the start alone", ordinary=None,
            budget=size.configuration.in_force_s, **costs.versions(role, "one change", count, MICROSECOND),
        ),
    ]  # fmt: skip


def membership(size: Size, costs: Costs) -> list[Row]:
    role, members, seats = "lease quorum: a seat", size.fleet.gateways, size.budget.quorum_seats
    exchanged = _sum(costs.at(role, "bytes in", members), costs.at(role, "bytes out", members))
    calls = costs.scaled(role, "calls in", members, seats / members)
    return [
        Row(
            role=MEMBER, what="calls to the quorum", unit="1/s", mechanism="`fleet/leases/proposer.py`",
            ordinary=calls,
        ),
        Row(
            role=MEMBER, what="bytes sent and heard, the link's own not counted", unit="bytes/s",
            mechanism="`fleet/hosting/links.py`",
            ordinary=None if exchanged is None else exchanged * (seats / members),
            budget=size.budget.bytes_a_second,
        ),
        Row(
            role=MEMBER, what="processor time of the core; the link not counted", unit="core",
            mechanism="`fleet/leases/proposer.py`",
            ordinary=costs.scaled(
                "gateway: membership in leases", "processor time of the core", members, MICROSECOND
            ),
            budget=size.budget.core_share,
        ),
        Row(
            role=MEMBER, what="memory of the core and the link", unit="bytes",
            mechanism="`fleet/leases/proposer.py`, `fleet/hosting/links.py`", ordinary=None,
            budget=size.memory,
        ),
    ]  # fmt: skip


def view(size: Size, costs: Costs) -> list[Row]:
    """One real process with the tables of the whole installation."""
    role, tenants = "gateway: view of all tables", size.configuration.tenants
    counts = {
        "tenant": tenants,
        "routes": size.fleet.services,
        "instance": size.fleet.instances,
        "zone": size.fleet.instances,
    }
    rates = {
        "tenant": size.configuration_changes_a_second,
        "routes": size.configuration_changes_a_second,
        "instance": size.list_changes_a_second,
    }
    table = "`distribution/view/`"
    return [
        Row(
            role=VIEW, what="resident memory once filled", unit="bytes", mechanism=table,
            ordinary=costs.at(role, "memory of a process that was filled", tenants, "after"),
            burst=costs.at(role, "most memory of a process that was filled", tenants, "after"),
            burst_is="the most while it is filled", budget=size.memory,
        ),
        Row(
            role=VIEW, what="resident memory after a restart and look-ups", unit="bytes", mechanism=table,
            ordinary=costs.at(role, "memory of a process after a restart", tenants, "after"),
            budget=size.memory,
        ),
        Row(
            role=VIEW, what="from exec to the first answer after a restart", unit="s",
            mechanism="`distribution/view/store.py`",
            ordinary=costs.scaled(
                role, "from exec to the first answer after a restart", tenants, MILLISECOND, "after"
            ),
            budget=RESTART_MOST,
        ),
        *[
            Row(
                role=VIEW, what=f"look-up, {what}: 50 and 99 in 100", unit="s", mechanism=table,
                ordinary=costs.scaled(role, f"look-up, {what}, p50", count, MICROSECOND, "after"),
                burst=costs.scaled(role, f"look-up, {what}, p99", count, MICROSECOND, "after"),
                burst_is="99 in 100", budget=size.configuration.look_up_p99_us * MICROSECOND,
            )
            for what, count in (
                ("tenant", tenants),
                ("routes compiled", size.fleet.services),
                ("instance in use", size.fleet.instances),
            )
        ],
        *[
            Row(
                role=VIEW, what=f"the first use of a service, {what}: 50 and 99 in 100", unit="s",
                mechanism=table,
                ordinary=costs.scaled(
                    role, f"look-up, {what}, p50", size.fleet.services, MICROSECOND, "after"
                ),
                burst=costs.scaled(
                    role, f"look-up, {what}, p99", size.fleet.services, MICROSECOND, "after"
                ),
                burst_is="99 in 100", budget=size.load.added_p99_ms * MILLISECOND,
            )
            for what in ("routes cold", "service cold")
        ],
        *[
            Row(
                role=VIEW, what=f"processor time of changes, {what}, each checked and applied", unit="core",
                mechanism=table,
                ordinary=costs.scaled(
                    role, f"one change, {what}, p50", counts[what], rate * MICROSECOND, "after"
                ),
                budget=size.budget.core_share,
            )
            for what, rate in rates.items()
        ],
        Row(
            role=VIEW, what="a zone lost: one change", unit="s", mechanism=table, ordinary=None,
            burst=costs.scaled(role, "one change, zone, p99", counts["zone"], MICROSECOND, "after"),
            burst_is=f"{size.instances_a_zone:,.0f} instances", budget=size.configuration.in_force_s,
        ),
    ]  # fmt: skip


def _sum(first: Figure | None, second: Figure | None) -> Figure | None:
    return None if first is None or second is None else first + second
